/**
 * How the rate and the ceilings of a workspace are divided among entries. Most goes
 * by demand; the even part gives entries with little demand room to take over that of
 * others, also while they cannot reach the leader.
 */
import {
  BY_DEMAND_SHARE,
  EXCHANGE_MS,
  LEASED_RATE_SHARE,
  MIN_SHARE_CHANGE,
} from './constants.js';
import type {LeaseTerms, Reserved} from './lease_account.js';
import type {PoolLimits} from './limits.js';

const EXCHANGE_S = EXCHANGE_MS / 1_000;

/** What an entry should hold. */
export type LeaseTarget = Pick<LeaseTerms, 'sharePerS' | 'ceilingUnits'>;

const NO_LEASE: LeaseTarget = {sharePerS: 0, ceilingUnits: 0};

/** Room for larger leases. */
export type LeaseRoom = LeaseTarget;

/**
 * The lease for an entry's demand. A ceiling below its requests would hold units that
 * no request can use, so it is raised to them, or the entry uses the pool only.
 */
export function leaseTarget(
  entry: {readonly demandPerS: number; readonly largestUnits: number},
  all: Reserved,
  limits: PoolLimits,
  room: LeaseRoom,
  held: LeaseTarget,
): LeaseTarget {
  const {demandPerS, largestUnits} = entry;
  if (demandPerS === 0 || all.demandPerS <= 0) return NO_LEASE;
  const part =
    (BY_DEMAND_SHARE * demandPerS) / all.demandPerS +
    (1 - BY_DEMAND_SHARE) / Math.max(1, all.activeEntries);
  const share = limits.ratePerS * LEASED_RATE_SHARE * part;
  // The balance gains by its share between two reports beside a whole request.
  const needed = largestUnits + share * EXCHANGE_S;
  const ceiling = Math.max(limits.ceilingsUnits * part, needed);
  const ceilingUnits = grown(held.ceilingUnits, ceiling, room.ceilingUnits);
  if (ceilingUnits < largestUnits) return NO_LEASE;
  const usefulShare = Math.min(
    share,
    (ceilingUnits - largestUnits) / EXCHANGE_S,
  );
  return {
    sharePerS: grown(held.sharePerS, usefulShare, room.sharePerS),
    ceilingUnits,
  };
}

function grown(held: number, target: number, room: number): number {
  return Math.min(target, held + Math.max(0, room));
}

/** Whether a lease differs enough from what an entry holds to change it. */
export function isWorthChange(
  held: LeaseTarget,
  next: LeaseTarget,
  minChange = MIN_SHARE_CHANGE,
): boolean {
  const differs = (left: number, right: number): boolean =>
    Math.abs(left - right) > minChange * Math.max(left, right);
  return (
    differs(held.sharePerS, next.sharePerS) ||
    differs(held.ceilingUnits, next.ceilingUnits)
  );
}
