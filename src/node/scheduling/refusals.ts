/** Refuses requests on behalf of the scheduler of one service. */
import type {CapacityBoard} from './capacity_board.js';
import {
  NO_UPSTREAM_CLOSED_MS,
  NO_UPSTREAM_RETRY_AFTER_MS,
} from './constants.js';
import {refusalOf} from './decisions.js';
import type {Decision, RefusalReason, WorkItem} from './types.js';
import type {UpstreamPool} from './upstream_pool.js';

export interface RefusalsOptions {
  readonly pool: UpstreamPool;
  readonly board: CapacityBoard;
  readonly queueLength: () => number;
  readonly push: (decision: Decision) => void;
}

/** Adds refusals to the decisions of a scheduler. */
export class Refusals {
  constructor(private readonly options: RefusalsOptions) {}

  /** `closedForMs`: time for which a similar request would be refused too. */
  add(
    item: WorkItem,
    reason: RefusalReason,
    predictedWaitMs: number,
    nowMs: number,
    closedForMs = 0,
  ): void {
    const {pool, queueLength, push} = this.options;
    push(
      refusalOf(item, {
        reason,
        predictedWaitMs,
        closedForMs,
        usableUpstreams: pool.usable(nowMs).length,
        queueLength: queueLength(),
      }),
    );
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

  private mayBecomeServable(item: WorkItem, nowMs: number): boolean {
    const {pool, board} = this.options;
    return (
      item.begun === undefined ||
      pool.lists(item.begun) ||
      board.mayContinueElsewhere(item, nowMs)
    );
  }
}
