/**
 * Hedging: if an urgent idempotent call is slower than most, a second try is
 * sent to another upstream while the first continues. The first answer is used.
 */

/** Number of recent times that the quantile is computed from. */
const SAMPLE_COUNT = 256;
/** Least number of samples for a quantile. */
const MIN_SAMPLE_COUNT = 32;
/** Lower bound of the hedge delay. */
const MIN_HEDGE_DELAY_MS = 20;

/** The recent times to the first byte of one pool and rank. */
export class FirstByteTimes {
  private readonly samples: number[] = [];
  private nextIndex = 0;

  record(firstByteMs: number): void {
    this.samples[this.nextIndex] = firstByteMs;
    this.nextIndex = (this.nextIndex + 1) % SAMPLE_COUNT;
  }

  /** Hedge delay; undefined if `quantile` is 0 or samples are too few. */
  delayMs(quantile: number): number | undefined {
    if (quantile <= 0 || this.samples.length < MIN_SAMPLE_COUNT) {
      return undefined;
    }
    const sorted = [...this.samples].sort((a, b) => a - b);
    const index = Math.min(
      sorted.length - 1,
      Math.floor(quantile * sorted.length),
    );
    return Math.max(MIN_HEDGE_DELAY_MS, sorted[index] ?? MIN_HEDGE_DELAY_MS);
  }
}

/** A try that has not answered yet. */
export interface PendingTry {
  readonly isIdempotent: boolean;
  readonly isMostUrgent: boolean;
  readonly hasFirstByte: boolean;
  readonly isHedged: boolean;
  readonly waitedMs: number;
  readonly deadlineAtMs: number;
  readonly expectedMs: number;
  /** `RetryBudgets.canSpend` for the workspace. */
  readonly hasBudget: boolean;
}

/** Whether to send a second try now; the caller then spends a retry token. */
export function shouldHedge(
  pending: PendingTry,
  delayMs: number | undefined,
  nowMs: number,
): boolean {
  if (delayMs === undefined || pending.waitedMs < delayMs) return false;
  if (!pending.isIdempotent || !pending.isMostUrgent) return false;
  if (pending.hasFirstByte || pending.isHedged) return false;
  if (nowMs + pending.expectedMs >= pending.deadlineAtMs) return false;
  return pending.hasBudget;
}
