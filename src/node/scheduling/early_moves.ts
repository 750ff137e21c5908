/**
 * Moves requests to other domains and regions before this domain is late. A
 * request moves if it costs clearly less elsewhere: its own risk to be late,
 * and the time by which it delays the requests that share slots and engines
 * with it. So what is cheap to move leaves first, and what is bound to this
 * region keeps the room.
 */
import {fittingOf} from './choose_upstream.js';
import {
  delayToOthersMs,
  isCongested,
  latenessRiskMs,
  type WorkSize,
} from './placement_cost.js';
import {queueWaitMs, type Forecast} from './forecast.js';
import type {LoadForecast} from './load_forecast.js';
import {poolUseOf, type PoolUse} from './pool_use.js';
import type {Redirects} from './redirects.js';
import type {WorkItem} from './types.js';
import type {UpstreamPool} from './upstream_pool.js';
import type {UpstreamState} from './upstream_state.js';
import type {QueuedItem, QueueLoad, WorkQueue} from './work_queue.js';

/** A queued request is looked at again after this time: digests are rare. */
const RECONSIDER_MS = 100;
/** Examining every upstream for each request takes time. */
const USE_TTL_MS = 20;

export interface EarlyMovesOptions {
  readonly pool: UpstreamPool;
  readonly queue: WorkQueue;
  readonly loadForecast: LoadForecast;
  readonly redirects: Redirects;
}

/** Each method returns whether it moved the request. */
export class EarlyMoves {
  private use: PoolUse | undefined;
  private usedAtMs = 0;
  private readonly reconsiderAtMs = new WeakMap<WorkItem, number>();

  constructor(private readonly options: EarlyMovesOptions) {}

  /** Moves a new request, whose latency here is `expected`. */
  moveNew(item: WorkItem, expected: Forecast, nowMs: number): boolean {
    const {loadForecast, queue, redirects} = this.options;
    const use = this.currentUse(nowMs);
    const load = loadForecast.foreseen(use, queue.ahead(), nowMs);
    const waitMs = Math.max(expected.waitMs, use.minBacklogMs);
    if (waitMs === 0 && !isCongested(load)) return false;
    const totalMs = item.ageMs + waitMs + expected.answerMs;
    const costMs =
      latenessRiskMs(totalMs, item.targetLatencyMs) +
      delayToOthersMs(this.sizeOf(item, nowMs), load);
    const expectedMs = totalMs - item.ageMs;
    return redirects.toCheaper(item, {expectedMs, costMs}, nowMs);
  }

  /**
   * Moves a request that would wait too long behind the load `ahead` of it in the
   * queue, as after a loss of upstreams.
   */
  moveQueued(
    {item, queuedAtMs}: QueuedItem,
    ahead: QueueLoad,
    usable: readonly UpstreamState[],
    nowMs: number,
  ): boolean {
    const {queue} = this.options;
    const fitting = this.isDue(item, queuedAtMs, nowMs)
      ? fittingOf(item, usable)
      : [];
    if (fitting.length === 0 || !queue.has(item.requestId)) return false;
    this.reconsiderAtMs.set(item, nowMs + RECONSIDER_MS);
    const aged = {...item, ageMs: item.ageMs + nowMs - queuedAtMs};
    const waitMs = queueWaitMs(ahead, fitting, nowMs);
    const isMoved = this.moveNew(aged, {waitMs, answerMs: 0}, nowMs);
    if (isMoved) queue.remove(item.requestId);
    return isMoved;
  }

  /** Counts a request that stays in this domain. */
  noteKept(item: WorkItem, nowMs: number): void {
    this.options.loadForecast.noteKept(this.sizeOf(item, nowMs), nowMs);
  }

  private currentUse(nowMs: number): PoolUse {
    if (this.use === undefined || nowMs - this.usedAtMs >= USE_TTL_MS) {
      this.use = poolUseOf(this.options.pool.usable(nowMs), nowMs);
      this.usedAtMs = nowMs;
    }
    return this.use;
  }

  private isDue(item: WorkItem, queuedAtMs: number, nowMs: number): boolean {
    const dueAtMs = this.reconsiderAtMs.get(item) ?? queuedAtMs + RECONSIDER_MS;
    return item.otherRegions.length > 0 && nowMs >= dueAtMs;
  }

  private sizeOf(item: WorkItem, nowMs: number): WorkSize {
    const {pool, loadForecast} = this.options;
    return {
      slotMs: loadForecast.slotMsOf(item),
      prefillMs: pool.estimates.minPrefillMs(item, nowMs),
    };
  }
}
