/** The capacity of a pool that this instance may use now. */
import type {FleetView} from '../fleet/fleet_view.js';
import type {PoolId} from '../fleet/pool.js';
import {slotsToKeepFree} from './reserve.js';
import {estimateInFlight, usableSlots} from './upstream_load.js';

/**
 * Part of its equal share that an instance may always use. The full share
 * would overload upstreams whenever the counts of other instances are late.
 */
const GUARANTEED_SHARE = 0.5;

/** The capacity of a pool of the local domain, as one instance sees it. */
export interface PoolCapacity {
  /** Slots of all upstreams that may take work. */
  readonly slotCount: number;
  /** This instance's equal share, which it gets when all instances compete. */
  readonly shareSlots: number;
  /** Unused slots. */
  readonly freeSlots: number;
  /**
   * Requests that this instance may start now: the free slots, or the unused
   * part of its guaranteed half of its equal share, whichever is more. Without
   * the guarantee an instance with nothing in flight would starve while others
   * refill the slots that their own requests free.
   */
  readonly startableSlots: number;
  /** The same for requests that must keep the reserved slots free. */
  readonly startableBesideReserve: number;
  /** Other pools served by some of the same upstreams. */
  readonly sharedPoolIds: readonly PoolId[];
  readonly meanServiceMs: number;
  /** Mean cost weighted by slots, in micros as in the configuration. */
  readonly costMicros: number;
}

/** The capacity of a pool. All figures are 0 if no upstream may take work. */
export function poolCapacity(
  view: FleetView,
  poolId: PoolId,
  nowMs: number,
): PoolCapacity {
  const members = view.upstreams
    .filter(each => each.poolIds.includes(poolId))
    .map(upstream => ({upstream, slots: usableSlots(upstream)}))
    .filter(each => each.slots > 0);
  const slotCount = members.reduce((sum, each) => sum + each.slots, 0);
  const free = members.map(({upstream, slots}) => ({
    slots: slots - Math.ceil(estimateInFlight(upstream, nowMs)),
    reserved: slotsToKeepFree(upstream),
  }));
  const freeSlots = free.reduce(
    (sum, each) => sum + Math.max(0, each.slots),
    0,
  );
  const freeOutsideReserve = free.reduce(
    (sum, each) => sum + Math.max(0, each.slots - each.reserved),
    0,
  );
  const shareSlots = slotCount / Math.max(1, view.liveEntryCount);
  const own = members.reduce((sum, each) => sum + each.upstream.ownInFlight, 0);
  const unusedGuarantee = Math.ceil(shareSlots * GUARANTEED_SHARE) - own;
  const mean = (value: (each: (typeof members)[number]) => number): number =>
    slotCount === 0
      ? 0
      : members.reduce((sum, each) => sum + each.slots * value(each), 0) /
        slotCount;
  return {
    slotCount,
    shareSlots,
    freeSlots,
    startableSlots: Math.max(freeSlots, unusedGuarantee),
    startableBesideReserve: Math.max(freeOutsideReserve, unusedGuarantee),
    sharedPoolIds: [
      ...new Set(members.flatMap(each => each.upstream.poolIds)),
    ].filter(each => each !== poolId),
    meanServiceMs: mean(each => each.upstream.meanServiceMs),
    costMicros: mean(each => each.upstream.costMicros),
  };
}
