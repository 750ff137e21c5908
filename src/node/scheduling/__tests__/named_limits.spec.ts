import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {asId, type InstanceId, type UpstreamId} from '../../types/ids.js';
import type {Scheduler} from '../scheduler.js';
import type {Decision, WorkItem} from '../types.js';
import {
  chat,
  createScheduler,
  ENGINE_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const LIMITED = asId<UpstreamId>('limited');
const OTHERS = ['b', 'c'];
const LIMIT_PER_S = 2;
const INTERVAL_MS = 25;
const SHORT_INTERVAL_MS = 5;
const SECOND_MS = 1_000;
const DAY_MS = 8 * SECOND_MS;

function createWith(names: readonly string[]): Scheduler {
  const scheduler = createScheduler(ENGINE_TRAITS);
  const upstreams = names.map(name => upstream(name));
  scheduler.pool.applyReading({upstreams, readAtMs: 0, lagMs: 0});
  return scheduler;
}

/** Sends chats at a steady pace; each is answered before the next one. */
function sendFor(
  scheduler: Scheduler,
  fromMs: number,
  durationMs: number,
  intervalMs = INTERVAL_MS,
): readonly Decision[] {
  const times = Array.from(
    {length: durationMs / intervalMs},
    (_, step) => fromMs + step * intervalMs,
  );
  return times.flatMap(nowMs => {
    scheduler.submit(chat(`c${nowMs}`), nowMs);
    const decisions = scheduler.decide(nowMs);
    decisions.forEach(each => {
      if (each.kind !== 'grant') return;
      const {requestId, upstreamId} = each;
      const answer = {firstAnswerMs: 20, totalMs: 20};
      scheduler.release(
        [{requestId, upstreamId, outcome: 'answered', ...answer}],
        nowMs + 20,
      );
    });
    return decisions;
  });
}

function countOf(decisions: readonly Decision[], name: string): number {
  return decisions.filter(
    each => each.kind === 'grant' && each.upstreamId === name,
  ).length;
}

// Guards against an upstream in need that is overrun, and against one that gets
// nothing, so that the end of its limit is never seen.
test('starts at a limited upstream are spaced, and never end', () => {
  const rates = [LIMIT_PER_S, 0.5, 0].map(maxRequestsPerS => {
    const scheduler = createWith([LIMITED, ...OTHERS]);
    scheduler.pool.adoptLimit({upstreamId: LIMITED, maxRequestsPerS});
    const decisions = sendFor(scheduler, SECOND_MS, DAY_MS);
    const others = OTHERS.reduce(
      (sum, name) => sum + countOf(decisions, name),
      0,
    );
    return {
      maxRequestsPerS,
      started: countOf(decisions, LIMITED),
      others,
      refused: decisions.filter(each => each.kind === 'refuse').length,
    };
  });
  matchSnapshot(import.meta.url, 'limited upstream', rates);
});

// Guards against requests that wait for upstreams which will not take them in
// time.
test('requests beyond all limits are refused at once', () => {
  const scheduler = createWith([LIMITED]);
  scheduler.pool.adoptLimit({
    upstreamId: LIMITED,
    maxRequestsPerS: LIMIT_PER_S,
  });
  const items = Array.from({length: 6}, (_, number) => chat(`c${number}`));
  items.forEach(item => scheduler.submit(item, SECOND_MS));
  // The next start is due 0.56 s later, after the target of a chat.
  const kinds = scheduler.decide(SECOND_MS).map(each => each.kind);
  assert.deepEqual(kinds, ['grant', ...items.slice(1).map(() => 'refuse')]);
});

// Guards against a limit that an answer ends which was sent before the limit was
// named, and against one that no answer ends.
test('only an answer to a later request ends a limit', () => {
  const scheduler = createWith([LIMITED]);
  const start = (name: string, nowMs: number) => {
    scheduler.submit(chat(name), nowMs);
    scheduler.decide(nowMs);
    return chat(name).requestId;
  };
  const {pool} = scheduler;
  const limit = () => pool.get(LIMITED)?.limit.maxRequestsPerS;
  const early = start('early', 1_000);
  const naming = start('naming', 2_000);
  pool.noteLimits(LIMITED, naming, {
    maxRequestsPerS: LIMIT_PER_S,
    isComplete: true,
  });
  pool.noteLimits(LIMITED, early, {isComplete: true});
  const afterEarly = limit();
  const late = start('late', 5_000);
  pool.noteLimits(LIMITED, late, {isComplete: true});
  assert.deepEqual([afterEarly, limit()], [LIMIT_PER_S, undefined]);
});

// Guards against a rejection, or a response that is not known to come from the
// upstream, which ends the limits that it does not name.
test('an incomplete response changes only the limits that it names', () => {
  const scheduler = createWith([LIMITED]);
  scheduler.submit(chat('naming'), SECOND_MS);
  scheduler.submit(chat('rejected'), 2 * SECOND_MS);
  scheduler.decide(2 * SECOND_MS);
  const {pool} = scheduler;
  const limits = () => {
    const state = pool.get(LIMITED);
    return [state?.limit.maxRequestsPerS, state?.rejections.maxRejectionsPerS];
  };
  pool.noteLimits(LIMITED, chat('naming').requestId, {
    maxRequestsPerS: LIMIT_PER_S,
    isComplete: true,
  });
  const rejected = chat('rejected').requestId;
  pool.noteLimits(LIMITED, rejected, {maxRejectionsPerS: 4, isComplete: false});
  const afterBrittle = limits();
  pool.noteLimits(LIMITED, rejected, {isComplete: false});
  assert.deepEqual(
    [afterBrittle, limits()],
    [
      [LIMIT_PER_S, 4],
      [LIMIT_PER_S, 4],
    ],
  );
});

// Guards against a scheduler that takes over and overruns a limited upstream
// until the next answer tells it the limit.
test('a new scheduler learns the limits from the entries', () => {
  const scheduler = createWith([LIMITED, ...OTHERS]);
  const limits = [{upstreamId: LIMITED, maxRequestsPerS: LIMIT_PER_S}];
  scheduler.syncRunning(chat('c1').entry, {placements: [], limits}, SECOND_MS);
  const decisions = sendFor(scheduler, SECOND_MS, SECOND_MS);
  assert.ok(countOf(decisions, LIMITED) <= LIMIT_PER_S);
});

// Guards against a scheduler that takes over before it has read the list, and then
// takes the upstreams for idle and unlimited.
test('what is handed over before the list is read holds after it', () => {
  const scheduler = createScheduler(ENGINE_TRAITS);
  const {entry} = chat('any');
  const other = asId<InstanceId>('other');
  const placementOf = (item: WorkItem) => ({item, upstreamId: LIMITED});
  const limits = [{upstreamId: LIMITED, maxRequestsPerS: LIMIT_PER_S}];
  const kept = ['kept', 'ended'].map(name => placementOf(chat(name)));
  const lost = [placementOf(chat('lost', {entry: other}))];
  scheduler.syncRunning(entry, {placements: kept, limits}, SECOND_MS);
  scheduler.syncRunning(other, {placements: lost, limits: []}, SECOND_MS);
  scheduler.pruneEntries(each => each === entry);
  scheduler.release(
    [
      {
        requestId: chat('ended').requestId,
        upstreamId: LIMITED,
        outcome: 'answered',
        firstAnswerMs: 20,
        totalMs: 20,
      },
    ],
    SECOND_MS,
  );
  const upstreams = [upstream(LIMITED)];
  scheduler.pool.applyReading({upstreams, readAtMs: SECOND_MS, lagMs: 0});
  const state = scheduler.pool.get(LIMITED);
  const running = state?.runningRequests.map(({item}) => item.requestId);
  assert.deepEqual(running, [chat('kept').requestId]);
  assert.equal(state?.limit.maxRequestsPerS, LIMIT_PER_S);
});

// Guards against two schedulers that both assign an upstream, while entries disagree
// on which of them are alive, and together send it more than it bears.
test('two schedulers together stay within half as much again', () => {
  const limitPerS = 10;
  const windowMs = 4 * SECOND_MS;
  const maxInWindow = 1.5 * limitPerS * (windowMs / SECOND_MS) + 5;
  const started = [1, 2].map(() => {
    const scheduler = createWith([LIMITED, ...OTHERS]);
    scheduler.pool.adoptLimit({
      upstreamId: LIMITED,
      maxRequestsPerS: limitPerS,
    });
    const decisions = sendFor(
      scheduler,
      SECOND_MS,
      windowMs,
      SHORT_INTERVAL_MS,
    );
    return countOf(decisions, LIMITED);
  });
  const both = started.reduce((sum, each) => sum + each, 0);
  assert.ok(both <= maxInWindow, `${both} starts, ${maxInWindow} allowed`);
  assert.ok(both >= limitPerS * (windowMs / SECOND_MS), `only ${both} starts`);
});
