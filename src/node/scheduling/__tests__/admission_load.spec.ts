import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PRIORITY_FLOOR_SHARE} from '../constants.js';
import type {WorkItem} from '../types.js';
import {
  answeredShare,
  inWorkspace,
  plainItem,
  playLoad,
  timelyShare,
  type LoadOptions,
  type Outcome,
  type Stream,
} from './scheduler_load.js';
import {brief, ENGINE_TRAITS, PLAIN_TRAITS} from './scheduling_fixture.js';

const SERVICE_MS = 80;
/** Of 12 slots. */
const CAPACITY_PER_S = 150;
/** Share of the room that goes to timely answers; a quarter may be booked. */
const TIMELY_SHARE = 2 / 3;
const PLAIN_LOAD = {
  traits: PLAIN_TRAITS,
  upstreams: 2,
  slots: 6,
  durationMs: 14_000,
  serviceMs: () => ({firstMs: SERVICE_MS, totalMs: SERVICE_MS}),
};

function steady(
  name: string,
  perS: number,
  fields: Partial<WorkItem> = {},
): Stream {
  const itemOf = (each: string): WorkItem => plainItem(each, fields);
  return {name, perS, fromMs: 0, toMs: 10_000, itemOf};
}

function of(outcomes: readonly Outcome[], name: string): readonly Outcome[] {
  return outcomes.filter(each => each.stream === name);
}

function play(
  streams: readonly Stream[],
  options: Partial<LoadOptions> = {},
): readonly Outcome[] {
  return playLoad({...PLAIN_LOAD, ...options, streams});
}

function timely(outcomes: readonly Outcome[]): number {
  return outcomes.length * timelyShare(outcomes);
}

// Load: a burst of the least urgent requests. Guards against urgent requests
// that wait behind it, and against room that is spent on late answers.
test('a burst of the least urgent delays only itself', () => {
  const burst = {
    ...steady('burst', 300, {priority: 2}),
    fromMs: 3_000,
    toMs: 5_000,
  };
  const outcomes = play([steady('urgent', 75), burst]);
  assert.ok(timelyShare(of(outcomes, 'urgent')) >= 0.97);
  const room = (CAPACITY_PER_S - 75) * 2;
  const timelyBurst = timely(of(outcomes, 'burst'));
  assert.ok(timelyBurst >= room * TIMELY_SHARE, `${timelyBurst} of ${room}`);
});

// Load: a burst of the most urgent requests. Guards against a less urgent
// priority that gets nothing while it lasts, and against room that is spent on
// late answers.
test('a burst of the most urgent leaves each other priority its floor', () => {
  const burst = {...steady('burst', 400), fromMs: 2_000, toMs: 8_000};
  const less = ['less', 'least'].map((name, index) =>
    steady(name, 40, {priority: index + 1}),
  );
  const outcomes = play([burst, ...less]);
  const floor = (CAPACITY_PER_S * PRIORITY_FLOOR_SHARE) / 40;
  const answered = less.map(({name}) =>
    answeredShare(
      of(outcomes, name).filter(
        each => each.atMs >= 3_000 && each.atMs < 7_000,
      ),
    ),
  );
  // Grants come one at a time, so a floor is met within a tenth.
  assert.ok(
    answered.every(each => each >= floor * 0.9),
    `${answered}`,
  );
  const room = CAPACITY_PER_S * (1 - 2 * PRIORITY_FLOOR_SHARE) * 6;
  const timelyBurst = timely(of(outcomes, 'burst'));
  assert.ok(timelyBurst >= room * TIMELY_SHARE, `${timelyBurst} of ${room}`);
});

// Load: one workspace at eight times its usual. Guards against others that pay
// for it.
test('a workspace at eight times its usual delays only itself', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const usual = names.map(name => steady(name, 20, inWorkspace(name)));
  const calm = play(usual);
  const loud = play([
    ...usual.slice(1),
    {...steady('a', 20, inWorkspace('a')), toMs: 3_000},
    {...steady('loud', 160, inWorkspace('a')), fromMs: 3_000},
  ]);
  const isOther = ({stream}: Outcome): boolean =>
    names.slice(1).includes(stream);
  const [before, after] = [calm, loud].map(each => each.filter(isOther));
  assert.ok(before !== undefined && after !== undefined);
  assert.ok(timelyShare(after) >= timelyShare(before) - 0.03);
  assert.ok(answeredShare(after) >= answeredShare(before) - 0.03);
  const room = (CAPACITY_PER_S - 100) * 7;
  const timelyLoud = timely(of(loud, 'loud'));
  assert.ok(timelyLoud >= room * TIMELY_SHARE, `${timelyLoud} of ${room}`);
});

// Load: many callers are refused at one moment. Guards against their return at
// one moment, and against a second refusal of those who come when told to.
test('callers refused together return one after the other', () => {
  const crowd = {
    ...steady('crowd', 2_500, {remainingMs: 15_000}),
    fromMs: 2_000,
    toMs: 2_100,
  };
  const outcomes = play([steady('usual', 60), crowd]);
  assert.ok(timelyShare(of(outcomes, 'usual')) >= 0.95);
  const refused = of(outcomes, 'crowd').filter(each => each.refusals > 0);
  assert.ok(refused.length >= 100, `${refused.length}`);
  const twice = refused.filter(each => each.refusals > 1);
  assert.ok(twice.length <= refused.length * 0.02, `${twice.length} twice`);
  const told = refused.flatMap(each => each.returnsMs.slice(0, 1));
  const largestGroup = told
    .map(from => told.filter(each => each >= from && each < from + 200).length)
    .reduce((largest, each) => Math.max(largest, each), 0);
  assert.ok(largestGroup <= CAPACITY_PER_S * 0.2, `${largestGroup} in 200 ms`);
});

// Load: more than the engines can read, one prompt in ten much larger. Guards
// against the largest prompts being refused more often than the others.
test('the largest prompts keep their share under overload', () => {
  const itemOf = (name: string, random: () => number): WorkItem => {
    const tokens = random() < 0.1 ? 18_000 : 7_000;
    return brief(name, {
      prompt: {
        promptTokens: tokens,
        maxOutputTokens: 60,
        expectedOutputTokens: 50,
        parts: [{partId: name, tokens}],
      },
    });
  };
  const briefs = {name: 'briefs', perS: 40, fromMs: 0, toMs: 10_000, itemOf};
  const outcomes = play([briefs], {
    traits: ENGINE_TRAITS,
    upstreams: 4,
    slots: 32,
    serviceMs: ({prompt}) => {
      const firstMs = 20 + (prompt?.promptTokens ?? 0) / 35;
      return {firstMs, totalMs: firstMs + 450};
    },
  });
  const isLargest = ({item}: Outcome): boolean =>
    item.prompt?.promptTokens === 18_000;
  const largest = answeredShare(outcomes.filter(isLargest));
  const all = answeredShare(outcomes);
  assert.ok(largest >= all / 2, `${largest} of ${all}`);
  assert.ok(all >= timelyShare(outcomes) && timelyShare(outcomes) >= 0.3);
});
