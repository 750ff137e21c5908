/** Redirects requests to other domains of the region and to other regions. */
import type {RegionId} from '../types/ids.js';
import type {CapacityBoard} from './capacity_board.js';
import {passOf, redirectOf} from './decisions.js';
import {
  OffloadPlanner,
  UNKNOWN_MS,
  type OffloadTarget,
} from './offload_planner.js';
import type {PlaceCost} from './remote_places.js';
import type {Decision, WorkItem} from './types.js';

/** Each method returns whether it redirected the request. */
export class Redirects {
  private readonly offloads: OffloadPlanner;

  /** `push` gets the decisions; `home` is the region of the scheduler. */
  constructor(
    private readonly home: RegionId,
    private readonly board: CapacityBoard,
    private readonly push: (decision: Decision) => void,
  ) {
    this.offloads = new OffloadPlanner(board);
  }

  /** Redirects a request that its route does not allow here. */
  toAllowedRegion(item: WorkItem, nowMs: number): boolean {
    const target = this.offloads.allowedTarget(item, nowMs);
    return this.follow(target, item, nowMs);
  }

  /** Passes the request to another domain of the region, if there is one. */
  toSibling(item: WorkItem, nowMs: number): boolean {
    const domain = this.board.siblingDomain(item, nowMs);
    if (domain === undefined) return false;
    this.board.noteSent(domain, item, nowMs);
    this.push(passOf(item, domain));
    return true;
  }

  /**
   * Sends a request that its entry cannot bring to any upstream here through
   * another entry of the region.
   */
  toPeer(item: WorkItem, nowMs: number): boolean {
    if (item.mayUsePeer !== true) return false;
    const target = {
      region: this.home,
      domain: undefined,
      localWaitMs: UNKNOWN_MS,
      remoteWaitMs: UNKNOWN_MS,
    };
    return this.follow(target, item, nowMs);
  }

  /** Sends a request away that no upstream here can run for its entry. */
  toAnywhere(item: WorkItem, isOutOfReach: boolean, nowMs: number): boolean {
    return (
      (isOutOfReach && this.toPeer(item, nowMs)) ||
      this.toFaster(item, Number.POSITIVE_INFINITY, nowMs) ||
      this.toSibling(item, nowMs)
    );
  }

  /** Sends the request to where it costs clearly less than here. */
  toCheaper(item: WorkItem, local: PlaceCost, nowMs: number): boolean {
    const target = this.offloads.cheaperTarget(item, local, nowMs);
    return this.follow(target, item, nowMs);
  }

  /** Offloads to a domain that is clearly faster than `localExpectedMs`. */
  toFaster(item: WorkItem, localExpectedMs: number, nowMs: number): boolean {
    const target = this.offloads.fasterTarget(item, localExpectedMs, nowMs);
    return this.follow(target, item, nowMs);
  }

  private follow(
    target: OffloadTarget | undefined,
    item: WorkItem,
    nowMs: number,
  ): boolean {
    if (target === undefined) return false;
    if (target.domain !== undefined) {
      this.board.noteSent(target.domain, item, nowMs);
    }
    this.push(redirectOf(item, target, this.home));
    return true;
  }
}
