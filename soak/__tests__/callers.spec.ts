import assert from 'node:assert/strict';
import {test} from 'node:test';
import {seededRandom} from '../../src/node/__tests__/support/random.js';
import {ChangingKeyCallers, GreedyCallers, PulsingCallers} from '../callers.js';
import {lifeOfKey} from '../workspaces.js';

const NEWEST_VERSION = 100;

// Guards against a soak that presses no quota: callers that send less than they say, or
// that never let a burst fill up or their demand move.
test('greedy callers ask for ten times their quotas, in pulses that move', () => {
  const pulsing = new PulsingCallers('tokens');
  const seconds = Array.from({length: 19}, (_, second) => second);
  const places = seconds.map(second => pulsing.regionsAt(second * 1_000)[0]);
  assert.deepEqual(
    [new GreedyCallers('requests').callsPerS, pulsing.callsPerS],
    [30, 20],
  );
  assert.deepEqual(
    places.map(region => region ?? '-').join(' '),
    '- - - - north north - - - - south south - - - - west west -',
  );
});

// Guards against a soak whose callers show only keys of one kind.
test('callers show keys in force, keys taken away and unknown ones', () => {
  const random = seededRandom(1);
  const callers = new ChangingKeyCallers();
  const lives = Array.from({length: 300}, () =>
    lifeOfKey(callers.draw(random, NEWEST_VERSION).key),
  );
  const taken = lives.filter(
    life => life !== undefined && life.lastVersion < NEWEST_VERSION,
  );
  const unknown = lives.filter(life => life === undefined);
  const inForce = lives.length - taken.length - unknown.length;
  const least = Math.min(taken.length, unknown.length, inForce);
  assert.ok(least > 40, `${taken.length} ${unknown.length} ${inForce}`);
});
