import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {ReturnBookings} from '../return_bookings.js';
import {inWorkspace, plainItem} from './scheduler_load.js';

/** An eighth of the drain rate serves one request in 100 ms. */
const ROOM = {waitMs: 300, costMs: 50, drainRate: 4};
const CALLERS = 5;

// Guards against callers that are told the same time, against those of a loud
// workspace that push back the others, and against a caller that gains by asking
// again.
test('each refusal books room after the one before', () => {
  const bookings = new ReturnBookings();
  const book = (name: string, workspace: string, nowMs: number): number =>
    bookings.book(plainItem(name, inWorkspace(workspace)), ROOM, nowMs);
  const loud = Array.from({length: CALLERS}, (_, index) =>
    book(`loud-${index}`, 'loud', 0),
  );
  const other = book('other', 'other', 0);
  const again = book('loud-1', 'loud', 250);
  matchSnapshot(import.meta.url, 'booked room', {loud, other, again});
});

// Guards against callers that are not recognised when they come back, and
// against memory that grows with every refusal.
test('a caller is due from its time until shortly after it', () => {
  const bookings = new ReturnBookings();
  const item = plainItem('caller');
  bookings.book(item, ROOM, 0);
  const standings = [0, 299, 600, 1_419, 1_421].map(nowMs => [
    nowMs,
    bookings.standingOf(item, nowMs),
  ]);
  bookings.book(plainItem('much later'), ROOM, 60_000);
  assert.equal(bookings.size, 1);
  matchSnapshot(import.meta.url, 'standing of a caller', standings);
});

// Guards against a promise of room to a caller that gives up before it, and
// against all such callers at one moment.
test('callers that cannot wait for room come back without a booking', () => {
  const bookings = new ReturnBookings();
  const items = Array.from({length: 40}, (_, index) =>
    plainItem(`caller-${index}`),
  );
  const afterMs = items.map(item => bookings.book(item, ROOM, 0));
  const unbooked = items.filter(
    item => bookings.standingOf(item, 1_000) === 'unbooked',
  );
  assert.ok(unbooked.length > 0 && unbooked.length < items.length);
  assert.ok(Math.max(...afterMs) <= 4_000 / 3);
  assert.equal(new Set(afterMs).size, items.length);
});
