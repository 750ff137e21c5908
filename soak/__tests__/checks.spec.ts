import assert from 'node:assert/strict';
import {test} from 'node:test';
import {drawFaults} from '../fault_plan.js';
import type {History} from '../history.js';
import {createLayout} from '../layout.js';
import {
  arrival,
  call,
  order,
  problemsOf,
  run,
} from './support/forged_history.js';

// Guards against a check that finds fault with a history that keeps all
// promises.
test('a history that keeps all promises has no problems', () => {
  assert.deepEqual(problemsOf({}), []);
});

const STREAM = Array.from(
  {length: 5},
  (_, id) => `id: ${id}\ndata: piece ${id}\n\n`,
).join('');

function eventOf(attemptId: string): string {
  return `id: 0\ndata: piece 0 of v1 for ${attemptId}\n\n`;
}

const FORGED: readonly (readonly [RegExp, Partial<History>])[] = [
  [/ran 2 times/, {runs: [run(), run({upstreamId: 'u1-0'})]}],
  [/answered 503 and has run/, {calls: [call({status: 503, text: ''})]}],
  [
    /answered 421 and has run/,
    {
      calls: [call({status: 421, text: ''})],
      runs: [run({startedAtMs: 29_000})],
    },
  ],
  [
    /got an event of a2/,
    {calls: [call({route: 'once', text: eventOf('a1') + eventOf('a2')})]},
  ],
  [
    /got the failure "failed by u0-0 a2"/,
    {calls: [call({status: 500, text: 'failed by u0-0 a2'})]},
  ],
  [/got "done by u0-0 a2"/, {calls: [call({text: 'done by u0-0 a2'})]}],
  [/did not run it/, {calls: [call({stamp: 'by u9-0'})]}],
  [
    /as a whole stream/,
    {calls: [call({route: 'once', text: STREAM.replace('id: 3', 'id: 4')})]},
  ],
  [
    /has events of v1 and v2/,
    {
      calls: [
        call({
          route: 'chat',
          text: 'id: 4\ndata: piece 4 of v2\n\n',
          takesUp: {attemptId: 'a1', lastEventId: 3, versions: ['v1']},
        }),
      ],
    },
  ],
  [
    /outside its home regions/,
    {calls: [call({route: 'homed'})], runs: [run()]},
  ],
  [
    /did not serve a route of version 4/,
    {probes: [{entry: 'e', version: 4, sentAtMs: 19_500, status: 404}]},
  ],
  [
    /served a route that was dropped after version 4/,
    {
      operator: [
        order('replace', 4),
        order('replace', 7),
        order('read', 7, {sentAtMs: 9_000}),
      ],
      probes: [{entry: 'e', version: 4, sentAtMs: 19_500, status: 413}],
    },
  ],
  [/was cut/, {calls: [call({isComplete: false})], losesNothing: true}],
  [/which nobody sent/, {runs: [run(), run({attemptId: 'a7'})]}],
  [
    /version 4 was read after 7 was confirmed/,
    {
      operator: [
        order('replace', 4),
        order('replace', 7),
        order('read', 4, {sentAtMs: 9_000}),
      ],
    },
  ],
  [
    /other content than was sent/,
    {operator: [order('replace', 4), order('read', 4, {text: 'x'})]},
  ],
  [
    /at the end version 4 was read, 7 was confirmed/,
    {operator: [order('replace', 4), order('replace', 7), order('read', 4)]},
  ],
  [/could not be read/, {operator: [order('replace', 4)]}],
  [
    /ran in evacuated north-a/,
    {
      operator: [
        order('replace', 4),
        order('evacuate', 0, {text: 'north-a'}),
        order('read', 4),
      ],
    },
  ],
  [
    /ran in evacuated north-a/,
    {
      operator: [
        order('replace', 4),
        // Given up before the order that it must not undo.
        order('return', 0, {text: 'north-a', status: 0, endedAtMs: 105}),
        order('evacuate', 0, {text: 'north-a', sentAtMs: 106}),
        order('return', 0, {text: 'south-a', sentAtMs: 120}),
        order('read', 4),
      ],
    },
  ],
  [
    /ran in evacuated north-a/,
    {
      calmAtMs: 18_000,
      entriesKeepTouch: true,
      operator: [
        order('replace', 4),
        order('evacuate', 0, {text: 'north-a'}),
        order('read', 4),
      ],
    },
  ],
  [
    /nothing ran in south-a, which was taken back/,
    {
      operator: [
        order('replace', 4),
        order('evacuate', 0, {text: 'south-a'}),
        order('return', 0, {text: 'south-a', sentAtMs: 120, endedAtMs: 130}),
        order('read', 4),
      ],
    },
  ],
  [
    /41 repeated arrivals in a window with 1 requests, 40 are allowed/,
    {arrivals: Array.from({length: 42}, (_, index) => arrival(index))},
  ],
  [/only 0 of 1 calls were served/, {calls: [call({status: 502})]}],
  [/ended by itself/, {unexpectedExits: ['entry-1 (code 1)']}],
  [/stopped too slowly/, {slowStops: ['entry-1']}],
];

// Guards against a check that a broken promise passes.
test('each broken promise is found', () => {
  FORGED.forEach(([expected, fields]) => {
    const problems = problemsOf(fields);
    assert.ok(
      problems.some(problem => expected.test(problem)),
      `${expected} not in ${JSON.stringify(problems)}`,
    );
  });
});

// Guards against a check that counts first arrivals, or those of two windows.
test('as many repeats as the budget allows are in order', () => {
  const inTwoWindows = Array.from({length: 81}, (_, index) =>
    arrival(index < 41 ? index : index + 10_000),
  );
  const firsts = Array.from({length: 60}, (_, index) => ({
    ...arrival(index),
    attemptId: `b${index}`,
  }));
  assert.deepEqual(problemsOf({arrivals: [...inTwoWindows, ...firsts]}), []);
});

// Guards against a check that takes an order which may have come after the
// evacuation for one that came before it.
test('an order to take back that crosses the evacuation ends it', () => {
  const operator = [
    order('replace', 4),
    order('return', 0, {text: 'north-a', endedAtMs: 107}),
    order('evacuate', 0, {text: 'north-a', sentAtMs: 106}),
    order('read', 4, {sentAtMs: 9_000}),
  ];
  assert.deepEqual(problemsOf({operator}), []);
});

// Guards against a seed that cannot be repeated.
test('a seed draws the same faults every time', () => {
  const layout = createLayout(0);
  assert.deepEqual(drawFaults(11, layout), drawFaults(11, layout));
  assert.notDeepEqual(drawFaults(11, layout), drawFaults(12, layout));
});
