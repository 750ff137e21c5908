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

// Guards against a failing upstream that is never ejected, is never readmitted,
// or gets its full load at once when it is readmitted.
test('each ejection is longer than the last and is followed by a slow start', () => {
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

// Guards against ejecting the whole pool when the cause is not the upstreams.
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

// Guards against requests to unreachable upstreams, even if all of them are
// unreachable, and against a long ejection after they are reachable again.
test('an unreachable upstream is ejected until it answers a poll', () => {
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

// Guards against new requests to an upstream that any source reports as
// leaving, and against one cleared source that hides another.
test('a leaving upstream gets no work until every source is cleared', () => {
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

// Guards against declaring a peer failed because a single connection stalled.
test('a stalled connection is dropped; the peer fails if a fresh one stalls too', () => {
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
