/**
 * The admission queue of one instance: it chooses the request that gets the
 * next slot and rejects early the requests whose answer would be late. It has
 * no timers: the caller passes the time and calls `next` after every change.
 */
import type {RankId, RequestId} from '../../types/ids.js';
import type {PoolId} from '../fleet/pool.js';
import {
  MAX_RETRY_AFTER_MS,
  MAX_WORKSPACE_SHARE,
  MIN_QUEUE_MS,
  MIN_RETRY_AFTER_MS,
} from './constants.js';
import type {Preference} from './fair_queue.js';
import {PoolQueue, type PoolSlots} from './pool_queue.js';
import {RankScheduler} from './rank_scheduler.js';
import type {
  AdmissionOptions,
  AdmissionRank,
  AdmissionRejection,
  AdmissionRequest,
  AdmissionVerdict,
  ExpiredRequest,
  StartedRequest,
} from './types.js';

interface RunningRequest {
  readonly request: AdmissionRequest;
  readonly startedAtMs: number;
}

/** Where `remove` found the request. */
export type Removal = 'queued' | 'running' | 'absent';

/** The queues of all pools of one instance. */
export class AdmissionQueue {
  private readonly ranks: readonly AdmissionRank[];
  private readonly maxPerRank: number;
  private readonly maxPerWorkspace: number;
  private readonly scheduler = new RankScheduler<RankId>();
  private readonly pools = new Map<PoolId, PoolQueue>();
  private readonly queued = new Map<RequestId, AdmissionRequest>();
  private readonly running = new Map<RequestId, RunningRequest>();
  private expired: ExpiredRequest[] = [];
  /** Lower bound of the expiry of all queued requests. */
  private earliestExpiryMs = Infinity;

  constructor(options: AdmissionOptions) {
    this.ranks = [...options.ranks].sort((a, b) => a.priority - b.priority);
    // Each rank has an equal part of the queue, so that a flood of one rank
    // cannot leave the others without room.
    this.maxPerRank = Math.max(
      1,
      Math.floor(options.maxQueued / Math.max(1, this.ranks.length)),
    );
    this.maxPerWorkspace = Math.max(
      1,
      Math.floor(
        this.maxPerRank * (options.maxWorkspaceShare ?? MAX_WORKSPACE_SHARE),
      ),
    );
  }

  /**
   * Sets the slots of a pool that this instance may use; see `poolCapacity`.
   * Call it after every start for all pools that share upstreams.
   */
  setSlots(poolId: PoolId, slots: PoolSlots): void {
    this.pool(poolId).setSlots(slots);
  }

  /** Queues or rejects a request. Call `next` afterwards. */
  enqueue(request: AdmissionRequest, nowMs: number): AdmissionVerdict {
    const verdict = this.preview(request, nowMs);
    if (verdict.kind === 'refused') return verdict;
    const expiresAtMs = this.expiryMs(request, nowMs);
    this.queued.set(request.requestId, request);
    this.pool(request.poolId).push(request, expiresAtMs, nowMs);
    this.earliestExpiryMs = Math.min(this.earliestExpiryMs, expiresAtMs);
    return verdict;
  }

  /** The verdict that `enqueue` would return now. */
  preview(request: AdmissionRequest, nowMs: number): AdmissionVerdict {
    const rank = this.ranks.find(each => each.rankId === request.rankId);
    if (rank === undefined) return reject('unknown_rank', 0, 0);
    if (this.isKnown(request.requestId)) return reject('duplicate', 0, 0);
    const pool = this.pool(request.poolId);
    if (!pool.hasCapacity) {
      return reject('no_capacity', 0, MAX_RETRY_AFTER_MS);
    }
    const predictedWaitMs = pool.predictWaitMs(request, nowMs);
    const dueAtMs = firstTokenDueAtMs(request, rank, nowMs);
    const allowedMs = Math.min(dueAtMs, request.deadlineAtMs) - nowMs;
    const lateByMs = predictedWaitMs + request.expectedFirstTokenMs - allowedMs;
    if (predictedWaitMs > 0 && lateByMs > 0) {
      return reject('would_be_late', predictedWaitMs, lateByMs);
    }
    const cause = this.exceededLimit(request);
    if (cause !== undefined) {
      return reject(cause, predictedWaitMs, predictedWaitMs);
    }
    return {kind: 'queued', predictedWaitMs};
  }

  /** Predicted wait for a slot of one more request like this one. */
  predictWaitMs(request: AdmissionRequest, nowMs: number): number {
    return this.pool(request.poolId).predictWaitMs(request, nowMs);
  }

  /**
   * Time until all requests of a rank that are queued now have started; 0 for
   * a rank of a configuration that this queue does not have yet.
   */
  backlogMs(poolId: PoolId, rankId: RankId, nowMs: number): number {
    if (!this.ranks.some(rank => rank.rankId === rankId)) return 0;
    return this.pool(poolId).backlogMs(rankId, nowMs);
  }

