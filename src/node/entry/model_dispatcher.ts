/**
 * Runs a classified model call: quarantine check, choice of the domain,
 * admission, choice of the upstream, and attempts within the retry budget.
 */
import type {ServerResponse} from 'node:http';
import type {ModelUpstream} from '../adapters/upstream/model_upstream.js';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration} from '../config/configuration.js';
import type {RetryBudgets} from '../decisions/retry/retry_budget.js';
import {retryVerdict} from '../decisions/retry/retry_verdict.js';
import type {FleetView} from '../decisions/fleet/fleet_view.js';
import type {PoolId} from '../decisions/fleet/pool.js';
import {
  chooseUpstream,
  hasFreeOwner,
} from '../decisions/routing/choose_upstream.js';
import {
  poolCapacity,
  type PoolCapacity,
} from '../decisions/routing/pool_capacity.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {GatewayError} from '../types/errors.js';
import type {UpstreamId} from '../types/ids.js';
import {recordAnsweredCall} from './accounting.js';
import type {AdmissionGate, Slot} from './admission_gate.js';
import type {CrashGuard} from './crash_guard.js';
import {
  admissionRequestOf,
  modelOf,
  poolOf,
  routeRequestOf,
} from './decision_requests.js';
import type {FleetState} from './fleet_state.js';
import {ModelAttempt, type AttemptResult} from './model_attempt.js';
import type {OffloadTarget, Offloader} from './offloader.js';
import type {ModelRequest} from './request.js';

const STEP = 'entry.dispatch';
/** Timeouts before this share of the deadline do not count against health. */
const MIN_SHARE_OF_DEADLINE = 0.5;

/** Dependencies of the model dispatcher of one instance. */
export interface ModelDispatcherParts {
  readonly fleet: FleetState;
  readonly gate: AdmissionGate;
  readonly upstream: ModelUpstream;
  readonly offloader: Offloader;
  readonly crashGuard: CrashGuard;
  readonly budgets: () => RetryBudgets;
  readonly metrics: MetricsRegistry;
  readonly configuration: () => Configuration;
  readonly random: () => number;
}

/** A request and the HTTP response that its answer is written to. */
interface Exchange {
  readonly request: ModelRequest;
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
  readonly startedAtMs: number;
}

/** Runs model calls in the local domain or offloads them to a remote one. */
export class ModelDispatcher {
  constructor(private readonly parts: ModelDispatcherParts) {
    parts.gate.setSlotSource(() => this.slots());
  }

  /** Runs one call; rejects with a `GatewayError` if it is not answered. */
  async run(
    request: ModelRequest,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const startedAtMs = monotonicNowMs();
    const exchange: Exchange = {request, response, signal, startedAtMs};
    this.parts.crashGuard.check(request.digest);
    if (!request.isForwarded) this.parts.fleet.recordArrival(poolOf(request));
    const choice = this.parts.offloader.choose(request);
    if (choice.kind === 'refused') throw this.residencyError(request);
    if (choice.kind === 'away') {
      const error = await this.offload(exchange, choice);
      if (error === undefined) return;
      if (
        !this.isLocalRegionAllowed(request) ||
        !canFallBackToLocal(error, response)
      ) {
        throw error;
      }
    }
    await this.runLocally(exchange);
  }

  /** Imports upstream losses that the origin of a forwarded call reports. */
  importLosses(request: ModelRequest, lost: readonly UpstreamId[]): void {
    this.parts.crashGuard.importLosses(request.digest, lost);
  }

  /** The capacity of each pool that this instance may use now. */
  private slots(): ReadonlyMap<PoolId, PoolCapacity> {
    const nowMs = monotonicNowMs();
    const view = this.parts.fleet.view(nowMs);
    const poolIds = new Set(view.upstreams.flatMap(each => each.poolIds));
    return new Map(
      [...poolIds].map(poolId => [poolId, poolCapacity(view, poolId, nowMs)]),
    );
  }

  private async runLocally(exchange: Exchange): Promise<void> {
    const {request, response} = exchange;
    if (!this.isLocalRegionAllowed(request)) throw this.residencyError(request);
    try {
      await this.runInSlot(exchange);
    } catch (thrown) {
      const error = thrown as GatewayError;
      if (response.headersSent || !canOffloadAfter(error)) throw error;
      await this.offloadRejected(exchange, error);
    }
  }

