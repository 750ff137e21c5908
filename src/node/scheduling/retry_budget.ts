/** Bounds how many arrivals at upstreams are retries of earlier ones. */

const BUCKETS_PER_WINDOW = 10;

export interface RetryBudgetOptions {
  readonly windowMs: number;
  /** Repeats allowed for each request in the window. */
  readonly ratio: number;
  /** Repeats allowed on top of that, for this scheduler alone. */
  readonly slack: number;
}

interface Bucket {
  readonly number: number;
  requests: number;
  retries: number;
}

/** Counts requests and retries over a sliding window. */
export class RetryBudget {
  private buckets: Bucket[] = [];

  constructor(private readonly options: RetryBudgetOptions) {}

  noteRequest(nowMs: number): void {
    this.bucketAt(nowMs).requests += 1;
  }

  noteRetry(nowMs: number): void {
    this.bucketAt(nowMs).retries += 1;
  }

  /** Whether one more repeat stays within the allowance. */
  allowsRetry(nowMs: number): boolean {
    const {ratio, slack} = this.options;
    this.bucketAt(nowMs);
    const requests = this.buckets.reduce(
      (sum, bucket) => sum + bucket.requests,
      0,
    );
    const retries = this.buckets.reduce(
      (sum, bucket) => sum + bucket.retries,
      0,
    );
    return retries + 1 <= ratio * requests + slack;
  }

  private bucketAt(nowMs: number): Bucket {
    const lengthMs = this.options.windowMs / BUCKETS_PER_WINDOW;
    const number = Math.floor(nowMs / lengthMs);
    // One more bucket than the window holds, as the oldest is partly inside.
    this.buckets = this.buckets.filter(
      bucket => bucket.number >= number - BUCKETS_PER_WINDOW,
    );
    const last = this.buckets.at(-1);
    if (last?.number === number) return last;
    const bucket: Bucket = {number, requests: 0, retries: 0};
    this.buckets.push(bucket);
    return bucket;
  }
}
