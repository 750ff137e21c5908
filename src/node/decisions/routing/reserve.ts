/**
 * Slots that less urgent requests keep free at an upstream, so that an urgent
 * request need not wait for a running one to end. They are reserved at each
 * upstream and not per pool: the owner of a prefix then has a free slot too,
 * and late counts of other instances cause fewer wrong decisions.
 */
import type {PoolId} from '../fleet/pool.js';
import type {UpstreamView} from '../fleet/upstream_view.js';

/** Share of the slots; they stay idle under a flood of less urgent work. */
const RESERVED_SHARE = 0.06;

/** The value of `UpstreamView.reservedSlots` for an upstream. */
export function reservedSlots(
  upstream: {readonly poolIds: readonly PoolId[]; readonly slotCount: number},
  /** Pools that serve workloads of the most urgent rank. */
  urgentPoolIds: ReadonlySet<PoolId>,
): number {
  if (!upstream.poolIds.some(each => urgentPoolIds.has(each))) return 0;
  return Math.round(upstream.slotCount * RESERVED_SHARE);
}

/**
 * Slots that less urgent requests keep free at an upstream now: twice the
 * reserve, unless requests of this instance ended there since the last report.
 * Because counts of other instances are late, several instances would
 * otherwise claim the same slot that another one freed.
 */
export function slotsToKeepFree(upstream: UpstreamView): number {
  const inFlightAtReport = upstream.report?.ownInFlightAtReport ?? 0;
  const hasFreedSlot = upstream.ownInFlight < inFlightAtReport;
  return upstream.reservedSlots * (hasFreedSlot ? 1 : 2);
}
