import assert from 'node:assert/strict';
import {test} from 'node:test';
import {playFlood} from './regional_flood.js';

/** Share of one core that a scheduler may use beside its entry's own work. */
const SCHEDULER_CORE_SHARE = 0.16;
const DURATION_MS = 6_000;

// Guards against a scheduler that looks at every engine for every queued
// request: at 28 engines it took 1.1 ms of processor time for each request,
// so that entries got no decision in time and refused with engines free.
test('a flood on a large region leaves the scheduler processor time', () => {
  const flood = {engines: 28, slots: 32, chatsPerS: 170, briefsPerS: 60};
  playFlood({...flood, durationMs: 2_000, checkMs: 8});
  const result = playFlood({...flood, durationMs: DURATION_MS, checkMs: 8});
  assert.ok(
    result.processorMs < DURATION_MS * SCHEDULER_CORE_SHARE,
    `${result.processorMs} ms of processor time in ${DURATION_MS} ms`,
  );
  assert.equal(result.arrivals, 1_380);
  assert.ok(result.granted > result.arrivals * 0.95, `${result.granted}`);
});
