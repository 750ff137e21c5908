/** Refuses requests on behalf of the scheduler of one service. */
import type {CapacityBoard} from './capacity_board.js';
import {
  MIN_RETRY_AFTER_MS,
  NO_UPSTREAM_CLOSED_MS,
  NO_UPSTREAM_RETRY_AFTER_MS,
} from './constants.js';
import {refusalOf} from './decisions.js';
import {queueWaitMs} from './forecast.js';
import {
  ReturnBookings,
  type RoomNeeded,
  type Standing,
} from './return_bookings.js';
import type {Decision, RefusalReason, WorkItem} from './types.js';
import type {UpstreamPool} from './upstream_pool.js';
import type {UpstreamState} from './upstream_state.js';
import {costMsOf, type WorkQueue} from './work_queue.js';

export interface RefusalsOptions {
  readonly pool: UpstreamPool;
  readonly board: CapacityBoard;
  readonly queue: WorkQueue;
  readonly push: (decision: Decision) => void;
}

/** Adds refusals to the decisions of a scheduler. */
export class Refusals {
  private readonly bookings = new ReturnBookings();

  constructor(private readonly options: RefusalsOptions) {}

  /** `closedForMs`: time for which a similar request would be refused too. */
  add(
    item: WorkItem,
    reason: RefusalReason,
    predictedWaitMs: number,
    nowMs: number,
    closedForMs = 0,
    roomAfterMs?: number,
  ): void {
    const {pool, queue, push} = this.options;
    push(
      refusalOf(
        item,
        {
          reason,
          predictedWaitMs,
          closedForMs,
          usableUpstreams: pool.usable(nowMs).length,
          queueLength: queue.size,
        },
        roomAfterMs,
      ),
    );
  }

  /**
   * Refuses a request that would be late, and books room for its return.
   * Similar requests are refused until the first such caller may return.
   */
  addOverloaded(
    item: WorkItem,
    predictedWaitMs: number,
    nowMs: number,
    closedForMs = 0,
  ): void {
    const nextReturnMs = this.bookings.nextReturnMs(item, nowMs);
    const room = this.roomFor(item, nowMs);
    const roomAfterMs = this.bookings.book(item, room, nowMs);
    this.add(
      item,
      'overloaded',
      predictedWaitMs,
      nowMs,
      Math.min(closedForMs, nextReturnMs),
      roomAfterMs,
    );
  }

  /** Whether the caller was refused before, and whether it is its turn. */
  standingOf(item: WorkItem, nowMs: number): Standing {
    return this.bookings.standingOf(item, nowMs);
  }

  /** Ends the booking of a caller that has come back. */
  redeem(item: WorkItem): void {
    this.bookings.redeem(item);
  }

  /**
   * Refuses a request for which no upstream is usable. One that is only down
   * may return before the caller gives up; a version that has left does not.
   */
  addWithoutUpstream(item: WorkItem, nowMs: number): void {
    if (this.mayBecomeServable(item, nowMs)) {
      this.add(item, 'no_upstream', NO_UPSTREAM_RETRY_AFTER_MS, nowMs);
    } else {
      this.add(item, 'version_gone', item.remainingMs, nowMs);
    }
  }

  /** Refuses a request that may run in none of the regions with capacity. */
  addWithoutRegion(item: WorkItem, nowMs: number): void {
    this.add(
      item,
      'no_upstream',
      NO_UPSTREAM_RETRY_AFTER_MS,
      nowMs,
      NO_UPSTREAM_CLOSED_MS,
    );
  }

  // A caller that returns goes before the new ones of its workspace.
  private roomFor(item: WorkItem, nowMs: number): RoomNeeded {
    const {pool, queue} = this.options;
    const usable = pool.usableFor(item, nowMs);
    const ahead = queue.aheadOf(item, nowMs, true);
    const waitMs = queueWaitMs(ahead, usable, nowMs);
    const prefillMs = pool.estimates.minPrefillMs(item, nowMs);
    const costMs = costMsOf(item, prefillMs);
    const expectedRate = startsPerMs(usable, prefillMs) * costMs;
    return {
      waitMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
      costMs,
      drainRate: queue.drainRate(item, expectedRate, nowMs),
    };
  }

  private mayBecomeServable(item: WorkItem, nowMs: number): boolean {
    const {pool, board} = this.options;
    return (
      item.begun === undefined ||
      pool.lists(item.begun) ||
      board.mayContinueElsewhere(item, nowMs)
    );
  }
}

/** Requests like one with this prefill time that busy upstreams can start. */
function startsPerMs(
  usable: readonly UpstreamState[],
  prefillMs: number,
): number {
  const freedPerMs = usable.reduce(
    (sum, each) => sum + each.slotsFreedPerMs,
    0,
  );
  return prefillMs === 0
    ? freedPerMs
    : Math.min(freedPerMs, usable.length / prefillMs);
}
