/** The request rate limit that one upstream has named. */
import {MIN_STARTS_PER_S, NAMED_RATE_SHARE} from './constants.js';
import type {NamedLimits} from './types.js';

/** Holds the limit that the newest answer names. */
export class NamedLimit {
  private limitPerS: number | undefined;
  /** When the request was sent whose answer is the newest one. */
  private sentAtMs = Number.NEGATIVE_INFINITY;

  /** Whether anyone has told if there is a limit. */
  get isKnown(): boolean {
    return this.limitPerS !== undefined || Number.isFinite(this.sentAtMs);
  }

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

  /** Records a response, unless one to a later request is known. */
  note({maxRequestsPerS, isComplete}: NamedLimits, sentAtMs: number): void {
    const saysNothing = maxRequestsPerS === undefined && !isComplete;
    if (saysNothing || sentAtMs < this.sentAtMs) return;
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
