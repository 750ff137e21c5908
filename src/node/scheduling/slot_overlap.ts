/**
 * Keeps the slots of a plain upstream busy although messages take time: a
 * placement lasts from the grant to the news of its end, a call only a part of
 * that. Without more placements than slots the upstream idles in between.
 */
import {AVERAGE_WEIGHT} from './constants.js';

/** Further calls would wait at the upstream longer than it takes to run them. */
const MAX_OVERLAP = 3;

/** Averages over the calls of one upstream. */
export class SlotOverlap {
  private heldMs = 1;
  private ranMs = 1;

  /** A placement ended after `heldMs`, of which the call took `ranMs`. */
  note(heldMs: number, ranMs: number): void {
    this.heldMs += AVERAGE_WEIGHT * (heldMs - this.heldMs);
    this.ranMs += AVERAGE_WEIGHT * (ranMs - this.ranMs);
  }

  /** The upstream was full; it is approached slowly again. */
  reset(): void {
    this.heldMs = this.ranMs;
  }

  /** Placements that keep so many slots busy. */
  placesFor(slots: number): number {
    const ratio = this.heldMs / Math.max(1, this.ranMs);
    return Math.floor(slots * Math.min(MAX_OVERLAP, Math.max(1, ratio)));
  }
}
