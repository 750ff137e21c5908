/**
 * The requests that wait in a scheduler: by priority, within a priority by fair
 * queueing over the workspaces, and within a workspace by the latest useful
 * start. So a large prompt, which takes longer to answer, goes before smaller
 * ones that arrived a little earlier, and those of callers that came back after
 * a refusal are first.
 */
import {
  FairQueue,
  sumAhead,
  type FairRequest,
} from '../decisions/admission/fair_queue.js';
import {DrainRate} from '../decisions/admission/drain_rate.js';
import {
  RankScheduler,
  type BackloggedRank,
} from '../decisions/admission/rank_scheduler.js';
import {
  asId,
  type InstanceId,
  type RequestId,
  type WorkspaceId,
} from '../types/ids.js';
import {
  BASE_FIRST_ANSWER_MS,
  DECODE_MS_PER_TOKEN,
  INITIAL_SERVICE_MS,
  MAX_FLOOR_SHARE_OF_PRIORITIES,
  PRIORITY_FLOOR_SHARE,
} from './constants.js';
import {maxFirstAnswerMs} from './forecast.js';
import type {WorkItem} from './types.js';

/** Shared by all requests of a deployment without workspaces. */
const NO_WORKSPACE = asId<WorkspaceId>('');

/** A request with the state recorded when it was queued. */
export interface QueuedItem {
  readonly item: WorkItem;
  readonly queuedAtMs: number;
  /** Prefill time of its prompt, estimated when it was queued. */
  readonly prefillMs: number;
  /** Whether its caller was refused and came back when told to. */
  readonly isReturn?: boolean;
}

/** The requests ahead of a new one. */
export interface QueueLoad {
  readonly requests: number;
  /** Prefill time of all their prompts on one engine. */
  readonly prefillMs: number;
}

export const EMPTY_LOAD: QueueLoad = {requests: 0, prefillMs: 0};

interface FairItem extends FairRequest {
  readonly queued: QueuedItem;
}

/** The requests of one priority. */
interface PriorityQueue {
  readonly priority: number;
  readonly queue: FairQueue<FairItem>;
  /** Of all its requests. */
  prefillMs: number;
  /** Slot time per millisecond that it gets while it has a backlog. */
  readonly drain: DrainRate;
}

/** A load with those parts of it that are more urgent. */
interface LoadAhead {
  readonly own: QueueLoad;
  readonly urgent: QueueLoad;
}

/** Estimates the prefill time of the prompt of a request. */
export type PrefillEstimate = (item: WorkItem, nowMs: number) => number;

/**
 * Orders the waiting requests of one scheduler. Less urgent priorities keep a
 * floor share of the grants, so that a flood of urgent requests does not starve
 * them.
 */
export class WorkQueue {
  /** Most urgent first. */
  private queues: PriorityQueue[] = [];
  private readonly items = new Map<RequestId, FairItem>();
  private readonly floors = new RankScheduler<number>();

  constructor(private readonly prefillMsOf: PrefillEstimate) {}

  get size(): number {
    return this.items.size;
  }

  add(item: WorkItem, nowMs: number, isReturn = false): void {
    const priorityQueue = this.queueOf(item.priority);
    const {queue, drain} = priorityQueue;
    drain.observe(queue.size > 0, nowMs);
    const prefillMs = this.prefillMsOf(item, nowMs);
    const queued = {item, queuedAtMs: nowMs, prefillMs, isReturn};
    const {requestId, workspaceId, fairWeight, startByMs} = this.toFair(
      item,
      nowMs,
      isReturn,
    );
    const request = {requestId, workspaceId, fairWeight, startByMs, queued};
    this.items.set(item.requestId, request);
    priorityQueue.prefillMs += prefillMs;
    queue.push({
      request,
      queuedAtMs: nowMs,
      expiresAtMs: Infinity,
      costMs: costMsOf(item, prefillMs),
      skipCount: 0,
    });
  }

  /** Removes a request that will not be granted. */
  remove(requestId: RequestId): void {
    const request = this.items.get(requestId);
    if (request === undefined) return;
    this.forget(request).queue.remove(request);
  }

