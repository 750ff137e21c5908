/** Runs one entry with real listeners on loopback, for tests over HTTP. */
import {createHash} from 'node:crypto';
import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {FaultFileLayer} from '../../../__tests__/support/fault_file_layer.js';
import {monotonicNowMs} from '../../../clock/clock.js';
import type {Answers} from '../../../config/answers.js';
import type {
  Configuration,
  PolicyConfig,
} from '../../../config/configuration.js';
import {generate} from '../../../config/generate.js';
import {FileConfigurationStore} from '../../../control/configuration_store.js';
import {createLogger} from '../../../logging/logger.js';
import type {EntryStatus} from '../../../operator/entry_methods.js';
import {HttpRpcClient} from '../../../rpc/http_client.js';
import {EngineServer} from '../../../standin/engine_server.js';
import type {EngineOptions} from '../../../standin/engine_state.js';
import {asId, asNumber} from '../../../types/ids.js';
import {Entry, type EntryOptions} from '../../entry.js';

export const CALLER_KEY = 'caller-key';
export const CLUSTER_SECRET = 'a secret of this test only';
export const MAX_BODY_BYTES = 64 * 1024;
const WAIT_LIMIT_MS = 5_000;

const sha256 = (text: string): string =>
  createHash('sha256').update(text).digest('hex');

/** Registers tasks to run at the end of a test or a measurement. */
export interface Cleanup {
  after(task: () => unknown): void;
}

/** Options of the entry under test. */
export interface HttpEntryOptions {
  /** Addresses of model engines. */
  readonly engines?: readonly string[];
  /** Addresses of services called `stock`. */
  readonly services?: readonly string[];
  /** Requests that each engine runs at the same time. @default 8 */
  readonly slots?: number;
  readonly policy?: Partial<PolicyConfig>;
  readonly entry?: Partial<EntryOptions>;
  /** @default 50 */
  readonly stopGraceMs?: number;
}

/** A running entry, its bound addresses and its status. */
export interface HttpEntry {
  readonly entry: Entry;
  readonly caller: string;
  readonly inner: string;
  status(): Promise<EntryStatus>;
}

/** Starts one entry that stops when the test ends. */
export async function startEntry(
  t: Cleanup,
  options: HttpEntryOptions,
): Promise<HttpEntry> {
  const files = new FaultFileLayer();
  await new FileConfigurationStore(files).store({
    version: asNumber(1),
    configuration: configurationOf(options),
  });
  const entry = new Entry({
    settings: {
      instanceId: asId('entry-1'),
      domainId: asId('domain'),
      regionId: asId('region'),
      listen: {callerAddress: '127.0.0.1:0', innerAddress: '127.0.0.1:0'},
      clusterSecret: CLUSTER_SECRET,
      seedAddresses: [],
      controlAddresses: [],
      stopGraceMs: options.stopGraceMs ?? 50,
      logLevel: 'silent',
    },
    logger: createLogger({name: 'test', instanceId: 't', level: 'silent'}),
    ...options.entry,
    adapters: {files, ...options.entry?.adapters},
  });
  await entry.start();
  const rpc = innerClient();
  t.after(async () => {
    await entry.stop();
    await rpc.close();
  });
  const {caller, inner} = entry.addresses();
  const status = async (): Promise<EntryStatus> =>
    (
      await rpc.call<EntryStatus>(inner, 'entry.status', {}, 2_000)
    )._unsafeUnwrap();
  return {entry, caller, inner, status};
}

/** An RPC client with the credentials of another instance. */
export function innerClient(clusterSecret = CLUSTER_SECRET): HttpRpcClient {
  return new HttpRpcClient({self: asId('entry-2'), clusterSecret});
}

/** Starts a stand-in engine on a free port. */
export async function startEngine(
  t: Cleanup,
  options: Partial<EngineOptions> = {},
): Promise<{engine: EngineServer; address: string}> {
  const engine = new EngineServer({
    upstreamId: 'engine',
    modelIds: ['chat'],
    slotCount: 200,
    checksFencing: true,
    prefillMs: 5,
    decodeMs: 2,
    ...options,
  });
  const address = await engine.start('127.0.0.1:0');
  t.after(() => engine.stop());
  return {engine, address};
}

