/** The queues, slots and predicted waits of one pool on one instance. */
import type {RankId} from '../../types/ids.js';
import type {PoolId} from '../fleet/pool.js';
import {
  DEMAND_HALF_LIFE_MS,
  MIN_PREDICTED_SHARE,
  MIN_URGENT_DEMAND_SHARE,
  SERVICE_MEAN_WEIGHT,
} from './constants.js';
import {DecayedSum} from './decayed_sum.js';
import {DrainRate} from './drain_rate.js';
import {FairQueue, type Preference} from './fair_queue.js';
import type {AdmissionRank, AdmissionRequest, StartedRequest} from './types.js';

/** The slots of a pool that an instance may use; a part of `PoolCapacity`. */
export interface PoolSlots {
  /** This instance's equal share, which it gets when all instances compete. */
  readonly shareSlots: number;
  /** Requests that this instance may start before the next `setSlots`. */
  readonly startableSlots: number;
  /** The same for requests that must keep the reserved slots free. */
  readonly startableBesideReserve: number;
  /** Other pools served by some of the same upstreams. */
  readonly sharedPoolIds: readonly PoolId[];
  readonly meanServiceMs: number;
}

const NO_SLOTS: PoolSlots = {
  shareSlots: 0,
  startableSlots: 0,
  startableBesideReserve: 0,
  sharedPoolIds: [],
  meanServiceMs: 0,
};

/** The head of the queue of a rank in a pool with a free slot. */
export interface StartableHead {
  readonly rankId: RankId;
  readonly costMs: number;
  readonly queuedAtMs: number;
}

/** Demand of the more urgent ranks. */
export interface UrgentDemand {
  /** Slots occupied by their recently started requests. */
  readonly slots: number;
  readonly queuedCount: number;
}

interface RankQueue {
  readonly rank: AdmissionRank;
  readonly queue: FairQueue<AdmissionRequest>;
  /** Slot time of recently started requests. */
  readonly started: DecayedSum;
  readonly drain: DrainRate;
  meanServiceMs: number | undefined;
  runningCount: number;
}

/** One pool of an `AdmissionQueue`. */
export class PoolQueue {
  private readonly ranks: readonly RankQueue[];
  private slots: PoolSlots = NO_SLOTS;

  /** `ranks` are sorted by urgency; `poolOf` looks up other pools. */
  constructor(
    ranks: readonly AdmissionRank[],
    private readonly poolOf: (poolId: PoolId) => PoolQueue | undefined,
  ) {
    this.ranks = ranks.map(rank => ({
      rank,
      queue: new FairQueue<AdmissionRequest>(),
      started: new DecayedSum(DEMAND_HALF_LIFE_MS),
      drain: new DrainRate(),
      meanServiceMs: undefined,
      runningCount: 0,
    }));
  }

  /** Whether any upstream of the pool may take work. */
  get hasCapacity(): boolean {
    return this.slots.shareSlots > 0;
  }

  get runningCount(): number {
    return this.ranks.reduce((sum, each) => sum + each.runningCount, 0);
  }

  get queuedCount(): number {
    return this.ranks.reduce((sum, each) => sum + each.queue.size, 0);
  }

  setSlots(slots: PoolSlots): void {
    this.slots = slots;
  }

  queueOf(rankId: RankId): FairQueue<AdmissionRequest> {
    return this.rankQueue(rankId).queue;
  }

  push(request: AdmissionRequest, expiresAtMs: number, nowMs: number): void {
    const rankQueue = this.rankQueue(request.rankId);
    rankQueue.drain.observe(rankQueue.queue.size > 0, nowMs);
    const costMs = this.costOf(rankQueue, request);
    rankQueue.queue.push({
      request,
      queuedAtMs: nowMs,
      expiresAtMs,
      costMs,
      skipCount: 0,
    });
  }

  /** The ranks that could start a request now. */
  startable(nowMs: number): readonly StartableHead[] {
    return this.ranks.flatMap((each, position) => {
      const head = each.queue.head();
      if (head === undefined) return [];
      if (this.startableSlots(position, nowMs) < 1) return [];
      const {costMs, queuedAtMs} = head;
      return [{rankId: each.rank.rankId, costMs, queuedAtMs}];
    });
  }

  /** The demand of the ranks more urgent than the one at `position`. */
  urgentDemand(position: number, nowMs: number): UrgentDemand {
    const urgent = this.ranks.slice(0, position);
    return {
      slots: urgent.reduce(
        (sum, each) => sum + each.started.ratePerMs(nowMs),
        0,
      ),
      queuedCount: urgent.reduce((sum, each) => sum + each.queue.size, 0),
    };
  }

  private startableSlots(position: number, nowMs: number): number {
    return this.leavesReserve(position, nowMs)
      ? this.slots.startableBesideReserve
      : this.slots.startableSlots;
  }

  /**
   * Whether a rank must keep the reserved slots free, which is while more
   * urgent ranks have recent demand. While requests of those are queued nothing
   * is reserved, and the scheduler decides by the floors.
   */
  private leavesReserve(position: number, nowMs: number): boolean {
    if (position === 0) return false;
    const demands = [this, ...this.sharingPools()].map(pool =>
      pool.urgentDemand(position, nowMs),
    );
    if (demands.some(each => each.queuedCount > 0)) return false;
    const slots = demands.reduce((sum, each) => sum + each.slots, 0);
    return slots >= MIN_URGENT_DEMAND_SHARE * this.slots.shareSlots;
  }

