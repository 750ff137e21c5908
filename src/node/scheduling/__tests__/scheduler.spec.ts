import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import type {Scheduler} from '../scheduler.js';
import type {Decision, ListedUpstream, Release, WorkItem} from '../types.js';
import {
  AWAY,
  AWAY_A,
  brief,
  chat,
  createScheduler,
  ENGINE_TRAITS,
  toLine,
  PLAIN_TRAITS,
  upstream,
} from './scheduling_fixture.js';

function schedulerWith(
  traits: Parameters<typeof createScheduler>[0],
  upstreams: readonly ListedUpstream[],
): Scheduler {
  const scheduler = createScheduler(traits);
  scheduler.pool.applyReading({upstreams, readAtMs: 0, lagMs: 800});
  return scheduler;
}

function submitAll(
  scheduler: Scheduler,
  items: readonly WorkItem[],
  nowMs: number,
): readonly Decision[] {
  items.forEach(item => scheduler.submit(item, nowMs));
  return scheduler.decide(nowMs);
}

function plain(name: string, fields: Partial<WorkItem> = {}): WorkItem {
  const {prompt: _prompt, ...rest} = chat(name, {targetLatencyMs: 400});
  return {...rest, ...fields};
}

function ended(decision: Decision): Release {
  return {
    requestId: decision.requestId,
    upstreamId: upstream('a').upstreamId,
    outcome: 'answered',
    firstAnswerMs: 9,
    totalMs: 9,
  };
}

// Guards against more requests at an upstream than it has slots.
test('requests beyond the slots wait in order', () => {
  const scheduler = schedulerWith(PLAIN_TRAITS, [upstream('a', {slots: 2})]);
  const items = ['p1', 'p2', 'p3'].map(name => plain(name));
  const first = submitAll(scheduler, items, 0).map(toLine);
  scheduler.release(
    [
      {
        requestId: plain('p1').requestId,
        upstreamId: upstream('a').upstreamId,
        outcome: 'answered',
        firstAnswerMs: 30,
        totalMs: 30,
      },
    ],
    30,
  );
  const afterRelease = scheduler.decide(30).map(toLine);
  matchSnapshot(import.meta.url, 'waits for a slot', {first, afterRelease});
});

// Guards against queueing a request that will miss its target.
test('a request behind too long a queue is refused at once', () => {
  const scheduler = schedulerWith(PLAIN_TRAITS, [upstream('a', {slots: 1})]);
  const items = Array.from({length: 20}, (_, number) => plain(`p${number}`));
  const decisions = submitAll(scheduler, items, 0);
  const refused = decisions.filter(each => each.kind === 'refuse');
  assert.ok(refused.length >= 8);
  assert.ok(refused.every(each => each.reason === 'overloaded'));
});

// Guards against urgent requests behind a backlog of less urgent ones.
test('a chat overtakes queued briefs', () => {
  const scheduler = schedulerWith(ENGINE_TRAITS, [upstream('a')]);
  const flood = ['b1', 'b2', 'b3', 'b4'].map(name => brief(name));
  const first = submitAll(scheduler, flood, 0).map(toLine);
  scheduler.submit(chat('urgent'), 10);
  const laterMs = [10, 100, 200, 300, 400];
  const later = laterMs.flatMap(atMs => scheduler.decide(atMs).map(toLine));
  matchSnapshot(import.meta.url, 'urgent first', {first, later});
});

// Guards against starvation: urgent requests that are granted on arrival would
// bypass the turns reserved for queued requests of lower priority.
test('a flood of urgent calls does not starve lower priorities', () => {
  const scheduler = schedulerWith(PLAIN_TRAITS, [upstream('a', {slots: 1})]);
  scheduler.submit(plain('running'), 0);
  scheduler.submit(plain('waiting', {priority: 2}), 0);
  const steps = Array.from({length: 12}, (_, step) => step);
  const order = steps.flatMap(step => {
    const [last] = scheduler.takeDecisions();
    if (last === undefined) return scheduler.decide(step * 10).map(toLine);
    scheduler.release([ended(last)], step * 10);
    scheduler.submit(plain(`urgent-${step}`), step * 10);
    return [toLine(last)];
  });
  assert.ok(order.includes('waiting -> a'), order.join(', '));
});

