/**
 * A paused clock for tests with real sockets on loopback. Time advances only
 * between turns of the event loop in which the sockets are served, so a busy
 * machine cannot let a timeout pass before the bytes that would have met it.
 */
import type {TestContext} from 'node:test';
import {setMonotonicSource} from '../../clock/clock.js';

// Taken before a test replaces it by a mock.
const realSetImmediate = globalThis.setImmediate;
const realSetTimeout = globalThis.setTimeout;

/** Event loop turns for bytes to pass between sockets of this process. */
const TURNS_PER_STEP = 4;
const STEP_MS = 5;

/** Pauses timers, `Date` and the monotonic clock until the test ends. */
export function pauseClockForIo(t: TestContext): void {
  t.mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']});
  const source = setMonotonicSource(() => Date.now());
  // First of the hooks, since those that stop servers wait on timers.
  t.after(() => {
    t.mock.timers.reset();
    source.restore();
  });
}

/** Advances the clock until `work` settles, and returns its result. */
export async function runWhile<Result>(
  t: TestContext,
  work: Promise<Result>,
): Promise<Result> {
  let isSettled = false;
  const settled = work.finally(() => {
    isSettled = true;
  });
  settled.catch(() => undefined);
  while (!isSettled) {
    await serveSockets();
    t.mock.timers.tick(STEP_MS);
  }
  return settled;
}

// The kernel may deliver bytes a little later on a busy machine.
async function serveSockets(): Promise<void> {
  for (let turn = 0; turn < TURNS_PER_STEP; turn++) {
    await new Promise<void>(resolve => realSetImmediate(resolve));
  }
  await new Promise<void>(resolve => realSetTimeout(resolve, 1));
}
