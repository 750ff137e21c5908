/**
 * The actor that owns the admission queue of this instance. Requests wait in
 * the queue for a slot; each slot is released exactly once.
 */
import {dispatch, spawn, type ActorSystemRef, type Ref} from 'nact';
import {monotonicNowMs} from '../clock/clock.js';
import {AdmissionQueue} from '../decisions/admission/admission_queue.js';
import type {PoolSlots} from '../decisions/admission/pool_queue.js';
import type {
  AdmissionOptions,
  AdmissionRejection,
  AdmissionRequest,
  AdmissionVerdict,
  StartedRequest,
} from '../decisions/admission/types.js';
import type {FleetView} from '../decisions/fleet/fleet_view.js';
import type {PoolId} from '../decisions/fleet/pool.js';
import {GatewayError} from '../types/errors.js';
import type {RankId, RequestId} from '../types/ids.js';

/** Interval at which queued requests are checked for passed deadlines. */
const EXPIRY_INTERVAL_MS = 50;
const STEP = 'entry.admission';

/** A slot that a request holds until it calls `release`. */
export interface Slot {
  readonly waitedMs: number;
  /** Whether the request must leave the reserved slots free. */
  readonly leavesReserve: boolean;
  /** An attempt starts: the load of its upstream includes it from now on. */
  enterUpstream(): void;
  /** An attempt ended; the request still holds its slot. */
  leaveUpstream(): void;
  release(): void;
}

interface Waiter {
  readonly resolve: (slot: Slot) => void;
  readonly reject: (error: GatewayError) => void;
  readonly isPrefixCached: PrefixCheck;
}

type GateMessage =
  | {
      readonly kind: 'acquire';
      readonly request: AdmissionRequest;
      readonly waiter: Waiter;
    }
  | {readonly kind: 'leave'; readonly requestId: RequestId}
  | {readonly kind: 'release'; readonly requestId: RequestId}
  | {readonly kind: 'slots'}
  | {readonly kind: 'configure'; readonly options: AdmissionOptions}
  | {readonly kind: 'tick'};

interface GateState {
  queue: AdmissionQueue;
  /** Queues of earlier options, until their last request has ended. */
  readonly retired: AdmissionQueue[];
  readonly waiters: Map<RequestId, Waiter>;
  /** Number of requests per pool that hold a slot but are at no upstream. */
  readonly unassignedCounts: Map<PoolId, number>;
}

/** Reads the slots that this instance may use in each pool. */
export type SlotSource = () => ReadonlyMap<PoolId, PoolSlots>;

/** Whether a request would find its prefix cached if it started now. */
export type PrefixCheck = (view: FleetView) => boolean;

/** Callbacks for metrics. */
export interface GateObserver {
  onRejected(request: AdmissionRequest, cause: string): void;
}

/** Controls admission to the pools of this instance's domain. */
export class AdmissionGate {
  private readonly actor: Ref<GateMessage>;
  private readonly state: GateState;
  private readonly timer: NodeJS.Timeout;
  private slotSource: SlotSource = () => new Map();

  constructor(
    system: ActorSystemRef,
    options: AdmissionOptions,
    private readonly observer: GateObserver,
    private readonly fleetView: () => FleetView,
  ) {
    this.state = {
      queue: new AdmissionQueue(options),
      retired: [],
      waiters: new Map(),
      unassignedCounts: new Map(),
    };
    this.actor = spawn(
      system,
      (state: GateState, message: GateMessage) => this.receive(state, message),
      'admission',
      {
        initialState: this.state,
        // A message that throws must not lose the queued requests.
        onCrash: (_message, _error, context) => context.resume,
      },
    );
    this.timer = setInterval(
      () => dispatch(this.actor, {kind: 'tick'}),
      EXPIRY_INTERVAL_MS,
    );
    this.timer.unref();
  }

  /**
   * Waits for a slot. Among requests that are nearly due, one for which
   * `isPrefixCached` returns true goes first. Rejects with `overloaded`,
   * `timeout` or `cancelled`.
   */
  acquire(
    request: AdmissionRequest,
    signal: AbortSignal,
    isPrefixCached: PrefixCheck = () => false,
  ): Promise<Slot> {
    return new Promise((resolve, reject) => {
      if (signal.aborted) {
        reject(this.error('cancelled', 'the caller left'));
        return;
      }
      const {requestId} = request;
      signal.addEventListener(
        'abort',
        () => dispatch(this.actor, {kind: 'leave', requestId}),
        {once: true},
      );
      const waiter: Waiter = {resolve, reject, isPrefixCached};
      dispatch(this.actor, {kind: 'acquire', request, waiter});
    });
  }

  /** Sets the function that reads the slots of the pools. */
  setSlotSource(source: SlotSource): void {
    this.slotSource = source;
  }

  /** Queues a re-read of the slots, in order with starts and releases. */
  refreshSlots(): void {
    dispatch(this.actor, {kind: 'slots'});
  }

  /** Replaces ranks and limits; running requests keep their slots. */
  configure(options: AdmissionOptions): void {
    dispatch(this.actor, {kind: 'configure', options});
  }

  /** The verdict that `acquire` would reach now, without queueing. */
  preview(request: AdmissionRequest): AdmissionVerdict {
    return this.state.queue.preview(request, monotonicNowMs());
  }

  /** Predicted time until all queued requests of a rank have started. */
  backlogMs(poolId: PoolId, rankId: RankId): number {
    return this.state.queue.backlogMs(poolId, rankId, monotonicNowMs());
  }

