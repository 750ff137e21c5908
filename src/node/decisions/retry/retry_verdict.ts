/** Decides whether a failed try is retried. */

/** Most tries of one request, including the first. */
export const MAX_TRIES = 3;
/** Delay before the second try; it doubles with each further one. */
const BASE_DELAY_MS = 25;
/** Delays vary by up to this share, so that retries do not synchronize. */
const JITTER_SHARE = 0.5;

/** A try that failed. Times are on the monotonic clock. */
export interface FailedTry {
  readonly isIdempotent: boolean;
  /** Tries so far, including this one. */
  readonly tryCount: number;
  /** Bytes of the answer that were already sent to the caller. */
  readonly relayedBytes: number;
  /** Whether the upstream can resume the stream where it broke off. */
  readonly canResume: boolean;
  readonly deadlineAtMs: number;
  /** Least time that another try is expected to take. */
  readonly expectedMs: number;
  /** `RetryBudgets.canSpend` for the workspace. */
  readonly hasBudget: boolean;
}

/** Why there is no further try. */
export type GiveUpCause =
  | 'not_idempotent'
  | 'answer_started'
  | 'too_many_tries'
  | 'deadline'
  | 'budget';

/** The decision. The caller spends a token when it sends the retry. */
export type RetryVerdict =
  | {readonly kind: 'retry'; readonly delayMs: number}
  | {readonly kind: 'give_up'; readonly cause: GiveUpCause};

function retryDelayMs(tryCount: number, random: () => number): number {
  const base = BASE_DELAY_MS * 2 ** (tryCount - 1);
  return Math.round(base * (1 + (random() * 2 - 1) * JITTER_SHARE));
}

/** Decides whether to retry one failed try, and after which delay. */
export function retryVerdict(
  failed: FailedTry,
  nowMs: number,
  random: () => number,
): RetryVerdict {
  if (!failed.isIdempotent) return {kind: 'give_up', cause: 'not_idempotent'};
  if (failed.relayedBytes > 0 && !failed.canResume) {
    return {kind: 'give_up', cause: 'answer_started'};
  }
  if (failed.tryCount >= MAX_TRIES) {
    return {kind: 'give_up', cause: 'too_many_tries'};
  }
  const delayMs = retryDelayMs(failed.tryCount, random);
  if (nowMs + delayMs + failed.expectedMs >= failed.deadlineAtMs) {
    return {kind: 'give_up', cause: 'deadline'};
  }
  if (!failed.hasBudget) return {kind: 'give_up', cause: 'budget'};
  return {kind: 'retry', delayMs};
}
