/** Limits retries at upstreams to a share of the requests. */

const BUCKETS_PER_WINDOW = 20;

export interface RetryBudgetOptions {
  readonly windowMs: number;
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  /** Retries allowed on top of that. */
  readonly slack: number;
}

/** What was counted in the window. */
export interface RetryCounts {
  readonly requests: number;
  readonly retries: number;
  /** Retries that were refused. */
  readonly refusals: number;
}

interface Bucket {
  readonly number: number;
  requests: number;
  retries: number;
  refusals: number;
}

/**
 * Counts requests and retries over a sliding window. Of the oldest bucket, which is
 * partly outside the window, the retries count and the requests do not, so that no
 * window has more retries than its requests allow.
 */
export class RetryBudget {
  private buckets: Bucket[] = [];
  private decided = 0;

  constructor(private readonly options: RetryBudgetOptions) {}

  /** Retries that were granted or refused since the start. */
  get decisions(): number {
    return this.decided;
  }

  noteRequest(nowMs: number): void {
    this.bucketAt(nowMs).requests += 1;
  }

  noteRetry(nowMs: number): void {
    this.bucketAt(nowMs).retries += 1;
    this.decided += 1;
  }

  noteRefusal(nowMs: number): void {
    this.bucketAt(nowMs).refusals += 1;
    this.decided += 1;
  }

  /** Whether one more retry stays within the budget. */
  allowsRetry(nowMs: number): boolean {
    const {ratio, slack} = this.options;
    const {requests, retries} = this.counts(nowMs);
    return retries + 1 <= ratio * requests + slack;
  }

  counts(nowMs: number): RetryCounts {
    const {number} = this.bucketAt(nowMs);
    const inside = this.buckets.filter(
      bucket => bucket.number > number - BUCKETS_PER_WINDOW,
    );
    return {
      requests: sumOf(inside, 'requests'),
      retries: sumOf(this.buckets, 'retries'),
      refusals: sumOf(this.buckets, 'refusals'),
    };
  }

  private bucketAt(nowMs: number): Bucket {
    const lengthMs = this.options.windowMs / BUCKETS_PER_WINDOW;
    const number = Math.floor(nowMs / lengthMs);
    // One bucket more than the window, as the oldest is only partly inside it.
    this.buckets = this.buckets.filter(
      bucket => bucket.number >= number - BUCKETS_PER_WINDOW,
    );
    const last = this.buckets.at(-1);
    if (last?.number === number) return last;
    const bucket: Bucket = {number, requests: 0, retries: 0, refusals: 0};
    this.buckets.push(bucket);
    return bucket;
  }
}

function sumOf(buckets: readonly Bucket[], count: keyof RetryCounts): number {
  return buckets.reduce((sum, bucket) => sum + bucket[count], 0);
}