  private sharingPools(): readonly PoolQueue[] {
    return this.slots.sharedPoolIds.flatMap(id => this.poolOf(id) ?? []);
  }

  /** Starts the next request of a rank. */
  start(
    rankId: RankId,
    nowMs: number,
    prefers?: Preference<AdmissionRequest>,
  ): StartedRequest | undefined {
    const rankQueue = this.rankQueue(rankId);
    const position = this.ranks.indexOf(rankQueue);
    const leavesReserve = this.leavesReserve(position, nowMs);
    rankQueue.drain.observe(rankQueue.queue.size > 0, nowMs);
    const dequeued = rankQueue.queue.shift(nowMs, prefers);
    if (dequeued === undefined) return undefined;
    if (dequeued.waitedMs > 0) rankQueue.drain.add(dequeued.costMs, nowMs);
    this.addStartable(-1);
    rankQueue.runningCount += 1;
    rankQueue.started.add(dequeued.costMs, nowMs);
    const {request, waitedMs} = dequeued;
    return {request, waitedMs, leavesReserve};
  }

  /** Releases a slot. The caller must call it exactly once per start. */
  release(rankId: RankId, serviceMs: number | undefined): void {
    const rankQueue = this.rankQueue(rankId);
    rankQueue.runningCount -= 1;
    this.addStartable(1);
    if (serviceMs === undefined) return;
    const mean = rankQueue.meanServiceMs ?? serviceMs;
    rankQueue.meanServiceMs = mean + (serviceMs - mean) * SERVICE_MEAN_WEIGHT;
  }

  remove(request: AdmissionRequest): boolean {
    return this.rankQueue(request.rankId).queue.remove(request);
  }

  expire(nowMs: number): readonly AdmissionRequest[] {
    return this.ranks.flatMap(each => each.queue.expire(nowMs));
  }

  /** The earliest expiry of the queued requests. */
  earliestExpiryMs(): number {
    return this.ranks.reduce(
      (least, each) => Math.min(least, each.queue.earliestExpiryMs()),
      Infinity,
    );
  }

  /**
   * Predicted wait of one more request for a slot: the cost of the requests
   * that start before it, divided by the drain rate of its rank's queue.
   */
  predictWaitMs(request: AdmissionRequest, nowMs: number): number {
    const rankQueue = this.rankQueue(request.rankId);
    const aheadMs = rankQueue.queue.costAheadMs(request, nowMs);
    return this.waitBehindMs(rankQueue, aheadMs, nowMs);
  }

  /** Time until all requests of a rank that are queued now have started. */
  backlogMs(rankId: RankId, nowMs: number): number {
    const rankQueue = this.rankQueue(rankId);
    return this.waitBehindMs(rankQueue, rankQueue.queue.totalCostMs(), nowMs);
  }

  private waitBehindMs(
    rankQueue: RankQueue,
    aheadMs: number,
    nowMs: number,
  ): number {
    const position = this.ranks.indexOf(rankQueue);
    const urgent = this.ranks.slice(0, position);
    const isFirst =
      rankQueue.queue.size === 0 && urgent.every(each => each.queue.size === 0);
    if (isFirst && this.startableSlots(position, nowMs) >= 1) return 0;
    rankQueue.drain.observe(rankQueue.queue.size > 0, nowMs);
    const rate = rankQueue.drain.rate(
      this.expectedRate(rankQueue, nowMs),
      nowMs,
    );
    return (aheadMs + this.meanRunningMs()) / rate;
  }

  /**
   * Expected slot time per millisecond of a rank: all slots of this instance
   * minus the demand of more urgent ranks and the floors of less urgent ranks
   * with a backlog, but at least its own floor.
   */
  private expectedRate(rankQueue: RankQueue, nowMs: number): number {
    const slots = Math.max(1, this.slots.shareSlots, this.runningCount);
    const position = this.ranks.indexOf(rankQueue);
    const demand = this.ranks
      .slice(0, position)
      .reduce((sum, each) => sum + each.started.ratePerMs(nowMs) / slots, 0);
    const floors = this.ranks
      .slice(position + 1)
      .filter(each => each.queue.size > 0)
      .reduce((sum, each) => sum + each.rank.floorShare, 0);
    const minShare = Math.max(MIN_PREDICTED_SHARE, rankQueue.rank.floorShare);
    return slots * Math.max(minShare, 1 - demand - floors);
  }

  private addStartable(change: number): void {
    this.slots = {
      ...this.slots,
      startableSlots: this.slots.startableSlots + change,
      startableBesideReserve: this.slots.startableBesideReserve + change,
    };
  }

  /** Mean slot time of the running requests. */
  private meanRunningMs(): number {
    const running = this.runningCount;
    if (running === 0) return this.slots.meanServiceMs;
    const total = this.ranks.reduce(
      (sum, each) => sum + each.runningCount * this.costOf(each, undefined),
      0,
    );
    return total / running;
  }

  private costOf(
    rankQueue: RankQueue,
    request: AdmissionRequest | undefined,
  ): number {
    return Math.max(
      1,
      request?.expectedServiceMs ??
        rankQueue.meanServiceMs ??
        this.slots.meanServiceMs,
    );
  }

  private rankQueue(rankId: RankId): RankQueue {
    const found = this.ranks.find(each => each.rank.rankId === rankId);
    if (found === undefined) throw new Error(`unknown rank ${rankId}`);
    return found;
  }
}
