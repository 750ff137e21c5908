/** How many units of a quota may be outstanding, and where. */
import type {WorkspaceQuota} from '../routes/route_table.js';
import {CEILING_SHARE, HELD_SHARE, MAX_FLOOR_RATE_SHARE} from './constants.js';

const MS_PER_S = 1_000;

/** By how much a quota may be exceeded in any window. */
export interface QuotaTolerance {
  readonly windowMs: number;
  /** Share of what the quota allows in the window. */
  readonly overage: number;
  /** Tokens on top of that; for quotas in tokens. */
  readonly slackTokens: number;
}

/** The tolerance that settings name; what they leave out is the default. */
export function toleranceOf(settings: {
  readonly quotaWindowMs?: number | undefined;
  readonly quotaOverage?: number | null | undefined;
  readonly quotaSlackTokens?: number | null | undefined;
}): QuotaTolerance {
  const {windowMs, overage, slackTokens} = DEFAULT_TOLERANCE;
  return {
    windowMs: settings.quotaWindowMs ?? windowMs,
    overage: settings.quotaOverage ?? overage,
    slackTokens: settings.quotaSlackTokens ?? slackTokens,
  };
}

export const DEFAULT_TOLERANCE: QuotaTolerance = {
  windowMs: 8_000,
  overage: 0.1,
  slackTokens: 0,
};

/**
 * Part of the rate that entries without a lease may use. Their buckets hold one window
 * of it, so they take twice as much of the overage.
 */
export function floorRateShare({overage}: QuotaTolerance): number {
  return Math.min(MAX_FLOOR_RATE_SHARE, overage / 2);
}

/** The bounds of one workspace's pool. */
export interface PoolLimits {
  readonly ratePerS: number;
  /** Units in the pool, at entries and on the way to them. */
  readonly capacityUnits: number;
  /** Units at entries and on the way to them. */
  readonly heldUnits: number;
  /** The ceilings of all entries. */
  readonly ceilingsUnits: number;
  /** The largest grant. */
  readonly maxGrantUnits: number;
}

/**
 * In no window more runs than `ratePerS` times its length plus the capacity, so the
 * capacity is the burst and what the tolerance leaves beside the floors.
 */
export function poolLimits(
  {unit, ratePerS, burst}: WorkspaceQuota,
  tolerance: QuotaTolerance,
): PoolLimits {
  const {windowMs, overage, slackTokens} = tolerance;
  const windowUnits = (ratePerS * windowMs) / MS_PER_S;
  const rateShare = overage - 2 * floorRateShare(tolerance);
  const slack = unit === 'tokens' ? slackTokens : 0;
  const capacityUnits = burst * (1 + overage) + windowUnits * rateShare + slack;
  return {
    ratePerS,
    capacityUnits,
    heldUnits: capacityUnits * HELD_SHARE,
    ceilingsUnits: capacityUnits * CEILING_SHARE,
    maxGrantUnits: capacityUnits * (HELD_SHARE - CEILING_SHARE),
  };
}