  /** Numbers of queued and of running requests. */
  counts(poolId: PoolId): {queued: number; running: number} {
    return this.state.queue.counts(poolId);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private receive(state: GateState, message: GateMessage): GateState {
    const nowMs = monotonicNowMs();
    switch (message.kind) {
      case 'acquire':
        this.enqueue(state, message.request, message.waiter, nowMs);
        break;
      case 'leave':
        this.cancelWaiting(state, message.requestId);
        break;
      case 'release':
        this.release(state, message.requestId, nowMs);
        this.readSlots(state);
        break;
      case 'slots':
        this.readSlots(state);
        break;
      case 'configure':
        this.replaceQueue(state, message.options);
        break;
      case 'tick':
        break;
    }
    this.expire(state, nowMs);
    this.startAll(state, nowMs);
    return state;
  }

  private enqueue(
    state: GateState,
    request: AdmissionRequest,
    waiter: Waiter,
    nowMs: number,
  ): void {
    const verdict = state.queue.enqueue(request, nowMs);
    if (verdict.kind === 'refused') {
      this.observer.onRejected(request, verdict.cause);
      waiter.reject(this.rejectionError(verdict));
      return;
    }
    state.waiters.set(request.requestId, waiter);
  }

  private cancelWaiting(state: GateState, requestId: RequestId): void {
    const waiter = state.waiters.get(requestId);
    if (waiter === undefined) return;
    [state.queue, ...state.retired].forEach(queue => queue.remove(requestId));
    state.waiters.delete(requestId);
    waiter.reject(this.error('cancelled', 'the caller left the queue'));
  }

  private release(state: GateState, requestId: RequestId, nowMs: number): void {
    [state.queue, ...state.retired].some(queue =>
      queue.complete(requestId, nowMs),
    );
  }

  // Requests in the old queue are rejected with a short retry time. Ranks and
  // limits change only a few times a day, and a rejected request did not run,
  // so retrying it is safe.
  private replaceQueue(state: GateState, options: AdmissionOptions): void {
    const queue = new AdmissionQueue(options);
    state.waiters.forEach((waiter, requestId) => {
      state.queue.remove(requestId);
      waiter.reject(this.error('overloaded', 'the queue was reconfigured', 1));
    });
    state.waiters.clear();
    state.retired.splice(0, state.retired.length, state.queue);
    state.queue = queue;
    this.readSlots(state);
  }

  // The load of the upstreams does not include requests that hold a slot but
  // are at no upstream: those admitted a moment ago and those waiting for a
  // retry. Without subtracting them, a free slot would be assigned twice.
  private readSlots(state: GateState): void {
    this.slotSource().forEach((slots, poolId) => {
      const uncounted = [poolId, ...slots.sharedPoolIds]
        .map(each => state.unassignedCounts.get(each) ?? 0)
        .reduce((sum, count) => sum + count, 0);
      state.queue.setSlots(poolId, {
        ...slots,
        startableSlots: slots.startableSlots - uncounted,
        startableBesideReserve: slots.startableBesideReserve - uncounted,
      });
    });
  }

  private expire(state: GateState, nowMs: number): void {
    state.queue.expire(nowMs).forEach(({request, cause, retryAfterMs}) => {
      this.observer.onRejected(request, cause);
      const waiter = state.waiters.get(request.requestId);
      state.waiters.delete(request.requestId);
      waiter?.reject(
        cause === 'deadline'
          ? this.error('timeout', 'the deadline passed in the queue')
          : this.error(
              'overloaded',
              'the wait became longer than the target of its rank',
              retryAfterMs,
            ),
      );
    });
  }

  private startAll(state: GateState, nowMs: number): void {
    const next = (): StartedRequest | undefined => {
      // Created at most once per call: most starts do not need the view.
      let view: FleetView | undefined;
      return state.queue.next(nowMs, request => {
        view ??= this.fleetView();
        const waiter = state.waiters.get(request.requestId);
        return waiter?.isPrefixCached(view) ?? false;
      });
    };
    for (let started = next(); started !== undefined; started = next()) {
      const {requestId} = started.request;
      const waiter = state.waiters.get(requestId);
      state.waiters.delete(requestId);
      if (waiter === undefined) {
        state.queue.complete(requestId, nowMs);
      } else {
        waiter.resolve(this.createSlot(started));
      }
    }
  }

  private createSlot({request, waitedMs, leavesReserve}: StartedRequest): Slot {
    const {requestId, poolId} = request;
    const {unassignedCounts} = this.state;
    const adjustCount = (difference: number): void => {
      const count = (unassignedCounts.get(poolId) ?? 0) + difference;
      unassignedCounts.set(poolId, count);
    };
    adjustCount(1);
    return {
      waitedMs,
      leavesReserve,
      enterUpstream: () => adjustCount(-1),
      leaveUpstream: () => adjustCount(1),
      release: () => {
        adjustCount(-1);
        dispatch(this.actor, {kind: 'release', requestId});
      },
    };
  }

  private rejectionError(
    verdict: Extract<AdmissionVerdict, {kind: 'refused'}>,
  ): GatewayError {
    const messages: Readonly<Record<AdmissionRejection, string>> = {
      would_be_late: `the predicted wait of ${Math.round(verdict.predictedWaitMs)} ms is above the target of its rank`,
      queue_full: 'the queue of its rank is full',
      workspace_bound: 'the workspace has too many requests in the queue',
      no_capacity: 'no upstream of this domain takes such work now',
      unknown_rank: 'the rank is not configured',
      duplicate: 'the request is already known here',
    };
    return this.error(
      'overloaded',
      messages[verdict.cause],
      verdict.retryAfterMs,
    );
  }

  private error(
    code: 'overloaded' | 'timeout' | 'cancelled',
    message: string,
    retryAfterMs?: number,
  ): GatewayError {
    return new GatewayError({
      code,
      message,
      step: STEP,
      peer: 'self',
      work: 'not_run',
      ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
    });
  }
}
