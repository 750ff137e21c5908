import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pack} from '../../control/packing.js';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {
  asId,
  asNumber,
  type DomainId,
  type LogIndex,
  type RouteId,
  type ServiceId,
  type Term,
  type WorkspaceId,
} from '../../types/ids.js';
import type {Route, RouteTable, WorkspaceSpec} from '../route_table.js';
import {RouteMatcher} from '../route_matcher.js';
import {RouteTableMachine} from '../route_table_machine.js';
import {routeTableProblems} from '../validate_route_table.js';

const TERM = asNumber<Term>(1);

function route(name: string, fields: Partial<Route> = {}): Route {
  return {
    name: asId<RouteId>(name),
    host: 'shop.example',
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 0,
    shares: [{service: asId<ServiceId>('stock'), weight: 1}],
    maxUpstreams: 1,
    isResumable: false,
    targetGapMs: 0,
    homeRegions: [],
    ...fields,
  };
}

function table(version: number, routes: readonly Route[]): RouteTable {
  return {
    version,
    routes,
    services: [
      {
        name: asId<ServiceId>('stock'),
        healthPath: '/health',
        maxConnections: 10,
        coldStartMs: 0,
        coldRequestsPerS: 0,
      },
    ],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    source: `version ${version}`,
  };
}

// Guards against a superseded or repeated table that replaces the current one.
test('only a higher version replaces the table', () => {
  const machine = new RouteTableMachine(() => undefined);
  const versions = [3, 3, 2, 9, 5];
  const results = versions.map((version, position) => ({
    proposed: version,
    ...machine.apply(
      {
        kind: 'replace_table',
        version,
        table: pack(table(version, [route(`r${position}`)])),
      },
      asNumber<LogIndex>(position + 1),
      TERM,
    ),
    inForce: machine.state.table?.routes[0]?.name,
    revision: machine.state.revision,
  }));
  matchSnapshot(import.meta.url, 'only higher versions', results);
});

// Guards against evacuations that are lost in a snapshot, and against a wrong
// revision: entries fetch a state only when its revision increases.
test('evacuations survive a snapshot', () => {
  const machine = new RouteTableMachine(() => undefined);
  const domain = asId<DomainId>('a');
  const change = {kind: 'set_evacuation', domain, isEvacuated: true} as const;
  machine.apply(change, asNumber<LogIndex>(4), TERM);
  const repeated = machine.apply(change, asNumber<LogIndex>(5), TERM);
  const restored = new RouteTableMachine(() => undefined);
  restored.restore(
    JSON.parse(JSON.stringify(machine.snapshot())) as ReturnType<
      RouteTableMachine['snapshot']
    >,
  );
  assert.equal(repeated.isChanged, false);
  assert.deepEqual(restored.state.evacuatedDomains, ['a']);
  assert.equal(restored.state.revision, 4);
});

// Guards against a leader that takes a quota for new although an earlier leader has
// leased it: after a removal, a restart, or states of a former version.
test('the term of the first quota is kept', () => {
  const machine = new RouteTableMachine(() => undefined);
  const limited: WorkspaceSpec = {
    name: asId<WorkspaceId>('w'),
    keyDigests: [],
    homeRegions: [],
    quota: {unit: 'requests', ratePerS: 1, burst: 1, plainTokens: 0},
  };
  const apply = (
    applied: RouteTableMachine,
    version: number,
    term: number,
    workspaces: readonly WorkspaceSpec[],
  ): number | undefined => {
    const packed = pack({...table(version, [route('r')]), workspaces});
    const change = {kind: 'replace_table', version, table: packed} as const;
    applied.apply(change, asNumber<LogIndex>(version), asNumber<Term>(term));
    return applied.state.firstQuotaTerm;
  };
  const kept = [
    apply(machine, 1, 2, []),
    apply(machine, 2, 3, [limited]),
    apply(machine, 3, 4, []),
  ];
  const restored = new RouteTableMachine(() => undefined);
  restored.restore(machine.snapshot());
  const {firstQuotaTerm: _, ...former} = machine.state;
  const ofFormer = new RouteTableMachine(() => undefined);
  ofFormer.restore(pack(former));
  assert.deepEqual(
    {
      kept,
      restored: apply(restored, 4, 5, [limited]),
      ofFormer: apply(ofFormer, 4, 5, [limited]),
    },
    {kept: [0, 3, 3], restored: 3, ofFormer: undefined},
  );
});

// Guards against a table with unroutable requests or ambiguous routes.
test('all problems of an invalid table are reported', () => {
  const invalid = table(1, [
    route('unknown', {
      shares: [{service: asId<ServiceId>('missing'), weight: 1}],
    }),
    route('weightless', {
      shares: [{service: asId<ServiceId>('stock'), weight: 0}],
    }),
    route('untimed', {timeoutMs: 0}),
    route('first', {pathPrefix: '/same/'}),
    route('second', {pathPrefix: '/same/'}),
    route('open', {pathPrefix: '/open'}),
  ]);
  matchSnapshot(
    import.meta.url,
    'problems of a table',
    routeTableProblems(invalid),
  );
});

// Guards against a general route that captures requests of a more specific one.
test('the longest prefix matches, on its own host only', () => {
  const matcher = new RouteMatcher(
    table(1, [
      route('all', {pathPrefix: '/'}),
      route('orders', {pathPrefix: '/orders/'}),
      route('late', {pathPrefix: '/orders/late/'}),
    ]),
  );
  const paths = ['/orders/late/1?x=/y/', '/orders/1', '/orders', '/z'];
  const matched = paths.map(path => [
    path,
    matcher.match('Shop.example:80', path)?.name,
    matcher.match('other.example', path)?.name ?? null,
  ]);
  matchSnapshot(import.meta.url, 'longest prefix', matched);
});
