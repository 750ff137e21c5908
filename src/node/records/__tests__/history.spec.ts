import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  checkCallHistory,
  type CallEvent,
} from '../../__tests__/support/history.js';

const GOOD: readonly CallEvent[] = [
  {kind: 'invoked', callId: 'one', key: 'k'},
  {kind: 'invoked', callId: 'two', key: 'k'},
  {kind: 'executed', callId: 'one', key: 'k', result: 'sitting 7'},
  {kind: 'answered', callId: 'one', work: 'ran', result: 'sitting 7'},
  {kind: 'answered', callId: 'two', work: 'ran', result: 'sitting 7'},
  {kind: 'invoked', callId: 'three', key: 'l'},
  {kind: 'answered', callId: 'three', work: 'not_run'},
];

// Guards against a checker that accepts an invalid call history.
test('the call history checker reports each kind of violation', () => {
  const faults: Readonly<Record<string, readonly CallEvent[]>> = {
    none: [],
    twice: [{kind: 'executed', callId: 'two', key: 'k', result: 'sitting 8'}],
    ranLater: [{kind: 'executed', callId: 'three', key: 'l', result: 'x'}],
    foreign: [
      {kind: 'invoked', callId: 'four', key: 'm'},
      {kind: 'answered', callId: 'four', work: 'ran', result: 'sitting 7'},
    ],
    answeredTwice: [{kind: 'answered', callId: 'three', work: 'not_run'}],
  };
  const found = Object.entries(faults).map(([name, events]) => [
    name,
    checkCallHistory([...GOOD, ...events]),
  ]);
  assert.deepEqual(Object.fromEntries(found), {
    none: [],
    twice: ['key k was executed 2 times'],
    ranLater: ['call three was refused as not_run and executed'],
    foreign: ['call four received foreign sitting 7'],
    answeredTwice: ['call three was answered twice'],
  });
});