  removeEntries(isGone: (entry: InstanceId) => boolean): void {
    this.inOrder()
      .filter(each => isGone(each.item.entry))
      .forEach(each => this.remove(each.item.requestId));
  }

  has(requestId: RequestId): boolean {
    return this.items.has(requestId);
  }

  /** The queued requests in the order in which they may be granted now. */
  inOrder(): readonly QueuedItem[] {
    const byPriority = this.queues.flatMap(({queue}) =>
      queue.inOrder().map(each => each.request.queued),
    );
    const first = this.floorTurn();
    return first === undefined
      ? byPriority
      : [first, ...byPriority.filter(each => each !== first)];
  }

  /**
   * Records a grant, of a queued request or of a new one, and takes it out of
   * the queue.
   */
  grant({requestId, priority}: WorkItem, nowMs: number): void {
    this.chargeFloors(priority);
    const request = this.items.get(requestId);
    if (request === undefined) return;
    const {queue, drain} = this.forget(request);
    drain.observe(queue.size > 0, nowMs);
    const taken = queue.take(request, nowMs);
    if (taken !== undefined) drain.add(taken.costMs, nowMs);
  }

  /** Whether a new request of this priority goes ahead of the whole queue. */
  isFirst(priority: number): boolean {
    return this.backlogged().every(each => each.rankId > priority);
  }

  /**
   * The queued request that goes before more urgent ones now, as its priority
   * would get less than its floor otherwise. `newPriority` is that of a new
   * request which competes with it.
   */
  floorTurn(newPriority?: number): QueuedItem | undefined {
    const queued = this.backlogged();
    const ranks =
      newPriority === undefined || queued.some(e => e.rankId <= newPriority)
        ? queued
        : [toRank(newPriority), ...queued];
    const chosen = this.floors.choose(withFloors(ranks));
    if (chosen === undefined || chosen.rankId === ranks[0]?.rankId) {
      return undefined;
    }
    return this.queueOf(chosen.rankId).queue.head()?.request.queued;
  }

  /** The priorities of the queued requests, most urgent first. */
  priorities(): readonly number[] {
    return this.backlogged().map(each => each.rankId);
  }

  /** The queued requests of this priority and more urgent ones. */
  ahead(priority = Number.POSITIVE_INFINITY): QueueLoad {
    return this.queues
      .filter(each => each.priority <= priority)
      .reduce(
        (load, {queue, prefillMs}) => ({
          requests: load.requests + queue.size,
          prefillMs: load.prefillMs + prefillMs,
        }),
        EMPTY_LOAD,
      );
  }

  /** The load that is granted before a new request, by the fair order. */
  aheadOf(item: WorkItem, nowMs: number, isReturn = false): QueueLoad {
    const urgent = this.ahead(item.priority - 1);
    const fair = this.toFair(item, nowMs, isReturn);
    const ahead = this.queueOf(item.priority).queue.ahead(fair, nowMs);
    const own = {
      requests: sumAhead(ahead, () => 1),
      prefillMs: sumAhead(ahead, each => each.request.queued.prefillMs),
    };
    return this.withFloor({own, urgent});
  }

  /** The load ahead of each queued request. */
  loadsAhead(): ReadonlyMap<RequestId, QueueLoad> {
    return new Map(
      this.queues.flatMap(({priority, queue}) => {
        const urgent = this.ahead(priority - 1);
        let own = EMPTY_LOAD;
        return queue.inOrder().map(({request}): [RequestId, QueueLoad] => {
          const load = this.withFloor({own, urgent});
          own = loadWith(own, request.queued);
          return [request.requestId, load];
        });
      }),
    );
  }

  /**
   * Slot time per millisecond that the workspace of a request gets of its
   * priority; `expectedRate` is that of the priority before a measurement.
   */
  drainRate(item: WorkItem, expectedRate: number, nowMs: number): number {
    const {queue, drain} = this.queueOf(item.priority);
    drain.observe(queue.size > 0, nowMs);
    const share = queue.startShare(sharingOf(item), nowMs);
    return drain.rate(expectedRate, nowMs) * share;
  }

