/**
 * Keeps the slots of a plain upstream busy although messages take time: a
 * placement lasts from the grant to the news of its end, a call only a part of
 * that. Without more placements than slots the upstream idles in between.
 */
import {AVERAGE_WEIGHT} from './constants.js';

/** Further calls would wait at the upstream longer than it takes to run them. */
const MAX_OVERCOMMIT = 3;

/** Averages over the calls of one upstream. */
export class SlotOvercommit {
  private placementMs = 1;
  private callMs = 1;

  /** A placement ended after `placementMs`, of which the call took `callMs`. */
  note(placementMs: number, callMs: number): void {
    this.placementMs += AVERAGE_WEIGHT * (placementMs - this.placementMs);
    this.callMs += AVERAGE_WEIGHT * (callMs - this.callMs);
  }

  /** The upstream was full; it is approached slowly again. */
  reset(): void {
    this.placementMs = this.callMs;
  }

  /** Placements that keep so many slots busy. */
  placementLimit(slots: number): number {
    const ratio = this.placementMs / Math.max(1, this.callMs);
    return Math.floor(slots * Math.min(MAX_OVERCOMMIT, Math.max(1, ratio)));
  }
}
