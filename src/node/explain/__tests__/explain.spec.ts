import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test, type TestContext} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {runCli} from '../../operator/cli.js';

const STARTED_AT_MS = 1_700_000_000_000;

type Line = Readonly<Record<string, unknown>> & {
  readonly atMs: number;
  readonly instance: string;
  readonly event: string;
};

function serialize({atMs, ...line}: Line): string {
  return JSON.stringify({level: 30, time: STARTED_AT_MS + atMs, ...line});
}

const CHAT = {route: 'chat', service: 'svc', tableVersion: 4};

const BELIEFS: readonly Line[] = [
  {atMs: 0, instance: 'e1', event: 'started', region: 'north'},
  {atMs: 5, instance: 'e1', event: 'control_lost', peer: 'c1'},
  {atMs: 50, instance: 'e1', event: 'control_regained', peer: 'c1'},
  {atMs: 60, instance: 'e1', event: 'control_lost', peer: 'c2'},
  {
    atMs: 70,
    instance: 'e2',
    event: 'upstream_down',
    service: 'svc',
    upstream: 'u1',
    cause: 'stalled',
    coldRemainingMs: 0,
  },
  {
    atMs: 80,
    instance: 'e9',
    event: 'upstream_down',
    service: 'other',
    upstream: 'u7',
    cause: 'broken',
    coldRemainingMs: 0,
  },
];

const REQUESTS: readonly Line[] = [
  {
    atMs: 100,
    instance: 'e1',
    event: 'refused',
    requestId: 'flood.x',
    ...CHAT,
    ageMs: 2,
    scheduler: 'e2',
    reason: 'overloaded',
    predictedWaitMs: 900,
    retryAfterMs: 900,
    usableUpstreams: 2,
    queueLength: 31,
  },
  {
    atMs: 101,
    instance: 'e1',
    event: 'ended',
    requestId: 'flood.x',
    ...CHAT,
    ageMs: 3,
    result: 'not_run',
    cause: 'overloaded',
    status: 503,
    isRelayed: false,
  },
  {
    atMs: 110,
    instance: 'e3',
    event: 'upstream_outcome',
    requestId: 'cut.y',
    ...CHAT,
    ageMs: 40,
    upstream: 'u1',
    outcome: 'broken',
    cause: 'other side closed',
    totalMs: 40,
  },
  {
    atMs: 111,
    instance: 'e3',
    event: 'ended',
    requestId: 'cut.y',
    ...CHAT,
    ageMs: 41,
    result: 'failed',
    status: 0,
    isRelayed: true,
  },
  {
    atMs: 112,
    instance: 'e1',
    event: 'ended',
    requestId: 'cut.y',
    ...CHAT,
    ageMs: 45,
    result: 'failed',
    status: 0,
    isRelayed: false,
  },
  {
    atMs: 120,
    instance: 'e1',
    event: 'rejected',
    requestId: 'early.z',
    tableVersion: 0,
    reason: 'no_route_table',
    status: 503,
  },
  {
    atMs: 130,
    instance: 'e1',
    event: 'offloaded',
    requestId: 'lost.w',
    ...CHAT,
    ageMs: 1,
    scheduler: 'e2',
    region: 'south',
    localWaitMs: -1,
    remoteWaitMs: 80,
  },
  {atMs: 140, instance: 'e1', event: 'started', region: 'north'},
];

const MOVED = {event: 'offloaded', ageMs: 1, scheduler: 'e2', region: 'south'};
const HERE = {instance: 'e1', entryRegion: 'north', ...CHAT};
const DELIVERED = {
  event: 'ended',
  ageMs: 90,
  result: 'delivered',
  status: 200,
  isRelayed: false,
  totalMs: 90,
};