  /**
   * Starts one request, if any may start. Requests whose deadline has passed
   * or that would be late never start; `expire` returns them. Among requests
   * that are nearly due, one for which `prefers` returns true goes first.
   */
  next(
    nowMs: number,
    prefers?: Preference<AdmissionRequest>,
  ): StartedRequest | undefined {
    this.collectExpired(nowMs);
    const heads = [...this.pools.values()].flatMap(pool =>
      pool.startable(nowMs).map(head => ({...head, pool})),
    );
    const backlogged = this.ranks.flatMap(rank => {
      const oldest = heads
        .filter(head => head.rankId === rank.rankId)
        .reduce<(typeof heads)[number] | undefined>(
          (best, each) =>
            best === undefined || each.queuedAtMs < best.queuedAtMs
              ? each
              : best,
          undefined,
        );
      return oldest === undefined
        ? []
        : [
            {
              rankId: rank.rankId,
              floorShare: rank.floorShare,
              headCost: oldest.costMs,
              pool: oldest.pool,
            },
          ];
    });
    const chosen = this.scheduler.choose(backlogged);
    if (chosen === undefined) return undefined;
    const started = chosen.pool.start(chosen.rankId, nowMs, prefers);
    if (started === undefined) return undefined;
    this.scheduler.charge(chosen, backlogged);
    const {request} = started;
    this.queued.delete(request.requestId);
    this.running.set(request.requestId, {request, startedAtMs: nowMs});
    return started;
  }

  /**
   * Returns, once, the requests that waited too long. They were admitted by a
   * prediction that did not include later arrivals; their slots go to requests
   * that can still meet their target.
   */
  expire(nowMs: number): readonly ExpiredRequest[] {
    this.collectExpired(nowMs);
    const expired = this.expired;
    this.expired = [];
    return expired;
  }

  /**
   * Removes a request whose caller disconnected. A running request keeps its
   * slot until `complete`, because the upstream runs it until it is cancelled.
   */
  remove(requestId: RequestId): Removal {
    if (this.running.has(requestId)) return 'running';
    const request = this.queued.get(requestId);
    if (request === undefined) return 'absent';
    this.queued.delete(requestId);
    this.pool(request.poolId).remove(request);
    return 'queued';
  }

  /** Releases the slot. Returns true only for the first call per start. */
  complete(requestId: RequestId, nowMs: number): boolean {
    const running = this.running.get(requestId);
    if (running === undefined) return false;
    this.running.delete(requestId);
    const {poolId, rankId} = running.request;
    this.pool(poolId).release(rankId, nowMs - running.startedAtMs);
    return true;
  }

  /** Numbers of queued requests and of requests that hold a slot. */
  counts(poolId: PoolId): {queued: number; running: number} {
    const pool = this.pool(poolId);
    return {queued: pool.queuedCount, running: pool.runningCount};
  }

  private collectExpired(nowMs: number): void {
    if (nowMs < this.earliestExpiryMs) return;
    const expired = [...this.pools.values()].flatMap(pool =>
      pool.expire(nowMs).map((request): ExpiredRequest => {
        const isDeadline = request.deadlineAtMs <= nowMs;
        return {
          request,
          cause: isDeadline ? 'deadline' : 'would_be_late',
          retryAfterMs: retryAfterMs(pool.predictWaitMs(request, nowMs)),
        };
      }),
    );
    expired.forEach(({request}) => this.queued.delete(request.requestId));
    this.expired.push(...expired);
    this.earliestExpiryMs = [...this.pools.values()].reduce(
      (least, pool) => Math.min(least, pool.earliestExpiryMs()),
      Infinity,
    );
  }

  private expiryMs(request: AdmissionRequest, nowMs: number): number {
    const rank = this.ranks.find(each => each.rankId === request.rankId);
    if (rank === undefined) return request.deadlineAtMs;
    const lastStartMs =
      firstTokenDueAtMs(request, rank, nowMs) - request.expectedFirstTokenMs;
    return Math.min(
      request.deadlineAtMs,
      Math.max(lastStartMs, nowMs + MIN_QUEUE_MS),
    );
  }

  private exceededLimit(
    request: AdmissionRequest,
  ): AdmissionRejection | undefined {
    const {rankId, workspaceId} = request;
    const queues = [...this.pools.values()].map(pool => pool.queueOf(rankId));
    const inRank = queues.reduce((sum, queue) => sum + queue.size, 0);
    if (inRank >= this.maxPerRank) return 'queue_full';
    const inWorkspace = queues.reduce(
      (sum, queue) => sum + queue.sizeOf(workspaceId),
      0,
    );
    if (inWorkspace >= this.maxPerWorkspace) return 'workspace_bound';
    return undefined;
  }

  private isKnown(requestId: RequestId): boolean {
    return this.queued.has(requestId) || this.running.has(requestId);
  }

  private pool(poolId: PoolId): PoolQueue {
    const known = this.pools.get(poolId);
    if (known !== undefined) return known;
    const created = new PoolQueue(this.ranks, id => this.pools.get(id));
    this.pools.set(poolId, created);
    return created;
  }
}

function firstTokenDueAtMs(
  request: AdmissionRequest,
  rank: AdmissionRank,
  nowMs: number,
): number {
  return request.firstTokenDueAtMs ?? nowMs + rank.firstTokenTargetMs;
}

function retryAfterMs(waitMs: number): number {
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)),
  );
}

function reject(
  cause: AdmissionRejection,
  predictedWaitMs: number,
  waitMs: number,
): AdmissionVerdict {
  return {
    kind: 'refused',
    cause,
    predictedWaitMs,
    retryAfterMs: retryAfterMs(waitMs),
  };
}
