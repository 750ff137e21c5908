import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {WorkItem} from '../types.js';
import {
  brief,
  createScheduler,
  ENGINE_TRAITS,
  toLine,
  upstream,
} from './scheduling_fixture.js';

const CAPACITY = ENGINE_TRAITS.kvCacheTokens;
const STEP_MS = 150;

/** A long prompt, most of which few others share. */
function ofOwnManual(index: number): WorkItem {
  const {prompt, ...item} = brief(`b${index}`, {remainingMs: 120_000});
  if (prompt === undefined) return item;
  const parts = [
    {partId: `manual-${index}`, tokens: 6_000},
    {partId: `own-${index}`, tokens: 3_000},
  ];
  return {...item, prompt: {...prompt, parts}};
}

function createOne() {
  const scheduler = createScheduler(ENGINE_TRAITS);
  const reading = {upstreams: [upstream('engine')], readAtMs: 0, lagMs: 800};
  scheduler.pool.applyReading(reading);
  return scheduler;
}

// Guards against an upstream that crashes as the requests it holds exceed its memory:
// shared parts of prompts that running requests use were not counted.
test('running requests with different shared parts fit the memory', () => {
  const scheduler = createOne();
  const granted = Array.from({length: 60}, (_, index) => index).filter(
    index => {
      scheduler.submit(ofOwnManual(index), (index + 1) * 10 * STEP_MS);
      return scheduler
        .decide((index + 1) * 10 * STEP_MS)
        .some(each => each.kind === 'grant');
    },
  );
  assert.ok(granted.length * 9_050 <= CAPACITY, `${granted.length} granted`);
  assert.ok(granted.length * 9_050 > 0.8 * CAPACITY, `${granted.length}`);
});

// Guards against a scheduler that takes over and fills the memory which requests that
// an earlier one granted still occupy.
test('requests that run already count against the memory', () => {
  const scheduler = createOne();
  const running = Array.from({length: 25}, (_, index) => ofOwnManual(index));
  const [first] = running;
  assert.ok(first !== undefined);
  scheduler.syncRunning(
    first.entry,
    {
      placements: running.map(item => ({
        item,
        upstreamId: upstream('engine').upstreamId,
      })),
      limits: [],
    },
    STEP_MS,
  );
  scheduler.submit(ofOwnManual(26), STEP_MS);
  const kinds = scheduler.decide(STEP_MS).map(each => each.kind);
  assert.ok(!kinds.includes('grant'), JSON.stringify(kinds));
});

// Guards against a request that waits for memory that no upstream has.
test('a request larger than any memory is refused at once', () => {
  const scheduler = createOne();
  const {prompt} = brief('huge');
  assert.ok(prompt !== undefined);
  const huge = {...prompt, promptTokens: CAPACITY};
  scheduler.submit(brief('huge', {prompt: huge}), STEP_MS);
  assert.deepEqual(scheduler.takeDecisions().map(toLine), [
    'huge refused: too_large',
  ]);
});
