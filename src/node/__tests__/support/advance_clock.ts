/** Advances a paused clock and lets the code that waits on it run. */
import type {TestContext} from 'node:test';

// Taken before a test replaces it by a mock.
const realSetImmediate = globalThis.setImmediate;

/** Event loop turns after which promise chains without real I/O have run. */
const TURNS_PER_STEP = 3;

/**
 * Lets pending promises and actor messages run without advancing time. An
 * actor handles one message per turn.
 */
export async function settle(
  test: TestContext,
  turns = TURNS_PER_STEP,
): Promise<void> {
  for (let turn = 0; turn < turns; turn++) {
    test.mock.timers.tick(0);
    await new Promise<void>(resolve => realSetImmediate(resolve));
  }
}

/**
 * Advances mock timers by `durationMs` in steps. Call `pauseClock` first.
 * A step of 1 ms keeps the order of all timers; larger steps are faster.
 */
export async function advanceClock(
  test: TestContext,
  durationMs: number,
  stepMs = 1,
): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
    test.mock.timers.tick(Math.min(stepMs, durationMs - passedMs));
    await settle(test);
  }
}
