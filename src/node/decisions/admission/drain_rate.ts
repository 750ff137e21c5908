/**
 * The rate at which a queue drains while it has a backlog: slot time per
 * millisecond. It is measured, because the slots that a rank gets depend on
 * other ranks, on other instances and on pools that share its upstreams.
 */
import {DecayedSum} from './decayed_sum.js';

/** Half-life of the measured rate. */
const DRAIN_HALF_LIFE_MS = 5_000;
/** Weight of the expected rate, as measured time with a backlog. */
const EXPECTED_RATE_WEIGHT_MS = 1_000;

/** The drain rate of one queue. */
export class DrainRate {
  private readonly drainedMs = new DecayedSum(DRAIN_HALF_LIFE_MS);
  private readonly backloggedMs = new DecayedSum(DRAIN_HALF_LIFE_MS);
  private observedAtMs = 0;

  /** Accounts for the time since the last call, with or without a backlog. */
  observe(wasBacklogged: boolean, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.observedAtMs);
    this.observedAtMs = nowMs;
    if (wasBacklogged) this.backloggedMs.add(elapsedMs, nowMs);
  }

  /** Records the start of a request that had waited. */
  add(costMs: number, nowMs: number): void {
    this.drainedMs.add(costMs, nowMs);
  }

  /** The measured rate, blended with `expectedRate` while samples are few. */
  rate(expectedRate: number, nowMs: number): number {
    const drained = this.drainedMs.valueAt(nowMs);
    const timeMs = this.backloggedMs.valueAt(nowMs);
    return (
      (drained + expectedRate * EXPECTED_RATE_WEIGHT_MS) /
      (timeMs + EXPECTED_RATE_WEIGHT_MS)
    );
  }
}