  private async runInSlot(exchange: Exchange): Promise<void> {
    const {request, signal} = exchange;
    const {gate, metrics, fleet, configuration} = this.parts;
    const slot = await gate.acquire(
      admissionRequestOf(configuration(), fleet, request),
      signal,
      view => this.isPrefixOwnerFree(request, view),
    );
    try {
      await this.runAttempts(exchange, slot);
    } finally {
      slot.release();
    }
    metrics.recordMs(
      'queue_wait_ms',
      {rank: request.rank.rankId},
      slot.waitedMs,
    );
  }

  // A call that the local domain rejected, or that none of its upstreams
  // answered, may still be offloaded to a remote domain.
  private async offloadRejected(
    exchange: Exchange,
    rejection: GatewayError,
  ): Promise<void> {
    const choice = this.parts.offloader.choose(exchange.request, true);
    if (choice.kind !== 'away') throw errorToReport(rejection);
    const error = await this.offload(exchange, choice);
    if (error === undefined) return;
    throw error.work === 'not_run' ? errorToReport(rejection) : error;
  }

  /** Whether the upstream that owns the call's prefix has a free slot now. */
  private isPrefixOwnerFree(request: ModelRequest, view: FleetView): boolean {
    const leavesReserve = request.rank.priority > 0;
    return hasFreeOwner(
      routeRequestOf(this.parts.configuration(), request, leavesReserve),
      view,
      monotonicNowMs(),
    );
  }

  private async runAttempts(exchange: Exchange, slot: Slot): Promise<void> {
    const {request} = exchange;
    const excluded = new Set<UpstreamId>();
    let failure: GatewayError | undefined;
    this.parts.budgets().recordFirstTry(request.workspace.workspaceId);
    for (let attemptNumber = 1; ; attemptNumber += 1) {
      const avoid = this.parts.crashGuard.check(request.digest);
      const upstreamId = this.choose(
        request,
        new Set([...excluded, ...avoid]),
        slot.leavesReserve,
        failure,
      );
      const result = await this.attempt(
        exchange,
        slot,
        upstreamId,
        attemptNumber,
      );
      if (result.kind === 'answered') {
        recordAnsweredCall(this.parts.metrics, {
          ...result,
          request,
          upstream: this.parts.fleet.findUpstream(upstreamId),
          startedAtMs: exchange.startedAtMs,
        });
        return;
      }
      excluded.add(upstreamId);
      failure = result.error;
      await this.waitForRetry(exchange, result, attemptNumber);
    }
  }

  private choose(
    request: ModelRequest,
    excludedUpstreamIds: ReadonlySet<UpstreamId>,
    leavesReserve: boolean,
    failure: GatewayError | undefined,
  ): UpstreamId {
    const {fleet, configuration, random} = this.parts;
    const nowMs = monotonicNowMs();
    const choice = chooseUpstream(
      {
        ...routeRequestOf(configuration(), request, leavesReserve),
        excludedUpstreamIds,
      },
      fleet.view(nowMs),
      nowMs,
      random,
    );
    if (choice.kind === 'chosen') return choice.upstreamId;
    throw new GatewayError({
      code: 'not_ready',
      message:
        choice.cause === 'not_loaded'
          ? 'no upstream of this domain has the model loaded'
          : 'no further upstream of this domain takes the request',
      step: STEP,
      peer: 'self',
      work: failure?.work ?? 'not_run',
      retryAfterMs: 1_000,
      cause: failure,
    });
  }

  private async attempt(
    exchange: Exchange,
    slot: Slot,
    upstreamId: UpstreamId,
    attemptNumber: number,
  ): Promise<AttemptResult> {
    const {fleet, crashGuard, upstream, metrics, configuration} = this.parts;
    const {request, response, signal} = exchange;
    const {policy} = configuration();
    const address = fleet.findUpstream(upstreamId)?.address ?? '';
    const startedAtMs = monotonicNowMs();
    const rank = request.rank.rankId;
    fleet.recordStart(upstreamId);
    slot.enterUpstream();
    crashGuard.recordStart(upstreamId, request.requestId, request.digest);
    const result = await new ModelAttempt({
      upstream,
      peer: {upstreamId, address},
      request,
      attemptNumber,
      deadlines: policy,
      response,
      signal,
      onPieceGap: metrics.recorder('between_tokens_ms', {rank}),
    }).run();
    const isAnswered = result.kind === 'answered';
    const serviceMs = isAnswered ? monotonicNowMs() - startedAtMs : undefined;
    fleet.recordEnd(upstreamId, serviceMs);
    slot.leaveUpstream();
    if (isAnswered && request.isStream) {
      fleet.recordFirstToken(
        poolOf(request),
        result.firstByteAtMs - startedAtMs,
      );
    }
    const attemptMs = monotonicNowMs() - startedAtMs;
    this.recordHealth(request, upstreamId, result, attemptMs);
    crashGuard.recordEnd(
      upstreamId,
      request.requestId,
      request.digest,
      isAnswered,
    );
    return result;
  }

