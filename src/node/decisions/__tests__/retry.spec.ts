import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {asId, type WorkspaceId} from '../../types/ids.js';
import {
  FirstByteTimes,
  RetryBudgets,
  retryVerdict,
  shouldHedge,
  type FailedTry,
} from '../index.js';

const INITIAL_TOKENS = 3;

// Guards against retries that multiply the load while all requests fail.
test('retries never exceed the share of first tries', () => {
  const workspaces = ['a', 'b', 'c'].map(name => asId<WorkspaceId>(name));
  const anyEvent = fc.tuple(fc.boolean(), fc.constantFrom(...workspaces));
  fc.assert(
    fc.property(
      fc.constantFrom(0, 0.05, 0.1, 0.5),
      fc.array(anyEvent, {maxLength: 400}),
      (share, events) => {
        const budgets = new RetryBudgets(share);
        const first = new Map<WorkspaceId, number>();
        const spent = new Map<WorkspaceId, number>();
        const add = (counts: Map<WorkspaceId, number>, id: WorkspaceId) =>
          counts.set(id, (counts.get(id) ?? 0) + 1);
        const sum = (counts: Map<WorkspaceId, number>): number =>
          [...counts.values()].reduce((total, count) => total + count, 0);
        const initial = share === 0 ? 0 : INITIAL_TOKENS;
        events.forEach(([isFirst, id]) => {
          if (isFirst) {
            budgets.recordFirstTry(id);
            add(first, id);
          } else if (budgets.trySpend(id)) {
            add(spent, id);
          }
          const rounding = 1e-6;
          const allowed = (count: number): number =>
            initial + count * share + rounding;
          assert.ok((spent.get(id) ?? 0) <= allowed(first.get(id) ?? 0));
          assert.ok(sum(spent) <= allowed(sum(first)));
        });
      },
    ),
    {seed: 17, numRuns: 200},
  );
});

// Guards against a second run of a call that is not idempotent, an answer mixed
// from two tries, and tries after the deadline.
test('a retry needs an idempotent call, time, budget and an unsent answer', () => {
  const failed: FailedTry = {
    isIdempotent: true,
    tryCount: 1,
    relayedBytes: 0,
    canResume: false,
    deadlineAtMs: 1_000,
    expectedMs: 200,
    hasBudget: true,
  };
  const verdict = (change: Partial<FailedTry>) =>
    retryVerdict({...failed, ...change}, 100, () => 0.5);
  matchSnapshot(import.meta.url, 'retry verdicts', {
    first: verdict({}),
    second: verdict({tryCount: 2}),
    third: verdict({tryCount: 3}),
    notIdempotent: verdict({isIdempotent: false}),
    answerStarted: verdict({relayedBytes: 10}),
    resumable: verdict({relayedBytes: 10, canResume: true}),
    late: verdict({deadlineAtMs: 310}),
    noBudget: verdict({hasBudget: false}),
  });
});

// Guards against hedges without enough samples, of calls that are not
// idempotent, or without budget.
test('a hedge starts after the quantile of recent times', () => {
  const times = new FirstByteTimes();
  assert.equal(times.delayMs(0.95), undefined);
  Array.from({length: 300}, (_, index) => times.record(index));
  assert.equal(times.delayMs(0), undefined);
  const delayMs = times.delayMs(0.5);
  assert.equal(delayMs, 172);
  const pending = {
    isIdempotent: true,
    isMostUrgent: true,
    hasFirstByte: false,
    isHedged: false,
    waitedMs: 200,
    deadlineAtMs: 10_000,
    expectedMs: 100,
    hasBudget: true,
  };
  const decide = (change: Partial<typeof pending>): boolean =>
    shouldHedge({...pending, ...change}, delayMs, 0);
  assert.deepEqual(
    [
      decide({}),
      decide({waitedMs: 100}),
      decide({isIdempotent: false}),
      decide({isMostUrgent: false}),
      decide({hasFirstByte: true}),
      decide({isHedged: true}),
      decide({deadlineAtMs: 50}),
      decide({hasBudget: false}),
    ],
    [true, false, false, false, false, false, false, false],
  );
});
