/**
 * Slots that less urgent work leaves free at an upstream, so that an urgent
 * arrival need not wait for the end of a running request. They are kept at
 * each upstream and not per pool: the owner of a prefix then has a free slot
 * too, and late counts of other instances do less harm.
 */
import type {PoolId} from '../fleet/pool.js';
import type {UpstreamView} from '../fleet/upstream_view.js';

/** Part of the slots: what stands idle in a flood of less urgent work. */
const RESERVED_SHARE = 0.06;

/** The value of `UpstreamView.reservedSlots` for an upstream. */
export function reservedSlots(
  upstream: {readonly poolIds: readonly PoolId[]; readonly slotCount: number},
  /** Pools with workloads of the most urgent rank. */
  urgentPoolIds: ReadonlySet<PoolId>,
): number {
  if (!upstream.poolIds.some(each => urgentPoolIds.has(each))) return 0;
  return Math.round(upstream.slotCount * RESERVED_SHARE);
}

/**
 * Slots that less urgent work leaves free at an upstream now: twice the
 * reserve, unless requests of this instance ended there since the last report.
 * Counts of other instances are late, and several instances would claim the
 * same slot that another one freed.
 */
export function slotsToKeepFree(upstream: UpstreamView): number {
  const inFlightAtReport = upstream.report?.ownInFlightAtReport ?? 0;
  const hasFreedSlot = upstream.ownInFlight < inFlightAtReport;
  return upstream.reservedSlots * (hasFreedSlot ? 1 : 2);
}