  private chargeFloors(priority: number): void {
    const others = this.backlogged().filter(each => each.rankId !== priority);
    const chosen = toRank(priority);
    if (others.length === 0) {
      this.floors.charge(chosen, [chosen]);
      return;
    }
    const ranks = withFloors(
      [...others, chosen].sort((a, b) => a.rankId - b.rankId),
    );
    this.floors.charge(
      ranks.find(each => each.rankId === priority) ?? chosen,
      ranks,
    );
  }

  /** Drops a request from the totals; returns the queue that holds it. */
  private forget({requestId, queued}: FairItem): PriorityQueue {
    this.items.delete(requestId);
    const priorityQueue = this.queueOf(queued.item.priority);
    const isLast = priorityQueue.queue.size <= 1;
    const prefillMs = priorityQueue.prefillMs - queued.prefillMs;
    priorityQueue.prefillMs = isLast ? 0 : prefillMs;
    return priorityQueue;
  }

  // While a priority gets its floor, only a part of the more urgent requests is
  // granted before it.
  private withFloor({own, urgent}: LoadAhead): QueueLoad {
    const overtaking = (own.requests + 1) * (1 / this.floorShare() - 1);
    const share =
      urgent.requests === 0 ? 0 : Math.min(1, overtaking / urgent.requests);
    return {
      requests: own.requests + urgent.requests * share,
      prefillMs: own.prefillMs + urgent.prefillMs * share,
    };
  }

  private floorShare(): number {
    return floorShareOf(this.backlogged().length);
  }

  private toFair(
    item: WorkItem,
    nowMs: number,
    isReturn: boolean,
  ): FairRequest & {readonly startByMs: number} {
    const answerMs =
      item.prompt === undefined
        ? INITIAL_SERVICE_MS
        : this.prefillMsOf(item, nowMs) + BASE_FIRST_ANSWER_MS;
    const latestMs = maxFirstAnswerMs(item, answerMs);
    const waitMs = isReturn ? 0 : latestMs - answerMs - item.ageMs;
    const {requestId, workspaceId, fairWeight} = sharingOf(item);
    return {requestId, workspaceId, fairWeight, startByMs: nowMs + waitMs};
  }

  private backlogged(): readonly BackloggedRank<number>[] {
    return this.queues
      .filter(({queue}) => queue.size > 0)
      .map(({priority}) => toRank(priority));
  }

  private queueOf(priority: number): PriorityQueue {
    const known = this.queues.find(each => each.priority === priority);
    if (known !== undefined) return known;
    const queue = new FairQueue<FairItem>();
    const drain = new DrainRate();
    const created = {priority, queue, prefillMs: 0, drain};
    this.queues = [...this.queues, created].sort(
      (a, b) => a.priority - b.priority,
    );
    return created;
  }
}

/** Adds a request to the load ahead of another one. */
export function loadWith(load: QueueLoad, {prefillMs}: QueuedItem): QueueLoad {
  return {
    requests: load.requests + 1,
    prefillMs: load.prefillMs + prefillMs,
  };
}

/** Time for which a request occupies a slot of a busy upstream. */
export function costMsOf({prompt}: WorkItem, prefillMs: number): number {
  return prompt === undefined
    ? INITIAL_SERVICE_MS
    : prefillMs + prompt.expectedOutputTokens * DECODE_MS_PER_TOKEN;
}

/** The workspace and weight by which a request shares its priority. */
export function sharingOf({
  requestId,
  workspace = NO_WORKSPACE,
  fairWeight = 1,
}: WorkItem): FairRequest {
  return {requestId, workspaceId: workspace, fairWeight};
}

// Floors count grants, whatever their size.
function toRank(priority: number): BackloggedRank<number> {
  return {rankId: priority, floorShare: PRIORITY_FLOOR_SHARE, headCost: 1};
}

function withFloors(
  ranks: readonly BackloggedRank<number>[],
): readonly BackloggedRank<number>[] {
  const floorShare = floorShareOf(ranks.length);
  return ranks.map(each => ({...each, floorShare}));
}

// With many priorities their floors together leave room for the most urgent.
function floorShareOf(priorities: number): number {
  const lessUrgent = Math.max(1, priorities - 1);
  return Math.min(
    PRIORITY_FLOOR_SHARE,
    MAX_FLOOR_SHARE_OF_PRIORITIES / lessUrgent,
  );
}
