import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type InstanceId, type RequestId} from '../../types/ids.js';
import {RefusalCache} from '../refusal_cache.js';
import type {Decision, SchedulerAnswer, WorkItem} from '../types.js';
import {inWorkspace} from './scheduler_load.js';
import {
  brief,
  chat,
  createScheduler,
  ENGINE_TRAITS,
  HOME_A,
  upstream,
} from './scheduling_fixture.js';

const SCHEDULER = asId<InstanceId>('scheduler');
const SLOTS = 4;
const RETRIES_PER_CALLER = 20;

function createFullScheduler() {
  const scheduler = createScheduler(ENGINE_TRAITS);
  const upstreams = ['a', 'b'].map(name => upstream(name, {slots: SLOTS}));
  scheduler.pool.applyReading({upstreams, readAtMs: 0, lagMs: 0});
  return scheduler;
}

function answerOf(decision: Decision): SchedulerAnswer {
  assert.notEqual(decision.kind, 'pass');
  return {
    ...(decision as Exclude<Decision, {kind: 'pass'}>),
    scheduler: SCHEDULER,
    passes: 0,
  };
}

// Callers retry at once when they are refused. Guards against a scheduler that
// spends its time refusing the same callers again.
test('most immediate retries are refused without the scheduler', () => {
  const scheduler = createFullScheduler();
  const memory = new RefusalCache();
  let asked = 0;
  const ask = (item: WorkItem, nowMs: number): Decision | undefined => {
    const remembered = memory.lookup(item, HOME_A, nowMs);
    if (remembered !== undefined) return remembered;
    asked += 1;
    scheduler.submit(item, nowMs);
    const decisions = scheduler.decide(nowMs);
    const decision = decisions.find(each => each.requestId === item.requestId);
    if (decision !== undefined) {
      memory.add(item, HOME_A, answerOf(decision), nowMs);
    }
    return decision;
  };
  Array.from({length: 200}, (_, index) => ask(chat(`first-${index}`), 0));
  asked = 0;
  const retries = Array.from({length: 40}, (_, caller) =>
    Array.from({length: RETRIES_PER_CALLER}, (__, time) => ({
      item: chat(`again-${caller}-${time}`),
      atMs: 1 + time * 10,
    })),
  ).flat();
  const refused = retries.filter(
    ({item, atMs}) => ask(item, atMs)?.kind === 'refuse',
  );
  assert.equal(refused.length, retries.length);
  assert.ok(asked <= 4, `${asked} of ${retries.length} reached the scheduler`);
});

// Guards against cached refusals that apply to other kinds of requests or
// outlive the overload.
test('a cached refusal applies to its kind of request until it expires', () => {
  const memory = new RefusalCache();
  const item = chat('one');
  memory.add(
    item,
    HOME_A,
    {
      kind: 'refuse',
      requestId: item.requestId,
      entry: item.entry,
      scheduler: SCHEDULER,
      passes: 0,
      reason: 'overloaded',
      retryAfterMs: 600,
      predictedWaitMs: 600,
      usableUpstreams: 2,
      queueLength: 9,
      closedForMs: 120,
      decisionAgeMs: 0,
    },
    1_000,
  );
  const ids = [
    memory.lookup(chat('two'), HOME_A, 1_100),
    memory.lookup(brief('three'), HOME_A, 1_100),
    memory.lookup(chat('four', {priority: 1}), HOME_A, 1_100),
    memory.lookup(chat('five'), HOME_A, 1_121),
    memory.lookup(chat('six', inWorkspace('other')), HOME_A, 1_100),
  ].map(each => [each?.requestId, each?.decisionAgeMs]);
  assert.deepEqual(ids, [
    [asId<RequestId>('two'), 100],
    [undefined, undefined],
    [undefined, undefined],
    [undefined, undefined],
    [undefined, undefined],
  ]);
});

// Guards against a caller that comes back when told to and is refused by its
// entry, before its scheduler can recognise it.
test('a cached refusal ends when the first caller may come back', () => {
  const scheduler = createFullScheduler();
  const submit = (name: string, nowMs: number): readonly Decision[] => {
    scheduler.submit(chat(name), nowMs);
    return scheduler.takeDecisions();
  };
  const refused = Array.from({length: 400}, (_, index) =>
    submit(`caller-${index}`, 0),
  )
    .flat()
    .filter(each => each.kind === 'refuse');
  const [first] = refused;
  assert.ok(first !== undefined);
  const [later] = submit('later', first.retryAfterMs - 50);
  assert.ok(later?.kind === 'refuse' && later.reason === 'overloaded');
  assert.ok(later.closedForMs <= 50, `${later.closedForMs}`);
});