// Guards against long prompts on every engine, where prefill would delay the
// tokens of all streams: under floods of both kinds, chats avoid the engines
// that take briefs.
test('a flood of briefs leaves chats engines without long prompts', () => {
  const engines = ['a', 'b', 'c', 'd'].map(name => upstream(name));
  const scheduler = schedulerWith(ENGINE_TRAITS, engines);
  const steps = Array.from({length: 100}, (_, step) => step);
  const grants = steps.flatMap(step => {
    const items = [
      chat(`c${step}`),
      ...(step % 4 === 0 ? [brief(`b${step}`)] : []),
    ];
    return submitAll(scheduler, items, step * 20);
  });
  const upstreamsOf = (initial: string): ReadonlySet<string> =>
    new Set(
      grants
        .filter(each => each.kind === 'grant')
        .filter(each => each.requestId.startsWith(initial))
        .map(each => each.upstreamId),
    );
  const ofBriefs = upstreamsOf('b');
  const shared = [...upstreamsOf('c')].filter(each => ofBriefs.has(each));
  assert.ok(ofBriefs.size < engines.length);
  assert.ok(shared.length < ofBriefs.size || shared.length === 0);
});

// Guards against a region that refuses requests while another is idle, and
// against offloads to a region that the route does not allow.
test('an overloaded region offloads only where the route allows it', () => {
  const scheduler = schedulerWith(PLAIN_TRAITS, [upstream('a', {slots: 1})]);
  const service = plain('x').service;
  scheduler.board.record(
    {
      region: AWAY,
      domain: AWAY_A,
      service,
      upstreams: 1,
      freeSlots: 4,
      freeTokens: 0,
      waitMs: 0,
      readShare: 0,
    },
    0,
  );
  const bound = Array.from({length: 12}, (_, number) => plain(`h${number}`));
  const free = Array.from({length: 6}, (_, number) =>
    plain(`f${number}`, {otherRegions: [AWAY]}),
  );
  const decisions = submitAll(scheduler, [...bound, ...free], 0).map(toLine);
  matchSnapshot(import.meta.url, 'offload if allowed', decisions);
});

// Guards against a new scheduler that counts placements that have ended, or
// counts its own grants twice.
test('a sync replaces the placements of an entry', () => {
  const scheduler = schedulerWith(PLAIN_TRAITS, [upstream('a', {slots: 3})]);
  submitAll(scheduler, [plain('p1'), plain('p2')], 0);
  const {upstreamId} = upstream('a');
  scheduler.syncRunning(
    plain('p1').entry,
    {placements: [{item: plain('p2'), upstreamId}], limits: []},
    10,
  );
  assert.equal(scheduler.pool.get(upstreamId)?.running, 1);
});

// Guards against more retries than all instances together may send.
test('retries stop at the budget', () => {
  const scheduler = schedulerWith(PLAIN_TRAITS, [upstream('a')]);
  const retries = Array.from({length: 40}, (_, number) =>
    plain(`r${number}`, {isRepeat: true}),
  );
  const decisions = submitAll(scheduler, retries, 0);
  const grants = decisions.filter(each => each.kind === 'grant');
  assert.equal(grants.length, 18);
});

// Guards against callers that retry while there is still no upstream and are
// refused again.
test('a refusal without upstreams asks for a retry after seconds', () => {
  const scheduler = schedulerWith(PLAIN_TRAITS, [
    upstream('a', {isDraining: true}),
  ]);
  const [decision] = submitAll(scheduler, [plain('p1')], 0);
  assert.equal(decision?.kind, 'refuse');
  assert.ok(decision?.kind === 'refuse' && decision.retryAfterMs >= 2_000);
});
