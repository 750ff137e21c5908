/**
 * Weighted fair queueing by workspace within one rank: each workspace has its
 * own queue, and the next request is the head with the least virtual start
 * time (start-time fair queueing). The own interface and the schedulers of the
 * regions share it; each queues its own kind of request.
 */
import type {RequestId, WorkspaceId} from '../../types/ids.js';
import {DecayedSum} from './decayed_sum.js';

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

/** What the order of a `FairQueue` depends on. */
export interface FairRequest {
  readonly requestId: RequestId;
  readonly workspaceId: WorkspaceId;
  /** Weight of its workspace in the fair sharing of the rank. */
  readonly fairWeight: number;
  /**
   * When it must start at the latest. The requests of a workspace start in this
   * order; those without a time start last, in order of arrival.
   */
  readonly startByMs?: number;
}

/** Whether a free upstream has probably cached the prefix of a request. */
export type Preference<Request extends FairRequest> = (
  request: Request,
) => boolean;

/** What is summed over the requests ahead of a new one. */
export type Measure<Request extends FairRequest> = (
  waiting: WaitingRequest<Request>,
) => number;

/** A queued request. */
export interface WaitingRequest<Request extends FairRequest> {
  readonly request: Request;
  readonly queuedAtMs: number;
  /** From this time on it would be late or past its deadline. */
  readonly expiresAtMs: number;
  readonly costMs: number;
  /** Number of times that a later request was started first. */
  skipCount: number;
}

interface WorkspaceQueue<Request extends FairRequest> {
  readonly workspaceId: WorkspaceId;
  weight: number;
  waiting: WaitingRequest<Request>[];
  /** Cost of its recently started requests that had waited. */
  readonly started: DecayedSum;
  /** Virtual start time of its head: the virtual finish of its last start. */
  startTag: number;
}

/** The requests that start before a new one. */
export interface RequestsAhead<Request extends FairRequest> {
  /** Those of its workspace. */
  readonly own: readonly WaitingRequest<Request>[];
  readonly others: readonly WaitingRequest<Request>[];
  /** Share of the starts that its workspace gets. */
  readonly startShare: number;
}

interface TaggedRequest<Request extends FairRequest> {
  readonly waiting: WaitingRequest<Request>;
  readonly startTag: number;
}

interface FoundRequest<Request extends FairRequest> {
  readonly queue: WorkspaceQueue<Request>;
  readonly waiting: WaitingRequest<Request>;
}

/** A request taken from the queue. */
export interface DequeuedRequest<
  Request extends FairRequest,
> extends WaitingRequest<Request> {
  readonly waitedMs: number;
}

/** The queue of one rank of one pool. */
export class FairQueue<Request extends FairRequest> {
  private readonly queues = new Map<WorkspaceId, WorkspaceQueue<Request>>();
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

  push(waiting: WaitingRequest<Request>): void {
    const {request} = waiting;
    const queue = this.activate(request.workspaceId, request.fairWeight);
    queue.waiting.splice(aheadInQueue(queue, request).length, 0, waiting);
    this.count += 1;
  }

  /** The request that `shift` would return without a preference. */
  head(): WaitingRequest<Request> | undefined {
    return this.next()?.waiting[0];
  }

  /** All queued requests, in the order in which they would start. */
  inOrder(): readonly WaitingRequest<Request>[] {
    const backlogged = this.backlogged();
    const [only, ...others] = backlogged;
    if (only !== undefined && others.length === 0) return [...only.waiting];
    return backlogged
      .flatMap(taggedOf)
      .sort((a, b) => a.startTag - b.startTag)
      .map(each => each.waiting);
  }

  /** Takes a given request, whatever its turn; its workspace pays for it. */
  take(
    {workspaceId, requestId}: FairRequest,
    nowMs: number,
  ): DequeuedRequest<Request> | undefined {
    const queue = this.queues.get(workspaceId);
    const waiting = queue?.waiting.find(
      ({request}) => request.requestId === requestId,
    );
    return queue === undefined || waiting === undefined
      ? undefined
      : this.start(queue, waiting, nowMs);
  }

  /**
   * Share of the starts that one more request's workspace gets: what it got
   * recently, at least its share by weight among those with recent requests.
   */
  startShare({workspaceId, fairWeight}: FairRequest, nowMs: number): number {
    const all = [...this.queues.values()];
    const others = all.filter(queue => queue.workspaceId !== workspaceId);
    const othersWeight = others.reduce((sum, queue) => sum + queue.weight, 0);
    const own = this.queues.get(workspaceId)?.started.valueAt(nowMs) ?? 0;
    const started = others.reduce(
      (sum, queue) => sum + queue.started.valueAt(nowMs),
      own,
    );
    const recent = started === 0 ? 0 : own / started;
    return Math.max(recent, fairWeight / (fairWeight + othersWeight));
  }

  /**
   * Takes the next request. If `prefers` is given, a preferred request of a
   * workspace that is nearly due goes first, but no request is skipped more
   * than `MAX_SKIPS` times.
   */
  shift(
    nowMs: number,
    prefers?: Preference<Request>,
  ): DequeuedRequest<Request> | undefined {
    const due = this.next();
    const head = due?.waiting[0];
    if (due === undefined || head === undefined) return undefined;
    const found = this.findPreferred(due, head, prefers);
    if (found === undefined) return this.start(due, head, nowMs);
    this.virtualTime = Math.max(this.virtualTime, due.startTag);
    if (found.waiting !== head) head.skipCount += 1;
    return this.start(found.queue, found.waiting, nowMs, this.virtualTime);
  }

