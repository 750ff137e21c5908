/**
 * Weighted fair queueing by workspace inside one rank: each workspace has its
 * own first-in-first-out queue, and the next request is the head with the
 * least virtual start time (start-time fair queueing).
 */
import type {RequestId, WorkspaceId} from '../../types/ids.js';
import {DecayedSum} from './decayed_sum.js';
import type {AdmissionRequest} from './types.js';

/** Half-life of the measured shares of the workspaces. */
const SHARE_HALF_LIFE_MS = 5_000;
/** A preferred request may start this many requests before its turn. */
const PREFERENCE_SLACK = 2;
/** Requests of each workspace that are looked at for a preferred one. */
const PREFERENCE_DEPTH = 4;
/** After this many times a passed over request goes next. */
const MAX_SKIPS = 8;
/** A workspace whose recent starts cost less than this is forgotten. */
const NEGLIGIBLE_COST_MS = 1;

/** Whether a request fits the free upstreams well, by its cached prefix. */
export type Preference = (request: AdmissionRequest) => boolean;

/** A request that waits. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly queuedAtMs: number;
  /** After this time it would be late, or its deadline passes. */
  readonly expiresAtMs: number;
  readonly costMs: number;
  /** How often a later request went first. */
  skipCount: number;
}

interface WorkspaceQueue {
  readonly workspaceId: WorkspaceId;
  weight: number;
  waiting: WaitingRequest[];
  /** Cost of its requests that waited and started recently. */
  readonly started: DecayedSum;
  /** Virtual start time of its head: the finish of its last start. */
  startTag: number;
}

/** A request that left the queue. */
export interface DequeuedRequest extends WaitingRequest {
  readonly waitedMs: number;
}

/** The queue of one rank of one pool. */
export class FairQueue {
  private readonly queues = new Map<WorkspaceId, WorkspaceQueue>();
  private virtualTime = 0;
  private count = 0;

  /** Requests that wait. */
  get size(): number {
    return this.count;
  }

  /** Requests of one workspace that wait. */
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

  /** The request that `shift` would return. */
  head(): WaitingRequest | undefined {
    return this.next()?.waiting[0];
  }

  /**
   * Takes the next request. If `prefers` is given, a preferred request of a
   * workspace that is nearly due goes before one that is not preferred, but
   * none is passed over more than `MAX_PASSED_OVER` times.
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

  /** Takes one request out; false if it does not wait here. */
  remove(requestId: RequestId): boolean {
    const removed = this.removeWhere(
      waiting => waiting.request.requestId === requestId,
    );
    return removed.length > 0;
  }

  /** Takes out the requests that expired. */
  expire(nowMs: number): readonly AdmissionRequest[] {
    return this.removeWhere(waiting => waiting.expiresAtMs <= nowMs);
  }

  /** The cost of all requests that wait. */
  totalCostMs(): number {
    return [...this.queues.values()].reduce(
      (sum, queue) => sum + totalCost(queue),
      0,
    );
  }

  /** The least expiry of the requests that wait. */
  earliestExpiryMs(): number {
    return [...this.queues.values()]
      .flatMap(queue => queue.waiting)
      .reduce((least, each) => Math.min(least, each.expiresAtMs), Infinity);
  }

  /**
   * The cost of what will start before one more request of a workspace. What
   * waits now and goes first is too little while others go on sending, so it
   * is at least the own queue divided by the share of the starts that the
   * workspace gets.
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
        // A request that starts before this one goes first as a whole.
        const headMs = queue.waiting[0]?.costMs ?? 0;
        return sum + Math.min(totalCost(queue), aheadMs + headMs);
      }, 0);
    if (own === undefined || ownMs === 0) return othersMs;
    return Math.max(ownMs + othersMs, ownMs / this.shareOf(own, nowMs));
  }

  /** The recent share of the starts, at least the fair share. */
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

  /** Drops empty queues whose use of the past no longer counts. */
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
