import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Decision, Release} from '../types.js';
import {
  chat,
  createScheduler,
  PLAIN_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const SLOTS = 6;
const CALL_MS = 21;
/** Time from the grant until the release arrives. */
const HELD_MS = 120;
const CALLS_PER_S = 120;
const DURATION_MS = 4_000;

function endOf(decision: Decision): Release {
  return {
    requestId: decision.requestId,
    upstreamId: upstream('a').upstreamId,
    outcome: 'answered',
    firstAnswerMs: CALL_MS,
    totalMs: CALL_MS,
  };
}

// One upstream runs at 40% of its capacity while messages between entries are
// slow. Guards against refusals because placements of calls that have already
// ended still occupy the slots.
test('slow messages do not idle the slots of a plain service', () => {
  const scheduler = createScheduler(PLAIN_TRAITS);
  scheduler.pool.applyReading({
    upstreams: [upstream('a', {slots: SLOTS})],
    readAtMs: 0,
    lagMs: 0,
  });
  const {prompt: _prompt, ...plain} = chat('x', {targetLatencyMs: 330});
  const running: {readonly release: Release; readonly atMs: number}[] = [];
  const counts = {grant: 0, refuse: 0, offload: 0, pass: 0};
  Array.from({length: DURATION_MS}, (_, nowMs) => {
    running
      .filter(({atMs}) => atMs === nowMs)
      .forEach(({release}) => scheduler.release([release], nowMs));
    const due = Math.floor((nowMs * CALLS_PER_S) / 1_000);
    const isDue = due > Math.floor(((nowMs - 1) * CALLS_PER_S) / 1_000);
    const {requestId} = chat(`call-${due}`);
    if (isDue) scheduler.submit({...plain, requestId}, nowMs);
    const decisions =
      nowMs % 8 === 0 ? scheduler.decide(nowMs) : scheduler.takeDecisions();
    decisions.forEach(decision => {
      counts[decision.kind] += 1;
      if (decision.kind !== 'grant') return;
      running.push({release: endOf(decision), atMs: nowMs + HELD_MS});
    });
  });
  const all = counts.grant + counts.refuse;
  assert.ok(
    counts.refuse <= all * 0.05,
    `${counts.refuse} of ${all} calls were refused`,
  );
});

// Guards against sending an upstream more calls than it accepts.
test('a rejection resets the placement limit to the slots', () => {
  const scheduler = createScheduler(PLAIN_TRAITS);
  const listed = upstream('a', {slots: SLOTS});
  scheduler.pool.applyReading({upstreams: [listed], readAtMs: 0, lagMs: 0});
  const state = scheduler.pool.get(listed.upstreamId);
  const {prompt: _prompt, ...plain} = chat('x');
  const play = (name: string, outcome: Release['outcome'], atMs: number) => {
    const item = {...plain, requestId: chat(name).requestId};
    state?.start(item, atMs);
    const release = {
      ...endOf({requestId: item.requestId} as Decision),
      outcome,
    };
    state?.end(release, atMs + HELD_MS);
  };
  Array.from({length: 40}, (_, index) =>
    play(`c${index}`, 'answered', index * HELD_MS),
  );
  assert.ok((state?.freeSlots ?? 0) > SLOTS);
  play('rejected', 'rejected', 100 * HELD_MS);
  assert.equal(state?.freeSlots, SLOTS);
});