  private recordHealth(
    request: ModelRequest,
    upstreamId: UpstreamId,
    result: AttemptResult,
    attemptMs: number,
  ): void {
    const {fleet, crashGuard, metrics} = this.parts;
    const nowMs = monotonicNowMs();
    if (result.kind === 'answered') {
      fleet.health.recordSuccess(upstreamId);
      return;
    }
    const {code} = result.error;
    metrics.count('tries_failed_total', {upstream: upstreamId, code});
    if (isCallerError(result.error)) return;
    // Missing a short deadline of the caller says nothing about the upstream.
    const hadEnoughTime =
      attemptMs >= request.workload.deadlineMs * MIN_SHARE_OF_DEADLINE;
    if (code === 'timeout' && !hadEnoughTime) return;
    if (code === 'upstream_refused') {
      fleet.health.markLeaving(upstreamId, 'refusal', nowMs);
      return;
    }
    if (code === 'unreachable') {
      fleet.health.recordUnreachable(upstreamId, nowMs);
    } else fleet.health.recordFailure(upstreamId, nowMs);
    if (result.isUpstreamLost) {
      crashGuard.recordLoss(upstreamId, request.digest);
    }
  }

  private async waitForRetry(
    exchange: Exchange,
    failed: Extract<AttemptResult, {kind: 'failed'}>,
    tryCount: number,
  ): Promise<void> {
    const {request} = exchange;
    const {metrics, random} = this.parts;
    const budgets = this.parts.budgets();
    const {workspaceId} = request.workspace;
    if (isCallerError(failed.error)) throw failed.error;
    // A rejection before the work ran costs the upstream nothing, so the retry
    // does not spend the budget.
    const isFree = failed.error.work === 'not_run';
    const verdict = retryVerdict(
      {
        isIdempotent: true,
        tryCount,
        relayedBytes: failed.relayedBytes,
        canResume: false,
        deadlineAtMs: request.deadlineAtMs,
        expectedMs:
          modelOf(this.parts.configuration(), request)?.prefillMs ?? 0,
        hasBudget: isFree || budgets.canSpend(workspaceId),
      },
      monotonicNowMs(),
      random,
    );
    if (verdict.kind === 'give_up') throw failed.error;
    if (!isFree) {
      budgets.trySpend(workspaceId);
      metrics.count('retries_total', {rank: request.rank.rankId});
    }
    await new Promise(resolve => setTimeout(resolve, verdict.delayMs));
  }

  private offload(
    exchange: Exchange,
    choice: OffloadTarget,
  ): Promise<GatewayError | undefined> {
    const {request, response, signal, startedAtMs} = exchange;
    const {offloader} = this.parts;
    return offloader.send(request, choice, startedAtMs, response, signal);
  }

  private isLocalRegionAllowed(request: ModelRequest): boolean {
    const {regionId} = this.parts.fleet.identity;
    return request.workspace.allowedRegionIds.includes(regionId);
  }

  private residencyError(request: ModelRequest): GatewayError {
    return new GatewayError({
      code: 'residency',
      message: `the data of workspace ${request.workspace.workspaceId} may not be served in this region, and no allowed domain is reachable`,
      step: STEP,
      peer: 'self',
      work: 'not_run',
    });
  }
}

function canOffloadAfter(error: GatewayError): boolean {
  const isLocal = [
    'overloaded',
    'not_ready',
    'unreachable',
    'upstream_refused',
  ];
  // A model call is idempotent, so it may run elsewhere after a failed attempt.
  if (error.code === 'not_ready') return true;
  return error.work === 'not_run' && isLocal.includes(error.code);
}

// A request that one domain has quarantined must not run in any other.
function canFallBackToLocal(
  error: GatewayError,
  response: ServerResponse,
): boolean {
  const isFinal = isCallerError(error) || error.code === 'quarantined';
  return !isFinal && !response.headersSent;
}

/** Whether the cause is the caller, so that every upstream would fail alike. */
function isCallerError(error: GatewayError): boolean {
  return ['cancelled', 'bad_request', 'too_large'].includes(error.code);
}

// When no upstream is left for a retry, the caller gets the error of the
// attempt that may have run, not the rejection of the retry that did not run.
function errorToReport(rejection: GatewayError): GatewayError {
  const {cause} = rejection;
  return cause instanceof GatewayError && cause.work !== 'not_run'
    ? cause
    : rejection;
}
