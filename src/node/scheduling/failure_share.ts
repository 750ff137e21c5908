/** The share of an upstream's recent requests that failed. */
import {AVERAGE_WEIGHT} from './constants.js';
import type {PlacementOutcome} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** Outcomes that count against the upstream's health. */
const FAILURE_OUTCOMES: ReadonlySet<PlacementOutcome> = new Set([
  'failed',
  'broken',
  'unreachable',
  'silent',
]);

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

  noteOutcome(outcome: PlacementOutcome, nowMs: number): void {
    this.note(FAILURE_OUTCOMES.has(outcome), nowMs);
  }

  clear(): void {
    this.share = 0;
  }
}

/** Upstreams with a higher share of failed requests are avoided. */
const MAX_FAILURE_SHARE = 0.5;

/** Leaves out those that fail most of their requests, unless most do. */
export function withoutFailing(
  available: readonly UpstreamState[],
  nowMs: number,
): readonly UpstreamState[] {
  const healthy = available.filter(
    each => each.recentFailureShare(nowMs) <= MAX_FAILURE_SHARE,
  );
  return healthy.length * 2 >= available.length ? healthy : available;
}
