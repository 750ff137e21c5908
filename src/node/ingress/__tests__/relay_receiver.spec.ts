import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {RouteMatcher} from '../../routes/route_matcher.js';
import type {RouteTable} from '../../routes/route_table.js';
import {asId, type RegionId, type WorkspaceId} from '../../types/ids.js';
import {NOT_RUN_HEADER} from '../inner_headers.js';
import {IngressServer, type IngressServerOptions} from '../ingress_server.js';
import {encodeRelayRequest, type RelayMetadata} from '../relay.js';

const HOST = 'shop.example';
const TABLE = {
  version: 3,
  routes: [
    {name: 'all', host: HOST, pathPrefix: '/all/', homeRegions: []},
    {name: 'south', host: HOST, pathPrefix: '/south/', homeRegions: ['south']},
  ],
  services: [],
  workspaces: [
    {name: 'blue', keyDigests: [], homeRegions: []},
    {name: 'red', keyDigests: [], homeRegions: ['south']},
  ],
} as unknown as RouteTable;

/** What an entry of the north answers to a relayed request, and logs of it. */
async function receive(
  path: string,
  workspace?: string,
): Promise<readonly unknown[]> {
  const logged: string[] = [];
  const server = new IngressServer({
    address: '127.0.0.1:0',
    matcher: () => new RouteMatcher(TABLE),
    plannedStop: {hasBegun: false, isTooLateFor: () => false},
    context: {
      region: asId<RegionId>('north'),
      log: {
        rejected: (_id: string, reason: string) => logged.push(reason),
      },
    },
  } as unknown as IngressServerOptions);
  const response = new FakeResponse();
  const metadata = {
    requestId: 'r',
    host: HOST,
    path,
    ...(workspace && {workspace: asId<WorkspaceId>(workspace)}),
  } as RelayMetadata;
  await server.receiveRelayed(
    encodeRelayRequest(metadata, Buffer.from('x')),
    response as unknown as ServerResponse,
  );
  return [response.status, response.headers[NOT_RUN_HEADER], ...logged];
}

class FakeResponse {
  readonly headers: Record<string, string> = {};
  status = 0;
  writableFinished = false;

  setHeader(name: string, value: string): void {
    this.headers[name] = value;
  }

  appendHeader(name: string, value: string): void {
    this.headers[name] = value;
  }

  writeHead(status: number): void {
    this.status = status;
  }

  end(): void {
    this.writableFinished = true;
  }
}

// Guards against relayed requests that run outside the homes which the receiver
// knows, or for a workspace that it does not know, and against refusals after which
// the sender does not try elsewhere.
test('a relayed request that must not run here is refused as unsent', async () => {
  const refusals = [
    await receive('/all/1', 'green'),
    await receive('/all/1'),
    await receive('/all/1', 'red'),
    await receive('/south/1', 'blue'),
  ];
  assert.deepEqual(refusals, [
    [503, 'unsent', 'unknown_workspace'],
    [503, 'unsent', 'unknown_workspace'],
    [503, 'unsent', 'not_a_home'],
    [503, 'unsent', 'not_a_home'],
  ]);
});
