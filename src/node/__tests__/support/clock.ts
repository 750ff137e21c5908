/** Paused clock for tests: mock timers with the monotonic clock following. */
import type {TestContext} from 'node:test';
import {setMonotonicSource} from '../../clock/clock.js';

/** The time at which a paused clock starts, in Unix milliseconds. */
export const PAUSED_CLOCK_START_MS = 1_800_000_000_000;

/** Pauses timers, `Date` and the monotonic clock for the rest of a test. */
export function pauseClock(test: TestContext): void {
  test.mock.timers.enable({
    apis: ['setTimeout', 'setInterval', 'setImmediate', 'Date'],
    now: PAUSED_CLOCK_START_MS,
  });
  const source = setMonotonicSource(() => Date.now());
  test.after(() => source.restore());
}
