/**
 * Protects an upstream that falls over if it has to turn away too many requests
 * in a second, as it says of itself.
 */

import type {NamedLimits} from './types.js';

const SECOND_MS = 1_000;
/** Requests that are on their way may be rejected too. */
const REJECTION_SHARE = 0.5;
/** Share of its slots that it gets, since it lets few requests wait. */
const SLOT_SHARE = 0.9;

/** What is known of one upstream; it does nothing unless that is brittle. */
export class RejectionGuard {
  private maxPerS: number | undefined;
  /** When the request was sent whose answer is the newest one. */
  private sentAtMs = Number.NEGATIVE_INFINITY;
  private rejectedAtMs: readonly number[] = [];

  /** Requests that it may turn away in a second; undefined if any number. */
  get maxRejectionsPerS(): number | undefined {
    return this.maxPerS;
  }

  /** Records a response, unless one to a later request is known. */
  note({maxRejectionsPerS, isComplete}: NamedLimits, sentAtMs: number): void {
    const saysNothing = maxRejectionsPerS === undefined && !isComplete;
    if (saysNothing || sentAtMs < this.sentAtMs) return;
    this.sentAtMs = sentAtMs;
    this.maxPerS = maxRejectionsPerS;
  }

  noteRejection(nowMs: number): void {
    this.rejectedAtMs = [...this.recent(nowMs), nowMs];
  }

  /** Whether it must get no request now. */
  isClosed(nowMs: number): boolean {
    if (this.maxPerS === undefined) return false;
    const bearable = Math.max(1, Math.floor(this.maxPerS * REJECTION_SHARE));
    return this.recent(nowMs).length >= bearable;
  }

  /** Requests that may run on it at the same time. */
  placementLimit(slots: number, usualLimit: number): number {
    return this.maxPerS === undefined
      ? usualLimit
      : Math.max(1, Math.floor(slots * SLOT_SHARE));
  }

  clear(): void {
    this.maxPerS = undefined;
    this.sentAtMs = Number.NEGATIVE_INFINITY;
    this.rejectedAtMs = [];
  }

  private recent(nowMs: number): readonly number[] {
    return this.rejectedAtMs.filter(atMs => nowMs - atMs < SECOND_MS);
  }
}
