/**
 * Weighted fair queueing by workspace within one rank: each workspace has its
 * own FIFO queue, and the next request is the head with the least virtual start
 * time (start-time fair queueing).
 */
import type {RequestId, WorkspaceId} from '../../types/ids.js';
import {DecayedSum} from './decayed_sum.js';
import type {AdmissionRequest} from './types.js';

/** Half-life of the measured shares of the workspaces. */
const SHARE_HALF_LIFE_MS = 5_000;
/** Number of requests by which a preferred request may start early. */
const PREFERENCE_SLACK = 2;
/** Requests per workspace that are searched for a preferred one. */
const PREFERENCE_DEPTH = 4;
/** A request that was skipped this many times goes next. */
const MAX_SKIPS = 8;
/** An idle workspace whose recent starts cost less than this is removed. */
const NEGLIGIBLE_COST_MS = 1;

/** Whether a free upstream has probably cached the prefix of a request. */
export type Preference = (request: AdmissionRequest) => boolean;

/** A queued request. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly queuedAtMs: number;
  /** From this time on it would be late or past its deadline. */
  readonly expiresAtMs: number;
  readonly costMs: number;
  /** Number of times that a later request was started first. */
  skipCount: number;
}

interface WorkspaceQueue {
  readonly workspaceId: WorkspaceId;
  weight: number;
  waiting: WaitingRequest[];
  /** Cost of its recently started requests that had waited. */
  readonly started: DecayedSum;
  /** Virtual start time of its head: the virtual finish of its last start. */
  startTag: number;
}

/** A request taken from the queue. */
export interface DequeuedRequest extends WaitingRequest {
  readonly waitedMs: number;
}

/** The queue of one rank of one pool. */
export class FairQueue {
  private readonly queues = new Map<WorkspaceId, WorkspaceQueue>();
  private virtualTime = 0;
  private count = 0;

  /** Number of queued requests. */
  get size(): number {
    return this.count;
  }

  /** Number of queued requests of one workspace. */
  sizeOf(workspaceId: WorkspaceId): number {
    return this.queues.get(workspaceId)?.waiting.length ?? 0;
  }

  push(waiting: WaitingRequest): void {
    const {request} = waiting;
    const queue = this.queues.get(request.workspaceId) ?? {
      workspaceId: request.workspaceId,
      weight: request.fairWeight,
      waiting: [],
      startTag: this.virtualTime,
      started: new DecayedSum(SHARE_HALF_LIFE_MS),
    };
    if (queue.waiting.length === 0) {
      queue.startTag = Math.max(queue.startTag, this.virtualTime);
    }
    queue.weight = request.fairWeight;
    queue.waiting.push(waiting);
    this.queues.set(request.workspaceId, queue);
    this.count += 1;
  }

  /** The request that `shift` would return without a preference. */
  head(): WaitingRequest | undefined {
    return this.next()?.waiting[0];
  }

  /**
   * Takes the next request. If `prefers` is given, a preferred request of a
   * workspace that is nearly due goes first, but no request is skipped more
   * than `MAX_SKIPS` times.
   */
  shift(nowMs: number, prefers?: Preference): DequeuedRequest | undefined {
    const due = this.next();
    const head = due?.waiting[0];
    if (due === undefined || head === undefined) return undefined;
    this.virtualTime = Math.max(this.virtualTime, due.startTag);
    const found = this.findPreferred(due, head, prefers);
    const queue = found?.queue ?? due;
    const waiting = found?.waiting ?? head;
    if (waiting !== head) head.skipCount += 1;
    queue.waiting.splice(queue.waiting.indexOf(waiting), 1);
    queue.startTag += waiting.costMs / queue.weight;
    if (nowMs > waiting.queuedAtMs) queue.started.add(waiting.costMs, nowMs);
    this.count -= 1;
    this.removeIdle(nowMs);
    return {...waiting, waitedMs: nowMs - waiting.queuedAtMs};
  }

  /** Removes one request; returns false if it is not queued here. */
  remove(requestId: RequestId): boolean {
    const removed = this.removeWhere(
      waiting => waiting.request.requestId === requestId,
    );
    return removed.length > 0;
  }

  /** Removes and returns the expired requests. */
  expire(nowMs: number): readonly AdmissionRequest[] {
    return this.removeWhere(waiting => waiting.expiresAtMs <= nowMs);
  }