  /** Removes one request; returns false if it is not queued here. */
  remove({workspaceId, requestId}: FairRequest): boolean {
    const queue = this.queues.get(workspaceId);
    const position =
      queue?.waiting.findIndex(
        ({request}) => request.requestId === requestId,
      ) ?? -1;
    if (queue === undefined || position < 0) return false;
    queue.waiting.splice(position, 1);
    this.count -= 1;
    return true;
  }

  /** Removes and returns the expired requests. */
  expire(nowMs: number): readonly Request[] {
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

  /** The cost of the requests that will start before one more request. */
  costAheadMs(request: FairRequest, nowMs: number): number {
    return sumAhead(this.ahead(request, nowMs), each => each.costMs);
  }

  /** The requests that will start before one more request. */
  ahead(request: FairRequest, nowMs: number): RequestsAhead<Request> {
    const {workspaceId, fairWeight} = request;
    const own = this.queues.get(workspaceId);
    const ownAhead = aheadInQueue(own, request);
    const isAlone = this.queues.size === (own === undefined ? 0 : 1);
    if (isAlone) return {own: ownAhead, others: [], startShare: 1};
    const startTag =
      Math.max(this.virtualTime, own?.startTag ?? 0) +
      sumOf(ownAhead, each => each.costMs) / fairWeight;
    const others = this.backlogged()
      .filter(queue => queue !== own)
      .flatMap(taggedOf)
      .filter(each => each.startTag < startTag)
      .map(each => each.waiting);
    const startShare = this.startShare(request, nowMs);
    return {own: ownAhead, others, startShare};
  }

  private backlogged(): readonly WorkspaceQueue<Request>[] {
    return [...this.queues.values()].filter(queue => queue.waiting.length > 0);
  }

  private next(): WorkspaceQueue<Request> | undefined {
    return this.backlogged().reduce<WorkspaceQueue<Request> | undefined>(
      (best, each) =>
        best === undefined || each.startTag < best.startTag ? each : best,
      undefined,
    );
  }

  /** The queue of a workspace, ready for one more request. */
  private activate(
    workspaceId: WorkspaceId,
    weight: number,
  ): WorkspaceQueue<Request> {
    const queue = this.queues.get(workspaceId) ?? {
      workspaceId,
      weight,
      waiting: [],
      startTag: this.virtualTime,
      started: new DecayedSum(SHARE_HALF_LIFE_MS),
    };
    if (queue.waiting.length === 0) {
      queue.startTag = Math.max(queue.startTag, this.virtualTime);
    }
    queue.weight = weight;
    this.queues.set(workspaceId, queue);
    return queue;
  }

  /** Removes a request to start it. `virtualTime` is the new virtual time. */
  private start(
    queue: WorkspaceQueue<Request>,
    waiting: WaitingRequest<Request>,
    nowMs: number,
    virtualTime = queue.startTag,
  ): DequeuedRequest<Request> {
    this.virtualTime = Math.max(this.virtualTime, virtualTime);
    queue.waiting.splice(queue.waiting.indexOf(waiting), 1);
    queue.startTag += waiting.costMs / queue.weight;
    if (nowMs > waiting.queuedAtMs) queue.started.add(waiting.costMs, nowMs);
    this.count -= 1;
    this.removeIdle(nowMs);
    return {...waiting, waitedMs: nowMs - waiting.queuedAtMs};
  }

  private findPreferred(
    due: WorkspaceQueue<Request>,
    head: WaitingRequest<Request>,
    prefers: Preference<Request> | undefined,
  ): FoundRequest<Request> | undefined {
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
    isRemoved: (waiting: WaitingRequest<Request>) => boolean,
  ): readonly Request[] {
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

/**
 * Sums a measure over the requests ahead of a new one. Those queued now are an
 * underestimate while other workspaces keep sending, so the result is at least
 * that of its own workspace divided by its share of the starts.
 */
export function sumAhead<Request extends FairRequest>(
  {own, others, startShare}: RequestsAhead<Request>,
  measure: Measure<Request>,
): number {
  const ownSum = sumOf(own, measure);
  return Math.max(ownSum + sumOf(others, measure), ownSum / startShare);
}

function totalCost<Request extends FairRequest>(
  queue: WorkspaceQueue<Request>,
): number {
  return sumOf(queue.waiting, each => each.costMs);
}

function sumOf<Request extends FairRequest>(
  requests: readonly WaitingRequest<Request>[],
  measure: Measure<Request>,
): number {
  return requests.reduce((sum, each) => sum + measure(each), 0);
}

/** The requests of its own workspace that start before a new one. */
function aheadInQueue<Request extends FairRequest>(
  queue: WorkspaceQueue<Request> | undefined,
  {startByMs = Infinity}: FairRequest,
): readonly WaitingRequest<Request>[] {
  if (queue === undefined) return [];
  const {waiting} = queue;
  const next = waiting.findIndex(
    ({request}) => (request.startByMs ?? Infinity) > startByMs,
  );
  return next < 0 ? waiting : waiting.slice(0, next);
}

/** The requests of a workspace with the virtual times at which they start. */
function taggedOf<Request extends FairRequest>({
  waiting,
  weight,
  startTag,
}: WorkspaceQueue<Request>): readonly TaggedRequest<Request>[] {
  let nextTag = startTag;
  return waiting.map(each => {
    const tagged = {waiting: each, startTag: nextTag};
    nextTag += each.costMs / weight;
    return tagged;
  });
}
