import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type UpstreamId} from '../../types/ids.js';
import type {Scheduler} from '../scheduler.js';
import {
  chat,
  createScheduler,
  PLAIN_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const BRITTLE = asId<UpstreamId>('brittle');
const SLOTS = 6;
/** Requests that it may turn away in a second. */
const MAX_REJECTIONS_PER_S = 4;
const SECOND_MS = 1_000;
const INTERVAL_MS = 10;
const RUN_MS = 4 * SECOND_MS;

function createWithBrittle(): Scheduler {
  const scheduler = createScheduler(PLAIN_TRAITS);
  scheduler.pool.applyReading({
    upstreams: [upstream('brittle', {slots: SLOTS})],
    readAtMs: 0,
    lagMs: 0,
  });
  scheduler.submit(chat('first'), 0);
  scheduler.decide(0);
  scheduler.pool.noteLimits(BRITTLE, chat('first').requestId, {
    maxRejectionsPerS: MAX_REJECTIONS_PER_S,
    isComplete: true,
  });
  return scheduler;
}

// Guards against an upstream that falls over because it has to turn away one
// request after the other, each as soon as the one before is rejected.
test('a brittle upstream turns away no more than it bears', () => {
  const scheduler = createWithBrittle();
  const times = Array.from(
    {length: RUN_MS / INTERVAL_MS},
    (_, step) => step * INTERVAL_MS,
  );
  const rejectedAtMs = times.flatMap(nowMs => {
    scheduler.submit(chat(`c${nowMs}`), nowMs);
    const granted = scheduler
      .decide(nowMs)
      .filter(decision => decision.kind === 'grant');
    scheduler.release(
      granted.map(({requestId}) => ({
        requestId,
        upstreamId: BRITTLE,
        outcome: 'rejected' as const,
        firstAnswerMs: 0,
        totalMs: 5,
      })),
      nowMs + 5,
    );
    return granted.map(() => nowMs + 5);
  });
  const most = Math.max(
    ...rejectedAtMs.map(
      from =>
        rejectedAtMs.filter(at => at >= from && at < from + SECOND_MS).length,
    ),
  );
  assert.ok(most <= MAX_REJECTIONS_PER_S, `${most} rejections in a second`);
  assert.ok(
    rejectedAtMs.some(at => at > RUN_MS - SECOND_MS),
    'it is retried',
  );
});

// Guards against requests that an upstream has to queue although it lets fewer
// wait, and against a limit that outlives the time in which it is brittle.
test('a brittle upstream gets fewer requests than it has slots', () => {
  const scheduler = createWithBrittle();
  const names = Array.from({length: 3 * SLOTS}, (_, index) => `c${index}`);
  names.forEach(name => scheduler.submit(chat(name), 10));
  const state = scheduler.pool.get(BRITTLE);
  scheduler.decide(10);
  const whileBrittle = state?.running;
  scheduler.pool.noteLimits(BRITTLE, chat('c0').requestId, {isComplete: true});
  scheduler.decide(20);
  assert.deepEqual([whileBrittle, state?.running], [SLOTS - 1, SLOTS]);
});
