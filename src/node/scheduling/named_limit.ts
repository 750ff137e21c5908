/** The request rate limit that one upstream has named. */
import {MIN_STARTS_PER_S, NAMED_RATE_SHARE} from './constants.js';

/** Holds the limit that the newest answer names. */
export class NamedLimit {
  private limitPerS: number | undefined;
  /** When the request was sent whose answer is the newest one. */
  private sentAtMs = Number.NEGATIVE_INFINITY;

  /** Requests a second that the upstream takes; undefined without a limit. */
  get maxRequestsPerS(): number | undefined {
    return this.limitPerS;
  }

  /** Requests a second that it gets; undefined without a limit. */
  get startsPerS(): number | undefined {
    return this.limitPerS === undefined
      ? undefined
      : Math.max(MIN_STARTS_PER_S, this.limitPerS * NAMED_RATE_SHARE);
  }

  /** Records an answer, unless one to a later request is known. */
  note(maxRequestsPerS: number | undefined, sentAtMs: number): void {
    if (sentAtMs < this.sentAtMs) return;
    this.sentAtMs = sentAtMs;
    this.limitPerS = maxRequestsPerS;
  }

  /** Takes over a limit that an entry knows, if none is known here. */
  adopt(maxRequestsPerS: number): void {
    this.limitPerS ??= maxRequestsPerS;
  }

  clear(): void {
    this.limitPerS = undefined;
    this.sentAtMs = Number.NEGATIVE_INFINITY;
  }
}
