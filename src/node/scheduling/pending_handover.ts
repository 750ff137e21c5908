/**
 * What entries hand over to a scheduler about upstreams that it does not list
 * yet: it may take over before it has read the list for the first time.
 */
import type {InstanceId, RequestId, UpstreamId} from '../types/ids.js';
import type {RunningPlacement, UpstreamLimit} from './types.js';

/** Limits kept; the oldest ones are dropped first. */
const MAX_LIMITS = 1_024;

/** Placements and limits that wait for their upstreams to be listed. */
export class PendingHandover {
  private readonly placements = new Map<RequestId, RunningPlacement>();
  private readonly limits = new Map<UpstreamId, UpstreamLimit>();

  placementsOf(upstreamId: UpstreamId): readonly RunningPlacement[] {
    return [...this.placements.values()].filter(
      each => each.upstreamId === upstreamId,
    );
  }

  limitsOf(upstreamId: UpstreamId): readonly UpstreamLimit[] {
    const limit = this.limits.get(upstreamId);
    return limit === undefined ? [] : [limit];
  }

  addPlacement(placement: RunningPlacement): void {
    this.placements.set(placement.item.requestId, placement);
  }

  addLimit(limit: UpstreamLimit): void {
    this.limits.delete(limit.upstreamId);
    this.limits.set(limit.upstreamId, limit);
    const [oldest] = this.limits.keys();
    if (this.limits.size > MAX_LIMITS && oldest !== undefined) {
      this.limits.delete(oldest);
    }
  }

  /** Removes a placement that has ended. */
  end(requestId: RequestId): void {
    this.placements.delete(requestId);
  }

  /** Removes the placements of entries. */
  removeEntries(isRemoved: (entry: InstanceId) => boolean): void {
    [...this.placements]
      .filter(([, {item}]) => isRemoved(item.entry))
      .forEach(([requestId]) => this.placements.delete(requestId));
  }

  /** Removes all that concerns an upstream. */
  remove(upstreamId: UpstreamId): void {
    this.placementsOf(upstreamId).forEach(each =>
      this.end(each.item.requestId),
    );
    this.limits.delete(upstreamId);
  }
}
