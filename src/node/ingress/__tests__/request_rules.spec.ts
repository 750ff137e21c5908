import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RouteMatcher} from '../../routes/route_matcher.js';
import type {RouteTable, WorkspaceSpec} from '../../routes/route_table.js';
import {asId, type RegionId, type WorkspaceId} from '../../types/ids.js';
import {digestOfKey} from '../../workspaces/key_digest.js';
import {fingerprintOf} from '../fingerprint.js';
import type {RelayMetadata} from '../relay.js';
import {rulesForCaller, rulesForRelayed} from '../request_rules.js';

const HOST = 'shop.example';
const PROTOCOL = {
  callerKey: (headers: Record<string, unknown>) => headers.key as string,
};

function workspace(name: string, ...homes: string[]): WorkspaceSpec {
  return {
    name: asId<WorkspaceId>(name),
    keyDigests: [digestOfKey(`key-of-${name}`)],
    homeRegions: homes.map(home => asId<RegionId>(home)),
  };
}

function matcherOf(...workspaces: readonly WorkspaceSpec[]): RouteMatcher {
  return new RouteMatcher(tableOf(workspaces));
}

function tableOf(workspaces?: readonly WorkspaceSpec[]): RouteTable {
  const routes = [
    {pathPrefix: '/all/', homeRegions: []},
    {pathPrefix: '/south/', homeRegions: ['south']},
    {pathPrefix: '/open/', homeRegions: [], isPublic: true},
  ].map(fields => ({
    name: fields.pathPrefix,
    host: HOST,
    priority: 4,
    ...fields,
  }));
  return {routes, services: [], workspaces} as unknown as RouteTable;
}

/** The name of the workspace and the homes, or why there are none. */
function outcomeOf(
  found: ReturnType<typeof rulesForCaller | typeof rulesForRelayed>,
): readonly unknown[] {
  return found.match<readonly unknown[]>(
    ({workspace: caller, route}) => [caller?.name ?? 'none', route.homeRegions],
    reason => [reason],
  );
}

// Guards against callers without a known key who are served, or told apart by
// something else, and against public routes that ask for a key.
test('a caller needs a known key, unless its route is public', () => {
  const ask = (
    path: string,
    key?: string,
    matcher = matcherOf(workspace('blue')),
  ) =>
    outcomeOf(
      rulesForCaller(matcher, {path, headers: {host: HOST, key}}, PROTOCOL),
    );
  assert.deepEqual(
    {
      known: ask('/all/1', 'key-of-blue'),
      unknown: ask('/all/1', 'key-of-red'),
      none: ask('/all/1'),
      noRoute: ask('/other/1', 'key-of-red'),
      open: ask('/open/1'),
      openWithKey: ask('/open/1', 'key-of-blue'),
      noWorkspaces: ask('/all/1', 'x', new RouteMatcher(tableOf())),
      emptyList: ask('/all/1', 'x', matcherOf()),
    },
    {
      known: ['blue', []],
      unknown: ['unknown_key'],
      none: ['unknown_key'],
      noRoute: ['no_route'],
      open: ['none', []],
      openWithKey: ['none', []],
      noWorkspaces: ['none', []],
      emptyList: ['unknown_key'],
    },
  );
});

// Guards against a key that is taken away and goes on to open routes.
test('a key is looked up in the table in force', () => {
  const headers = {host: HOST, key: 'key-of-blue'};
  const outcomes = [
    [workspace('blue'), workspace('red')],
    [workspace('red')],
  ].map(list =>
    outcomeOf(
      rulesForCaller(matcherOf(...list), {path: '/all/1', headers}, PROTOCOL),
    ),
  );
  assert.deepEqual(outcomes, [['blue', []], ['unknown_key']]);
});

// Guards against requests that wait for a region that may never serve them.
test('a request whose route and workspace share no home has no rules', () => {
  const matcher = matcherOf(workspace('blue', 'north'));
  const ask = (path: string): readonly unknown[] => {
    const headers = {host: HOST, key: 'key-of-blue'};
    return outcomeOf(rulesForCaller(matcher, {path, headers}, PROTOCOL));
  };
  assert.deepEqual(
    [ask('/all/1'), ask('/south/1')],
    [['blue', ['north']], ['no_common_region']],
  );
});

// Guards against relayed requests that run for a workspace which the receiver does
// not know, without a name, or outside the homes that the receiver knows.
test('a relayed request follows the rules of the receiver', () => {
  const matcher = matcherOf(workspace('blue'), workspace('red', 'north'));
  const ask = (path: string, name?: string, receiver = matcher) => {
    const metadata = {host: HOST, path, workspace: name} as RelayMetadata;
    return outcomeOf(
      rulesForRelayed(receiver, metadata, asId<RegionId>('north')),
    );
  };
  const withoutWorkspaces = new RouteMatcher(tableOf());
  assert.deepEqual(
    {
      known: ask('/all/1', 'blue'),
      home: ask('/all/1', 'red'),
      unknown: ask('/all/1', 'green'),
      unnamed: ask('/all/1'),
      open: ask('/open/1'),
      notAHome: ask('/south/1', 'blue'),
      noCommonHome: ask('/south/1', 'red'),
      noRoute: ask('/other/1', 'blue'),
      olderTable: ask('/all/1', 'blue', withoutWorkspaces),
      noWorkspaces: ask('/all/1', undefined, withoutWorkspaces),
    },
    {
      known: ['blue', []],
      home: ['red', ['north']],
      unknown: ['unknown_workspace'],
      unnamed: ['unknown_workspace'],
      open: ['none', []],
      notAHome: ['not_a_home'],
      noCommonHome: ['no_common_region'],
      noRoute: ['no_route'],
      olderTable: ['unknown_workspace'],
      noWorkspaces: ['none', []],
    },
  );
});

// Guards against requests of one workspace that are quarantined for those of
// another one.
test('equal requests of two workspaces have different fingerprints', () => {
  const [route] = tableOf().routes;
  assert.ok(route);
  const request = {method: 'POST', path: '/', body: Buffer.from('x'), route};
  const prints = [undefined, workspace('blue'), workspace('red')].map(caller =>
    fingerprintOf({...request, ...(caller && {workspace: caller})}),
  );
  assert.equal(new Set(prints).size, 3);
});
