import assert from 'node:assert/strict';
import {test} from 'node:test';
import {playFlood} from './regional_flood.js';

/** Share of one core that a scheduler may use besides its entry's own work. */
const SCHEDULER_CORE_SHARE = 0.16;
const DURATION_MS = 6_000;

// Guards against a scheduler that examines every engine for every queued
// request: with 28 engines that took 1.1 ms of CPU time per request, so entries
// got no decision in time and refused requests although engines were free.
test('a flood on a large region stays within the CPU budget', () => {
  const flood = {engines: 28, slots: 32, chatsPerS: 170, briefsPerS: 60};
  playFlood({...flood, durationMs: 2_000, checkMs: 8});
  const result = playFlood({...flood, durationMs: DURATION_MS, checkMs: 8});
  assert.ok(
    result.processorMs < DURATION_MS * SCHEDULER_CORE_SHARE,
    `${result.processorMs} ms of CPU time in ${DURATION_MS} ms`,
  );
  assert.equal(result.arrivals, 1_380);
  assert.ok(result.granted > result.arrivals * 0.95, `${result.granted}`);
});
