/**
 * What an entry may run of a quota without any lease. All entries together stay within
 * a small part of the rate, so that nobody need know which of them are cut off.
 */
import type {WorkspaceQuota} from '../routes/route_table.js';
import {
  DEFAULT_TOLERANCE,
  floorRateShare,
  type QuotaTolerance,
} from './limits.js';

const MS_PER_S = 1_000;

/** A token bucket that holds what it gains in one window. */
export class Floor {
  private level = 0;
  private filledAtMs: number;

  constructor(
    nowMs: number,
    private readonly tolerance: QuotaTolerance = DEFAULT_TOLERANCE,
  ) {
    this.filledAtMs = nowMs;
  }

  /** Takes units if there are enough; `entries` divide the floor. */
  take(
    units: number,
    {ratePerS}: WorkspaceQuota,
    entries: number,
    nowMs: number,
  ): boolean {
    const perS = ratePerS * floorRateShare(this.tolerance);
    const perMs = perS / Math.max(1, entries) / MS_PER_S;
    const elapsedMs = Math.max(0, nowMs - this.filledAtMs);
    this.filledAtMs = nowMs;
    this.level = Math.min(
      this.level + perMs * elapsedMs,
      perMs * this.tolerance.windowMs,
    );
    if (this.level < units) return false;
    this.level -= units;
    return true;
  }
}
