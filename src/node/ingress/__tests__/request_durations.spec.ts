import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type RouteId} from '../../types/ids.js';
import {RequestDurations} from '../request_durations.js';

const CHAT = asId<RouteId>('chat');
const ORDER = asId<RouteId>('order');

// Guards against an estimate that forgets a busy moment at once, or keeps it.
test('the longest duration of a route holds for some seconds', () => {
  const durations = new RequestDurations();
  durations.note(CHAT, 3_000, 1_000);
  durations.note(CHAT, 900, 2_000);
  durations.note(ORDER, 40, 2_000);
  const seen = [1_500, 7_000, 12_000].map(nowMs => [
    durations.longestMs(CHAT, nowMs),
    durations.longestMs(ORDER, nowMs),
  ]);
  assert.deepEqual(seen, [
    [3_000, 40],
    [3_000, 40],
    [undefined, undefined],
  ]);
});

// Guards against a period that ends while requests come without a pause.
test('the longest duration of the period before counts', () => {
  const durations = new RequestDurations();
  durations.note(CHAT, 3_000, 0);
  durations.note(CHAT, 500, 6_000);
  assert.equal(durations.longestMs(CHAT, 9_000), 3_000);
  durations.note(CHAT, 500, 12_000);
  assert.equal(durations.longestMs(CHAT, 12_500), 500);
});

// Guards against an entry that keeps each route that a configuration ever named.
test('routes without recent requests are dropped', () => {
  const durations = new RequestDurations();
  Array.from({length: 100}, (_, number) =>
    durations.note(asId<RouteId>(`route-${number}`), 10, number * 1_000),
  );
  assert.ok(durations.size <= 11, `${durations.size} routes are kept`);
});
