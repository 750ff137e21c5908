/** The share of an upstream's recent requests that failed. */
import {AVERAGE_WEIGHT} from './constants.js';

/**
 * Decay constant of the share; an upstream that failed is tried again after a
 * small multiple of it.
 */
const DECAY_MS = 10_000;

/** A moving average that decays with time. */
export class FailureShare {
  private share = 0;
  private notedAtMs = 0;

  /** The share, 0 to 1. */
  at(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.notedAtMs);
    return this.share * Math.exp(-elapsedMs / DECAY_MS);
  }

  /** Records the end of one request. */
  note(hasFailed: boolean, nowMs: number): void {
    const share = this.at(nowMs);
    this.share = share + AVERAGE_WEIGHT * (Number(hasFailed) - share);
    this.notedAtMs = nowMs;
  }

  clear(): void {
    this.share = 0;
  }
}
