import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {BROKEN, event, grant, refuse, runStream} from './support/memory_run.js';

type Outcomes = Readonly<Record<string, readonly string[]>>;

const NO_PLACE = refuse('no_replacement');
const FIRST_EVENT_MS = 400;
const OTHER = [event(300, 1), event(400, 2), event(500, 3)];

const CASES = [
  {
    // Prompts of other requests delay the first event by seconds.
    name: 'a deep queue of prompts, no free place elsewhere',
    slow: [event(2_600, 1), event(3_000, 2), event(3_400, 3)],
    decisions: [grant('slow'), NO_PLACE],
  },
  {
    name: 'a deep queue of prompts, a free place elsewhere',
    slow: [event(2_600, 1), event(3_000, 2), event(3_400, 3)],
    decisions: [grant('slow'), grant('other')],
  },
  {
    name: 'gaps below the target of the route, a free place elsewhere',
    slow: [event(FIRST_EVENT_MS, 1), event(980, 2), event(1_560, 3)],
    decisions: [grant('slow'), grant('other')],
  },
  {
    name: 'a long gap between two events, no free place elsewhere',
    slow: [event(FIRST_EVENT_MS, 1), event(2_500, 2), event(2_700, 3)],
    decisions: [grant('slow'), NO_PLACE],
  },
  {
    name: 'a dead upstream, a free place elsewhere',
    slow: [],
    decisions: [grant('slow'), grant('other')],
  },
  {
    name: 'a dead upstream, a free place elsewhere after two refusals',
    slow: [event(FIRST_EVENT_MS, 1)].concat({atMs: 60_000, text: ''}),
    decisions: [grant('slow'), NO_PLACE, NO_PLACE, grant('other')],
  },
  {
    name: 'an upstream that is known to be down, no free place elsewhere',
    slow: [],
    decisions: [grant('slow'), refuse('upstream_down'), refuse('overloaded')],
  },
  {
    name: 'bytes without events, a free place elsewhere',
    slow: trickle(),
    decisions: [grant('slow'), grant('other')],
  },
  {
    name: 'bytes without events until the deadline, no free place elsewhere',
    slow: trickle(),
    decisions: [grant('slow'), NO_PLACE],
  },
];

/** One event, then a byte of a comment every 300 ms. */
function trickle() {
  const bytes = Array.from({length: 40}, (_, number) => ({
    atMs: 700 + number * 300,
    text: ':',
  }));
  return [event(FIRST_EVENT_MS, 1), ...bytes];
}

// Guards against sound streams that are cut because their upstream is slow: the
// entry gave up on it, found no other place and closed the caller's connection
// in the middle of a response. Also against streams that stall with a byte now
// and then, which never ended.
test('a stalled stream is moved or left alone, and never cut', async t => {
  const outcomes = await CASES.reduce<Promise<Outcomes>>(
    async (before, {name, slow, decisions}) => {
      const done = await before;
      const isResumed = slow.some(each => each.atMs === FIRST_EVENT_MS);
      const other = isResumed ? OTHER.slice(1) : OTHER;
      const upstreams = {slow, other};
      const lines = await runStream(t, {upstreams, decisions, runMs: 7_000});
      return {...done, [name]: lines};
    },
    Promise.resolve({}),
  );
  matchSnapshot(import.meta.url, 'stalled_streams', outcomes);
});

// Guards against a second run of a request that may run at most once.
test('a stalled stream that cannot be resumed is left alone', async t => {
  const lines = await runStream(t, {
    upstreams: {slow: [event(4_000, 1)], other: OTHER},
    decisions: [grant('slow'), grant('other')],
    route: {isResumable: false},
    runMs: 7_000,
  });
  matchSnapshot(import.meta.url, 'stalled_at_most_once', lines);
});

// Guards against a stream that is refused another upstream because its target
// has passed while it ran, and then ends in the middle of a response.
test('the target of a stream counts anew after its upstream broke', async t => {
  const agesMs: number[] = [];
  await runStream(t, {
    upstreams: {
      slow: [event(400, 1), {atMs: 900, text: BROKEN}],
      other: OTHER,
    },
    decisions: ['slow', 'other'].map(name => item => {
      agesMs.push(item.ageMs);
      return grant(name)(item);
    }),
    runMs: 3_000,
  });
  assert.deepEqual(agesMs, [0, 0]);
});