  /** The cost of all queued requests. */
  totalCostMs(): number {
    return [...this.queues.values()].reduce(
      (sum, queue) => sum + totalCost(queue),
      0,
    );
  }

  /** The earliest expiry of the queued requests. */
  earliestExpiryMs(): number {
    return [...this.queues.values()]
      .flatMap(queue => queue.waiting)
      .reduce((least, each) => Math.min(least, each.expiresAtMs), Infinity);
  }

  /**
   * The cost of the requests that will start before one more request of a
   * workspace. The requests queued ahead of it now are an underestimate while
   * other workspaces keep sending, so the result is at least the workspace's
   * queue divided by its share of the starts.
   */
  costAheadMs(workspaceId: WorkspaceId, weight: number, nowMs: number): number {
    const own = this.queues.get(workspaceId);
    const ownMs = own === undefined ? 0 : totalCost(own);
    const startTag =
      Math.max(this.virtualTime, own?.startTag ?? 0) + ownMs / weight;
    const othersMs = [...this.queues.values()]
      .filter(queue => queue !== own)
      .reduce((sum, queue) => {
        const aheadMs = (startTag - queue.startTag) * queue.weight;
        if (aheadMs <= 0) return sum;
        // A request that starts before the new one counts with its full cost.
        const headMs = queue.waiting[0]?.costMs ?? 0;
        return sum + Math.min(totalCost(queue), aheadMs + headMs);
      }, 0);
    if (own === undefined || ownMs === 0) return othersMs;
    return Math.max(ownMs + othersMs, ownMs / this.shareOf(own, nowMs));
  }

  /** The workspace's recent share of the starts, at least its fair share. */
  private shareOf(own: WorkspaceQueue, nowMs: number): number {
    const all = [...this.queues.values()];
    const waitingWeight = all
      .filter(queue => queue.waiting.length > 0)
      .reduce((sum, queue) => sum + queue.weight, 0);
    const started = all.reduce(
      (sum, queue) => sum + queue.started.valueAt(nowMs),
      0,
    );
    const recent = started === 0 ? 0 : own.started.valueAt(nowMs) / started;
    return Math.max(recent, own.weight / waitingWeight);
  }

  private next(): WorkspaceQueue | undefined {
    return [...this.queues.values()]
      .filter(queue => queue.waiting.length > 0)
      .reduce<WorkspaceQueue | undefined>(
        (best, each) =>
          best === undefined || each.startTag < best.startTag ? each : best,
        undefined,
      );
  }

  private findPreferred(
    due: WorkspaceQueue,
    head: WaitingRequest,
    prefers: Preference | undefined,
  ): {queue: WorkspaceQueue; waiting: WaitingRequest} | undefined {
    if (prefers === undefined || head.skipCount >= MAX_SKIPS) {
      return undefined;
    }
    const latestTag =
      due.startTag + (PREFERENCE_SLACK * head.costMs) / due.weight;
    return [...this.queues.values()]
      .filter(queue => queue.waiting.length > 0 && queue.startTag <= latestTag)
      .sort((a, b) => a.startTag - b.startTag)
      .flatMap(queue =>
        queue.waiting
          .slice(0, PREFERENCE_DEPTH)
          .map(waiting => ({queue, waiting})),
      )
      .find(({waiting}) => prefers(waiting.request));
  }

  private removeWhere(
    isRemoved: (waiting: WaitingRequest) => boolean,
  ): readonly AdmissionRequest[] {
    const removed = [...this.queues.values()].flatMap(queue => {
      const matching = queue.waiting.filter(isRemoved);
      if (matching.length > 0) {
        queue.waiting = queue.waiting.filter(each => !isRemoved(each));
      }
      return matching.map(each => each.request);
    });
    this.count -= removed.length;
    return removed;
  }

  /** Removes empty queues whose past use no longer affects the order. */
  private removeIdle(nowMs: number): void {
    [...this.queues.values()]
      .filter(queue => queue.waiting.length === 0)
      .filter(queue => this.count === 0 || queue.startTag <= this.virtualTime)
      .filter(queue => queue.started.valueAt(nowMs) < NEGLIGIBLE_COST_MS)
      .forEach(queue => this.queues.delete(queue.workspaceId));
  }
}

function totalCost(queue: WorkspaceQueue): number {
  return queue.waiting.reduce((sum, each) => sum + each.costMs, 0);
}
