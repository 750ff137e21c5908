/**
 * Compensates for message delay at plain upstreams. A placement lasts from the
 * grant until its release arrives, but the call takes only part of that time.
 * Without more placements than slots, the upstream would idle in between.
 */
import {AVERAGE_WEIGHT} from './constants.js';

/** Above this ratio, calls wait at the upstream longer than they run. */
const MAX_OVERCOMMIT = 3;

/** Moving averages over the calls of one upstream. */
export class SlotOvercommit {
  private placementMs = 1;
  private callMs = 1;

  /** Records a placement that lasted `placementMs`, with a call of `callMs`. */
  note(placementMs: number, callMs: number): void {
    this.placementMs += AVERAGE_WEIGHT * (placementMs - this.placementMs);
    this.callMs += AVERAGE_WEIGHT * (callMs - this.callMs);
  }

  /** Resets the limit to the slots after a rejection; it grows again slowly. */
  reset(): void {
    this.placementMs = this.callMs;
  }

  /** Number of placements that keeps `slots` slots busy. */
  placementLimit(slots: number): number {
    const ratio = this.placementMs / Math.max(1, this.callMs);
    return Math.floor(slots * Math.min(MAX_OVERCOMMIT, Math.max(1, ratio)));
  }
}
