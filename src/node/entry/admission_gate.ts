/**
 * The actor that owns the admission queue of this instance. Requests wait in
 * it for a slot; each slot is given back exactly once.
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

/** How often deadlines in the queue are checked. */
const EXPIRY_INTERVAL_MS = 50;
const STEP = 'entry.admission';

/** A slot that a request holds until it calls `release`. */
export interface Slot {
  readonly waitedMs: number;
  /** Whether the request must leave the reserved slots free. */
  readonly leavesReserve: boolean;
  /** The request is at an upstream, whose load counts it from now on. */
  enterUpstream(): void;
  /** A try ended; the request still holds its slot. */
  leaveUpstream(): void;
  release(): void;
}

interface Waiter {
  readonly resolve: (slot: Slot) => void;
  readonly reject: (error: GatewayError) => void;
  /** Whether it would find its prefix cached if it started now. */
  readonly prefersNow: Prefers;
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
  /** Requests that hold a slot and are at no upstream now. */
  readonly betweenUpstreams: Map<PoolId, number>;
}

/** What this instance may use of each pool by the load of its upstreams. */
export type SlotSource = () => ReadonlyMap<PoolId, PoolSlots>;

/** Whether a request would find its prefix cached if it started now. */
export type Prefers = (view: FleetView) => boolean;

/** Callbacks for counters. */
export interface GateObserver {
  onRefused(request: AdmissionRequest, cause: string): void;
}

/** Admission to the pools of this instance's domain. */
export class AdmissionGate {
  private readonly actor: Ref<GateMessage>;
  private readonly state: GateState;
  private readonly timer: NodeJS.Timeout;
  private source: SlotSource = () => new Map();

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
      betweenUpstreams: new Map(),
    };
    this.actor = spawn(
      system,
      (state: GateState, message: GateMessage) => this.receive(state, message),
      'admission',
      {
        initialState: this.state,
        // One bad message must not lose the requests that wait.
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
   * Waits for a slot. Among requests that are nearly due, one that `prefersNow`
   * names goes first. Rejects with `overloaded`, `timeout` or `cancelled`.
   */
  acquire(
    request: AdmissionRequest,
    signal: AbortSignal,
    prefersNow: Prefers = () => false,
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
      const waiter: Waiter = {resolve, reject, prefersNow};
      dispatch(this.actor, {kind: 'acquire', request, waiter});
    });
  }

  /** Sets where the slots of the pools are read. */
  setSource(source: SlotSource): void {
    this.source = source;
  }

  /** Reads the slots again, in turn with starts and releases. */
  refreshSlots(): void {
    dispatch(this.actor, {kind: 'slots'});
  }

  /** Replaces ranks and bounds; requests that run keep their slots. */
  configure(options: AdmissionOptions): void {
    dispatch(this.actor, {kind: 'configure', options});
  }

  /** What `acquire` would decide now. */
  preview(request: AdmissionRequest): AdmissionVerdict {
    return this.state.queue.preview(request, monotonicNowMs());
  }

  /** Time until all requests of a rank that wait now have started. */
  backlogMs(poolId: PoolId, rankId: RankId): number {
    return this.state.queue.backlogMs(poolId, rankId, monotonicNowMs());
  }

  /** Requests that wait and that run. */
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
        this.leave(state, message.requestId);
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
      this.observer.onRefused(request, verdict.cause);
      waiter.reject(this.refusal(verdict));
      return;
    }
    state.waiters.set(request.requestId, waiter);
  }

  private leave(state: GateState, requestId: RequestId): void {
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

  // The requests that wait in the old queue are refused with a short retry
  // time: ranks and bounds change a few times a day, and a refused request
  // did not run.
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

  // The load of the upstreams does not show the requests that have a slot but
  // are not at an upstream: those that were started a moment ago, or that wait
  // for another try. Without them each free slot would be given away twice.
  private readSlots(state: GateState): void {
    this.source().forEach((slots, poolId) => {
      const unseen = [poolId, ...slots.sharedPoolIds]
        .map(each => state.betweenUpstreams.get(each) ?? 0)
        .reduce((sum, count) => sum + count, 0);
      state.queue.setSlots(poolId, {
        ...slots,
        startableSlots: slots.startableSlots - unseen,
        startableBesideReserve: slots.startableBesideReserve - unseen,
      });
    });
  }

  private expire(state: GateState, nowMs: number): void {
    state.queue.expire(nowMs).forEach(({request, cause, retryAfterMs}) => {
      this.observer.onRefused(request, cause);
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
      // One view serves all requests that wait; most starts need none.
      let view: FleetView | undefined;
      return state.queue.next(nowMs, request => {
        view ??= this.fleetView();
        const waiter = state.waiters.get(request.requestId);
        return waiter?.prefersNow(view) ?? false;
      });
    };
    for (let started = next(); started !== undefined; started = next()) {
      const {requestId} = started.request;
      const waiter = state.waiters.get(requestId);
      state.waiters.delete(requestId);
      if (waiter === undefined) {
        state.queue.complete(requestId, nowMs);
      } else {
        waiter.resolve(this.slot(started));
      }
    }
  }

  private slot({request, waitedMs, leavesReserve}: StartedRequest): Slot {
    const {requestId, poolId} = request;
    const {betweenUpstreams} = this.state;
    const change = (difference: number): void => {
      const count = (betweenUpstreams.get(poolId) ?? 0) + difference;
      betweenUpstreams.set(poolId, count);
    };
    change(1);
    return {
      waitedMs,
      leavesReserve,
      enterUpstream: () => change(-1),
      leaveUpstream: () => change(1),
      release: () => {
        change(-1);
        dispatch(this.actor, {kind: 'release', requestId});
      },
    };
  }

  private refusal(
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
