import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {asId, type UpstreamId} from '../../types/ids.js';
import {HealthTracker, progressVerdict} from '../index.js';

const ids = ['a', 'b', 'c', 'd'].map(name => asId<UpstreamId>(name));
const A = asId<UpstreamId>('a');

function tracker(): HealthTracker {
  const health = new HealthTracker();
  ids.forEach(id => health.add(id));
  return health;
}

// Guards against an upstream that fails for ever without being ejected, or is
// ejected for ever, or returns to its full load at once.
test('an upstream that fails is ejected, returns slowly and longer each time', () => {
  const health = tracker();
  const fail = (nowMs: number) =>
    [1, 2, 3].map(() => health.recordFailure(A, nowMs));
  const at = (nowMs: number) => ({nowMs, ...health.verdict(A, nowMs)});
  matchSnapshot(import.meta.url, 'ejection and slow start', [
    fail(0),
    [0, 4_999, 5_000, 10_000, 15_000].map(at),
    fail(20_000),
    [29_999, 30_000].map(at),
  ]);
});

// Guards against ejecting the whole pool when the fault lies elsewhere.
test('at most half of the upstreams are ejected at once', () => {
  const anyFailure = fc.tuple(fc.constantFrom(...ids), fc.nat(9));
  fc.assert(
    fc.property(fc.array(anyFailure, {maxLength: 60}), failures => {
      const health = tracker();
      failures.reduce((nowMs, [id, byS]) => {
        health.recordFailure(id, nowMs);
        const ejected = ids.filter(
          each => health.verdict(each, nowMs).state === 'ejected',
        );
        assert.ok(ejected.length <= 2);
        return nowMs + byS * 1_000;
      }, 0);
    }),
    {seed: 19, numRuns: 200},
  );
});

// Guards against work for upstreams that are gone, all of them included, and
// against a long wait once they are back.
test('an upstream that refuses connections is ejected while it does', () => {
  const health = tracker();
  ids.forEach(id => health.recordUnreachable(id, 0));
  const states = ids.map(id => health.verdict(id, 1_999).state);
  assert.deepEqual([...new Set(states)], ['ejected']);
  health.recordUnreachable(A, 1_500);
  assert.equal(health.verdict(A, 3_499).state, 'ejected');
  health.recordReachable(A, 1_400);
  assert.equal(health.verdict(A, 1_500).state, 'ejected');
  health.recordReachable(A, 2_500);
  assert.deepEqual(health.verdict(A, 2_500), {state: 'ready', weight: 0.1});
});

// Guards against new work for an upstream that leaves, by any of the sources,
// and against one lifted notice that hides another.
test('a leaving upstream gets no work until every source is lifted', () => {
  const health = tracker();
  const state = (nowMs: number) => health.verdict(A, nowMs).state;
  health.markLeaving(A, 'refusal', 0);
  assert.equal(state(29_999), 'leaving');
  assert.equal(state(30_000), 'ready');
  assert.ok(health.verdict(A, 30_000).weight < 1);
  health.markLeaving(A, 'notice', 40_000);
  health.markLeaving(A, 'platform_list', 40_000);
  health.clearLeaving(A, 'notice', 50_000);
  assert.equal(state(500_000), 'leaving');
  health.clearLeaving(A, 'platform_list', 600_000);
  assert.equal(state(600_000), 'ready');
});

// Guards against a peer declared failed because one connection went silent.
test('a silent connection is dropped first, the peer fails after a fresh one', () => {
  const exchange = {
    sentAtMs: 0,
    isFreshConnection: false,
    firstByteTimeoutMs: 100,
    pieceTimeoutMs: 50,
  };
  const fresh = {...exchange, isFreshConnection: true};
  assert.deepEqual(
    [
      progressVerdict(exchange, 99),
      progressVerdict(exchange, 100),
      progressVerdict(fresh, 100),
      progressVerdict({...exchange, lastByteAtMs: 90}, 139),
      progressVerdict({...exchange, lastByteAtMs: 90}, 140),
    ],
    [
      {kind: 'wait', untilMs: 100},
      {kind: 'drop_connection'},
      {kind: 'peer_failed'},
      {kind: 'wait', untilMs: 140},
      {kind: 'drop_connection'},
    ],
  );
});
