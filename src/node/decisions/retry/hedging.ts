/**
 * Hedging: a second try of an urgent idempotent call that is slower than most,
 * sent to another upstream while the first goes on. The first answer wins.
 */

/** Recent times that the quantile is taken from. */
const SAMPLE_COUNT = 256;
/** Fewer samples than this give no quantile. */
const MIN_SAMPLE_COUNT = 32;
/** A hedge never starts sooner. */
const MIN_HEDGE_DELAY_MS = 20;

/** The recent times to the first byte of one pool and rank. */
export class FirstByteTimes {
  private readonly samples: number[] = [];
  private nextIndex = 0;

  record(firstByteMs: number): void {
    this.samples[this.nextIndex] = firstByteMs;
    this.nextIndex = (this.nextIndex + 1) % SAMPLE_COUNT;
  }

  /** Delay before a hedge; undefined without enough samples or at 0. */
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

/** Whether to send a second try now. It spends one token of the budgets. */
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
