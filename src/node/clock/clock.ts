/**
 * The only module that reads clocks. Timers are those of the runtime
 * (`setTimeout`, `setInterval`), which tests mock.
 */
import {performance} from 'node:perf_hooks';

let monotonicSource = (): number => performance.now();

/** Milliseconds since the Unix epoch. May jump forwards or backwards. */
export function wallNowMs(): number {
  return Date.now();
}

/** Milliseconds of a monotonic clock with an arbitrary origin. */
export function monotonicNowMs(): number {
  return monotonicSource();
}

/**
 * Replaces the monotonic clock, because the test runner's mock timers do not
 * cover `performance.now`. Tests pass `Date.now` and call `restore` when done.
 */
export function setMonotonicSource(source: () => number): {
  restore: () => void;
} {
  const previous = monotonicSource;
  monotonicSource = source;
  return {
    restore: () => {
      monotonicSource = previous;
    },
  };
}