/** Requests of workspaces with keys, homes and quotas. */
const WORKSPACE_REQUESTS: readonly Line[] = [
  ...[
    {requestId: 'no-key', hasKey: false},
    {requestId: 'never', hasKey: true, unknownSinceVersion: 2},
    {
      requestId: 'taken',
      hasKey: true,
      unknownSinceVersion: 3,
      formerWorkspace: 'blue',
    },
  ].map(fields => ({
    atMs: 200,
    instance: 'e1',
    event: 'rejected',
    reason: 'unknown_key',
    status: 401,
    tableVersion: 4,
    ...fields,
  })),
  {
    atMs: 210,
    instance: 'e1',
    event: 'rejected',
    requestId: 'nowhere',
    reason: 'no_common_region',
    status: 503,
    tableVersion: 4,
    route: 'homed',
    routeHomes: ['south'],
    workspace: 'green',
    workspaceHomes: ['north'],
  },
  {
    atMs: 220,
    instance: 'e5',
    event: 'rejected',
    requestId: 'relayed',
    reason: 'not_a_home',
    status: 503,
    tableVersion: 5,
    entryRegion: 'south',
    route: 'chat',
    routeHomes: [],
    workspace: 'green',
    workspaceHomes: ['north'],
  },
  {
    atMs: 230,
    ...HERE,
    ...MOVED,
    requestId: 'home',
    workspace: 'red',
    localWaitMs: -1,
    remoteWaitMs: 80,
    homeRegions: ['south'],
    workspaceHomes: ['south'],
  },
  {
    atMs: 231,
    ...HERE,
    ...MOVED,
    requestId: 'sooner',
    localWaitMs: 900,
    remoteWaitMs: 80,
  },
  {
    atMs: 232,
    ...HERE,
    ...MOVED,
    requestId: 'stranded',
    scheduler: 'e1',
    region: 'north',
    localWaitMs: -1,
    remoteWaitMs: -1,
  },
  ...['home', 'sooner', 'stranded'].map(requestId => ({
    atMs: 300,
    ...HERE,
    ...DELIVERED,
    requestId,
  })),
  {
    atMs: 240,
    ...HERE,
    event: 'refused',
    requestId: 'bound',
    ageMs: 2,
    workspace: 'green',
    scheduler: 'e2',
    reason: 'overloaded',
    predictedWaitMs: 900,
    retryAfterMs: 900,
    usableUpstreams: 2,
    queueLength: 31,
    homeRegions: ['north'],
    workspaceHomes: ['north'],
  },
  {
    atMs: 241,
    ...HERE,
    event: 'ended',
    requestId: 'bound',
    ageMs: 3,
    result: 'not_run',
    status: 503,
    isRelayed: false,
  },
];

async function explainFrom(t: TestContext, id: string, ...options: string[]) {
  const folder = mkdtempSync(join(tmpdir(), 'explain-'));
  t.after(() => rmSync(folder, {recursive: true}));
  const lines = [...BELIEFS, ...REQUESTS, ...WORKSPACE_REQUESTS].map(serialize);
  const [first = '', ...others] = lines;
  // Two files: a collector's prefix in one, truncated lines in both.
  writeFileSync(join(folder, 'a.log'), `  0.1 e1 ${first}\n${first.slice(9)}`);
  writeFileSync(join(folder, 'b.log'), `${others.join('\n')}\n{"level":3`);
  const out: string[] = [];
  const err: string[] = [];
  const args = ['explain-request', id, '--logs', folder, ...options];
  const exitCode = await runCli(args, {
    out: line => out.push(line),
    err: line => err.push(line),
    env: {},
  });
  return {exitCode, out, err};
}

// Guards against an explanation that names the wrong decision or omits the
// state changes that led to it.
test('explanations of failed requests', async t => {
  const explained = await Promise.all(
    ['flood', 'cut', 'early', 'lost'].map(id => explainFrom(t, id)),
  );
  matchSnapshot(import.meta.url, 'explanations of failed requests', explained);
});

// Guards against an operator who must read the tables of several versions to learn why
// a key is refused, or why a request left its region or could not leave it.
test('explanations name keys, home regions and moves', async t => {
  const ids = ['no-key', 'never', 'taken', 'nowhere', 'relayed'].concat([
    'home',
    'sooner',
    'stranded',
    'bound',
  ]);
  const explained = await Promise.all(
    ids.map(async id => {
      const {out} = await explainFrom(t, id);
      return {id, out: out.slice(0, out.indexOf(''))};
    }),
  );
  matchSnapshot(import.meta.url, 'explanations for workspaces', explained);
});

// Guards against renamed fields in the JSON output that other programs parse.
test('an explanation as JSON names ending, decision and reasons', async t => {
  const {out} = await explainFrom(t, 'flood', '--json');
  const value = JSON.parse(out.join('\n')) as Record<string, unknown>;
  assert.deepEqual(
    [value['ending'], Object.keys(value)],
    ['refused', ['ending', 'decision', 'reasons', 'timeline']],
  );
});

// Guards against exit code 0 for an empty explanation.
test('an id without log lines and a missing path fail', async t => {
  const unknown = await explainFrom(t, 'nobody');
  const missing = await runCli(['explain-request', 'a', '--logs', '/none'], {
    out: () => undefined,
    err: () => undefined,
    env: {},
  });
  assert.deepEqual([unknown.exitCode, missing], [1, 2]);
});
