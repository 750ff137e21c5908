import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {PromptPart, PromptSize, WorkItem} from '../types.js';
import {brief, chat, ENGINE_TRAITS} from './scheduling_fixture.js';
import {PREFILL_TOKENS_PER_MS} from '../constants.js';
import {ACTUAL_TOKENS_PER_MS, UnevenEngines} from './uneven_engines.js';

const LEARNING_MS = 6_000;
/** Of the speed of an engine, so that waits are predicted within it. */
const MAX_ERROR = 0.25;
const END_MS = 10_000;
const EQUAL_SPEEDS = [1, 1, 1, 1, 1, 1, 1, 1];
const NO_FETCH = {...ENGINE_TRAITS, fetchMsPerToken: 0};
const UNEVEN_SPEEDS = [0.55, 0.8, 1, 1, 1, 1, 1.1, 1.2];

/** A mix of short and long prompts, one chat each `chatEveryMs`. */
function load(chatEveryMs: number, briefEveryMs: number) {
  return (nowMs: number): readonly WorkItem[] => [
    ...(nowMs % chatEveryMs === 0
      ? [chat(`c${nowMs}`, {priority: (nowMs / chatEveryMs) % 2 === 0 ? 0 : 2})]
      : []),
    ...(nowMs % briefEveryMs === 0 ? [brief(`b${nowMs}`)] : []),
  ];
}

function played(speeds: readonly number[]): UnevenEngines {
  const played = new UnevenEngines(speeds, NO_FETCH);
  played.play(0, LEARNING_MS, load(10, 60));
  played.play(LEARNING_MS, END_MS, load(10, 60));
  return played;
}

/** Requests that each engine got once the speeds were learned. */
function chatsOf(
  {engines}: UnevenEngines,
  isCounted: (item: WorkItem) => boolean,
): readonly number[] {
  return engines.map(
    engine =>
      engine.runs.filter(
        ({item, grantedAtMs}) =>
          grantedAtMs >= LEARNING_MS &&
          item.requestId.startsWith('c') &&
          isCounted(item),
      ).length,
  );
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

// Guards against engines of speeds 0.55 to 1.2 that count as equal: learned with a
// weight of one twentieth and only from long prompts, most of the engines still
// counted as nominal after six seconds of load.
test('the speeds of uneven engines are known after seconds of load', () => {
  const played = new UnevenEngines(UNEVEN_SPEEDS, NO_FETCH);
  played.play(0, LEARNING_MS, load(20, 60));
  const slownesses = played.slownesses();
  const errors = slownesses.map((slowness, index) => {
    const tokensPerMs = PREFILL_TOKENS_PER_MS / slowness;
    const actual = ACTUAL_TOKENS_PER_MS * (UNEVEN_SPEEDS[index] ?? 1);
    return Math.abs(tokensPerMs / actual - 1);
  });
  assert.ok(
    Math.max(...errors) < MAX_ERROR,
    JSON.stringify({slownesses, errors}),
  );
});

// Guards against a slow engine that gets as much, or nothing at all: it must keep a
// share, with less of what is urgent, and count as healthy.
test('a slow engine gets less, and less of what is urgent', () => {
  const uneven = played(UNEVEN_SPEEDS);
  const all = chatsOf(uneven, () => true);
  const urgent = chatsOf(uneven, ({priority}) => priority === 0);
  const [slow = 0] = all;
  const [slowUrgent = 0] = urgent;
  const seen = JSON.stringify({all, urgent});
  assert.ok(slow < 0.8 * mean(all), seen);
  assert.ok(slow > 0.1 * mean(all), seen);
  assert.ok(slowUrgent / mean(urgent) <= slow / mean(all), seen);
  const [state] = uneven.scheduler.pool.all();
  assert.equal(state?.recentFailureShare(END_MS), 0);
});

// Guards against one engine that gets twice the work of the others although all are
// equal, because it comes first in the list.
test('engines of equal speed get equal work', () => {
  const idle = new UnevenEngines(EQUAL_SPEEDS, NO_FETCH);
  idle.play(0, END_MS, nowMs => {
    const parts = [{partId: `own-${nowMs}`, tokens: 800}];
    const item = chat(`c${nowMs}`, {prompt: promptOf(parts)});
    return nowMs % 500 === 0 ? [item] : [];
  });
  const counts = [idle, played(EQUAL_SPEEDS)].map(each =>
    each.engines.map(({runs}) => runs.length),
  );
  counts.forEach(each => {
    const used = withoutLane(each);
    assert.ok(Math.max(...used) <= 1.4 * mean(used), JSON.stringify(counts));
  });
});

/** Without the engines that are kept for long prompts. */
function withoutLane(counts: readonly number[]): readonly number[] {
  return counts.filter(each => each > 0.5 * mean(counts));
}

// Guards against shared parts that draw all requests to the engine that read them
// first: the prefill saved counts, but not more than the wait for it.
test('a loaded engine loses to an idle one that has not read the prompt', () => {
  const engines = new UnevenEngines([1, 1, 1, 1], NO_FETCH);
  const [first, ...burst] = Array.from({length: 12}, (_, index) =>
    chat(`c${index}`, {
      prompt: promptOf([
        {partId: 'rules', tokens: 1_500},
        {partId: `own-${index}`, tokens: 1_500},
      ]),
    }),
  );
  engines.play(0, 400, nowMs =>
    nowMs === 0 && first !== undefined ? [first] : [],
  );
  engines.play(400, 600, nowMs => (nowMs === 400 ? burst : []));
  const counts = engines.engines.map(({runs}) => runs.length);
  assert.ok(Math.min(...counts) > 0, JSON.stringify(counts));
  assert.ok(Math.max(...counts) > mean(counts), JSON.stringify(counts));
});

// Guards against a burst of long prompts that waits for the few engines kept for
// them while all others are idle.
test('long prompts leave the lane when they have waited for it', () => {
  const engines = new UnevenEngines([1, 1, 1, 1], NO_FETCH);
  const burst = Array.from({length: 12}, (_, index) => brief(`b${index}`));
  engines.play(0, 1_500, nowMs => (nowMs === 0 ? burst : []));
  const waitsMs = engines.engines
    .flatMap(({runs}) => runs)
    .map(({begunAtMs}) => begunAtMs);
  assert.equal(waitsMs.length, burst.length);
  assert.ok(Math.max(...waitsMs) < 900, JSON.stringify(waitsMs));
});

function promptOf(parts: readonly PromptPart[]): PromptSize {
  return {
    promptTokens: parts.reduce((sum, each) => sum + each.tokens, 0),
    maxOutputTokens: 400,
    expectedOutputTokens: 294,
    parts,
  };
}