/** The head of a request to a raw server, and the socket to answer on. */
export interface RawRequest {
  readonly line: string;
  readonly headers: string;
  readonly socket: Socket;
}

/** Starts a TCP server that lets the test write the bytes of each answer. */
export async function startRawServer(
  t: Cleanup,
  answer: (request: RawRequest) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      for (;;) {
        const end = text.indexOf('\r\n\r\n');
        const length = /content-length: (\d+)/i.exec(text.slice(0, end))?.[1];
        const size = end + 4 + Number(length ?? 0);
        if (end < 0 || text.length < size) return;
        const [line = '', ...headers] = text.slice(0, end).split('\r\n');
        text = text.slice(size);
        answer({line, headers: headers.join('\r\n'), socket});
      }
    });
  });
  const address = await listenOnFreePort(server);
  t.after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  return address;
}

/** Listens on a free loopback port and returns the bound address. */
export async function listenOnFreePort(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A loopback address that refuses connections. */
export async function refusingAddress(): Promise<string> {
  const server = createServer();
  const address = await listenOnFreePort(server);
  await new Promise(resolve => server.close(resolve));
  return address;
}

/** Waits until a condition holds; throws after `WAIT_LIMIT_MS`. */
export async function until(
  what: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const limitAtMs = monotonicNowMs() + WAIT_LIMIT_MS;
  while (!(await condition())) {
    if (monotonicNowMs() > limitAtMs) throw new Error(`timed out: ${what}`);
    await sleep(10);
  }
}

/** Sends a chat completion as a caller. */
export function complete(
  {caller}: {readonly caller: string},
  body: Readonly<Record<string, unknown>> = {},
  init: RequestInit = {},
): Promise<Response> {
  return fetch(`http://${caller}/v1/chat/completions`, {
    method: 'POST',
    body: JSON.stringify({
      model: 'chat',
      messages: [{role: 'user', content: 'draw a face'}],
      ...body,
    }),
    ...init,
    headers: {authorization: `Bearer ${CALLER_KEY}`, ...init.headers},
  });
}

function configurationOf(options: HttpEntryOptions): Configuration {
  const generated = generate(answersOf(options));
  return {
    ...generated,
    // No instance keeps a record log: these tests call only idempotent work.
    instances: generated.instances.map(each => ({...each, recordWeight: 0})),
    policy: {...generated.policy, ...options.policy},
  };
}

function answersOf(options: HttpEntryOptions): Answers {
  const {engines = [], services = [], slots = 8} = options;
  const answers = {
    deployment: 'test',
    priority: 'tail_latency',
    regions: [{id: 'region', domains: ['domain']}],
    network: {
      betweenRegions: {
        oneWayDelayMs: 1,
        bandwidthBitsPerSecond: 1e9,
        costMicrosPerMegabyte: 0,
      },
    },
    instances: [
      {
        id: 'entry-1',
        domain: 'domain',
        callerAddress: '127.0.0.1:1',
        innerAddress: '127.0.0.1:2',
        disk: true,
      },
    ],
    upstreams: [
      ...engines.map((address, index) => ({
        kind: 'model',
        id: `engine-${index + 1}`,
        domain: 'domain',
        address,
        models: ['chat'],
        slots,
        checksFencing: true,
        costMicros: 1,
      })),
      ...services.map((address, index) => ({
        kind: 'service',
        id: `service-${index + 1}`,
        domain: 'domain',
        address,
        services: [{name: 'stock', slots, costMicros: 1}],
      })),
    ],
    models: [{id: 'chat', weightsBytes: 1, prefillMs: 5, decodeMs: 2}],
    ranks: [
      {
        id: 'urgent',
        firstTokenTargetMs: 10_000,
        betweenTokensTargetMs: 1_000,
        floorShare: 1,
        revenuePerJobMicros: 100,
      },
    ],
    workspaces: [
      {
        id: 'workspace',
        home: 'region',
        residency: ['region'],
        callerKeyDigests: [sha256(CALLER_KEY)],
        workloads: [
          {
            id: 'talk',
            model: 'chat',
            rank: 'urgent',
            maxBodyBytes: MAX_BODY_BYTES,
          },
          {id: 'stock', service: 'stock', rank: 'urgent', idempotent: true},
        ],
      },
    ],
    operators: [{name: 'operator', keyDigest: sha256('operator')}],
  };
  return answers as unknown as Answers;
}
