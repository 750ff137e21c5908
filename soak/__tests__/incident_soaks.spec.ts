import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CopiedAnswers} from '../copied_answers.js';
import {LateOrders} from '../late_orders.js';
import type {SoakProfile} from '../profile.js';
import {RejectedRequests} from '../rejected_requests.js';
import {problemsOfSoak} from './support/soak.js';

/** Beside those of the other soaks in CI. */
const SLOT = 92;

const SOAKS: readonly (readonly [number, SoakProfile])[] = [
  // A late copy of a refusal was taken for the answer to a second try.
  [1, new CopiedAnswers()],
  // Orders that their operators had given up undid later, confirmed ones.
  [277, new LateOrders()],
  // Upstreams got more repeats than the shared budget allows.
  [1, new RejectedRequests()],
];

// Guards against the faults of the incident: late copies of answers, late orders,
// and too many retries while schedulers move.
SOAKS.forEach(([seed, profile]) =>
  test(`soak of seed ${seed} with ${profile.name}`, async t =>
    assert.deepEqual(await problemsOfSoak(t, seed, SLOT, profile), [])),
);
