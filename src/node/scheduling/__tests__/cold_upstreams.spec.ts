import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import type {Scheduler} from '../scheduler.js';
import type {ListedUpstream} from '../types.js';
import {
  chat,
  createScheduler,
  ENGINE_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const LAG_MS = 800;
const STEP_MS = 10;
/** Requests that a cold engine tolerates in any one second: 2.9 x 1.5 + 3. */
const COLD_BOUND_PER_S = 7.35;

function read(
  scheduler: Scheduler,
  readAtMs: number,
  upstreams: readonly ListedUpstream[],
): void {
  scheduler.pool.applyReading({upstreams, readAtMs, lagMs: LAG_MS});
}

/** Submits a request at each step; returns the times of the grants. */
function floodGrants(
  scheduler: Scheduler,
  fromMs: number,
  toMs: number,
): readonly number[] {
  const steps = Array.from(
    {length: (toMs - fromMs) / STEP_MS},
    (_, step) => fromMs + step * STEP_MS,
  );
  return steps.flatMap(atMs => {
    scheduler.submit(chat(`r${atMs}`), atMs);
    return scheduler
      .decide(atMs)
      .filter(decision => decision.kind === 'grant')
      .map(() => atMs);
  });
}

function mostInOneSecond(times: readonly number[], untilMs: number): number {
  return Math.max(
    0,
    ...times
      .filter(startMs => startMs <= untilMs)
      .map(
        startMs =>
          times.filter(atMs => atMs >= startMs && atMs < startMs + 1_000)
            .length,
      ),
  );
}

// Guards against a burst when an engine becomes warm: the rate limit applies to
// every one-second window that begins while it is cold.
test('a window that begins in the cold time stays within the limit', () => {
  const scheduler = createScheduler(ENGINE_TRAITS);
  read(scheduler, 0, [upstream('cold', {coldRemainingMs: 1_500})]);
  const grants = floodGrants(scheduler, 0, 4_000);
  assert.ok(mostInOneSecond(grants, 1_500) <= COLD_BOUND_PER_S);
  assert.ok(grants.filter(atMs => atMs > 3_000).length > 20);
});

// Guards against a reading of the list from before a restart, which reports the
// engine as warm because it describes the previous process.
test('a stale reading does not override a probe that found it cold', () => {
  const scheduler = createScheduler(ENGINE_TRAITS);
  const warm = [upstream('engine')];
  read(scheduler, 0, warm);
  const {requestId} = chat('lost');
  scheduler.submit(chat('lost'), 0);
  scheduler.decide(0);
  const {upstreamId} = upstream('engine');
  scheduler.release(
    [{requestId, upstreamId, outcome: 'broken', firstAnswerMs: 0, totalMs: 9}],
    9,
  );
  assert.equal(scheduler.pool.toProbe().length, 1);
  scheduler.pool.noteProbe(upstreamId, 2_900, 1_000);
  read(scheduler, 1_200, warm);
  const grants = floodGrants(scheduler, 1_200, 3_900);
  assert.ok(mostInOneSecond(grants, 3_900) <= COLD_BOUND_PER_S);
});

// Guards against full load on engines that became cold while their domain was
// evacuated, before a new reading of the list shows it.
test('a restored domain starts at the cold request rate', () => {
  const scheduler = createScheduler(ENGINE_TRAITS);
  const {domain} = upstream('engine');
  read(scheduler, 0, [upstream('engine')]);
  scheduler.setEvacuated([domain], 0);
  scheduler.submit(chat('evacuated'), 10);
  const duringEvacuation = scheduler.decide(10).map(each => each.kind);
  scheduler.setEvacuated([], 5_000);
  read(scheduler, 5_100, [upstream('engine')]);
  const grants = floodGrants(scheduler, 5_100, 6_100);
  matchSnapshot(import.meta.url, 'restored domain', {
    duringEvacuation,
    grantsInTheFirstSecond: grants.length,
  });
});
