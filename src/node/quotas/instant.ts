/**
 * Times that must not be stretched. The monotonic clock may stand still while the
 * instance is suspended, and the wall clock may be set back; the time that has
 * passed is at least what either of them shows.
 */
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';

/** One moment on both clocks. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export function instantNow(): Instant {
  return {monotonicMs: monotonicNowMs(), wallMs: wallNowMs()};
}

/** An upper bound of the time between two moments. */
export function longestMsBetween(from: Instant, to: Instant): number {
  return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}
