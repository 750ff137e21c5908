import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type ServiceId} from '../../types/ids.js';
import {RetryBudget} from '../retry_budget.js';
import {RetryReport} from '../retry_report.js';
import type {CapacityDigest} from '../types.js';
import {
  AWAY,
  AWAY_A,
  chat,
  createScheduler,
  ENGINE_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const WINDOW_MS = 10_000;
const OPTIONS = {windowMs: WINDOW_MS, ratio: 0.2, slack: 10};
const RETRY_INTERVAL_MS = 0.25;
const ELSEWHERE: CapacityDigest = {
  region: AWAY,
  domain: AWAY_A,
  service: asId<ServiceId>('service'),
  upstreams: 2,
  freeSlots: 100,
  freeTokens: 400_000,
  waitMs: 0,
  readShare: 0,
};

/** How many of the retries that are asked for at a steady pace are granted. */
function grantedFrom(
  budget: RetryBudget,
  startMs: number,
  endMs: number,
): number {
  const length = Math.floor((endMs - startMs) / RETRY_INTERVAL_MS);
  return Array.from({length}, (_, index) => {
    const nowMs = startMs + index * RETRY_INTERVAL_MS;
    if (!budget.allowsRetry(nowMs)) return 0;
    budget.noteRetry(nowMs);
    return 1;
  }).reduce<number>((sum, each) => sum + each, 0);
}

function noteRequests(
  budget: RetryBudget,
  startMs: number,
  endMs: number,
  perS: number,
): void {
  const length = ((endMs - startMs) * perS) / 1_000;
  Array.from({length}, (_, index) => startMs + (index * 1_000) / perS).forEach(
    atMs => budget.noteRequest(atMs),
  );
}

// Guards against retries that are granted for requests from before the window: the
// deployment then repeats more than its budget allows in a window.
test('retries of a window are granted for requests of that window', () => {
  const perS = 100;
  const mostInWindow = OPTIONS.ratio * perS * (WINDOW_MS / 1_000);
  const granted = [0, 250, 500, 999].map(offsetMs => {
    const budget = new RetryBudget(OPTIONS);
    const startMs = 20_000 + offsetMs;
    noteRequests(budget, startMs - 15_000, startMs, perS);
    return grantedFrom(budget, startMs, startMs + 100);
  });
  const most = Math.max(...granted);
  assert.ok(most <= mostInWindow + OPTIONS.slack, `${granted.join()} granted`);
  assert.ok(most >= 0.9 * mostInWindow, `only ${granted.join()} granted`);
});

// Guards against retries that a window forgets while they are still in it.
test('no window has more retries than the slack without requests', () => {
  const budget = new RetryBudget(OPTIONS);
  const granted = [
    grantedFrom(budget, 20_950, 21_050),
    grantedFrom(budget, 21_050, 30_940),
    grantedFrom(budget, 30_950, 35_000),
  ];
  assert.deepEqual(granted.slice(0, 2), [OPTIONS.slack, 0]);
  assert.equal(granted[2], OPTIONS.slack);
});

// Guards against a share of retries that is reckoned from the same requests in two
// regions: each scheduler that a request passes has counted it.
test('a request counts where it is granted, and only there', () => {
  const counts = [true, false].map(isDraining => {
    const scheduler = createScheduler(ENGINE_TRAITS);
    scheduler.pool.applyReading({
      readAtMs: 0,
      lagMs: 0,
      upstreams: [upstream('a', {isDraining})],
    });
    scheduler.board.record(ELSEWHERE, 0);
    scheduler.submit(chat('x', {otherRegions: [AWAY]}), 1);
    const [decision] = scheduler.takeDecisions();
    return [decision?.kind, scheduler.retryBudget.counts(1).requests];
  });
  assert.deepEqual(counts, [
    ['offload', 0],
    ['grant', 1],
  ]);
});

// Guards against a line each second about every service that ever had a retry.
test('a budget is reported again once it has decided on another retry', () => {
  const budget = new RetryBudget(OPTIONS);
  const report = new RetryReport();
  const lines: string[] = [];
  const reportAt = (nowMs: number): void =>
    report.report(budget, nowMs, counts =>
      lines.push(`${nowMs} ${Object.values(counts).join()}`),
    );
  reportAt(0);
  budget.noteRequest(1);
  budget.noteRetry(2);
  reportAt(1_000);
  reportAt(2_000);
  budget.noteRefusal(2_500);
  reportAt(3_000);
  assert.deepEqual(lines, ['1000 1,1,0', '3000 1,1,1']);
});
