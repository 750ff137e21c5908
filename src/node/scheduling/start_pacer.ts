/** Spaces the requests to a cold upstream. */
import {COLD_RATE_SHARE} from './constants.js';

const MS_PER_S = 1_000;

/**
 * Two entries may schedule the same upstream for a moment when they disagree
 * on who is alive, so starts are spaced evenly and never come in a burst.
 */
export class StartPacer {
  private nextStartAtMs = 0;

  /** When the next request may start, at or before `nowMs` if at once. */
  readyAtMs(): number {
    return this.nextStartAtMs;
  }

  /** Notes a start at an upstream that tolerates a rate. */
  noteStart(requestsPerS: number, nowMs: number): void {
    const spacingMs = MS_PER_S / (requestsPerS * COLD_RATE_SHARE);
    this.nextStartAtMs = Math.max(this.nextStartAtMs, nowMs) + spacingMs;
  }
}
