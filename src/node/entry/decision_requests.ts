/** Builds the admission, routing and offload requests of a model call. */
import type {Configuration, ModelConfig} from '../config/configuration.js';
import type {
  AdmissionRequest,
  AdmissionVerdict,
} from '../decisions/admission/types.js';
import type {FleetView} from '../decisions/fleet/fleet_view.js';
import {poolOfModel, type PoolId} from '../decisions/fleet/pool.js';
import {latencyScale} from '../decisions/offload/choose_domain.js';
import type {OffloadRequest} from '../decisions/offload/types.js';
import type {RouteRequest} from '../decisions/routing/choose_upstream.js';
import {poolCapacity} from '../decisions/routing/pool_capacity.js';
import type {ModelId} from '../types/ids.js';
import type {FleetState} from './fleet_state.js';
import type {ModelRequest} from './request.js';

/** Bytes of one streamed token, including its event framing. */
const BYTES_PER_TOKEN = 180;
const TOKENS_PER_COST_UNIT = 1_000;
/** Share of the prefill time that a cached prompt prefix saves. */
const PREFIX_SAVED_SHARE = 0.75;

/** The pool of the upstreams that may run a model call. */
export function poolOf(request: ModelRequest): PoolId {
  return poolOfModel(request.workload.modelId ?? ('' as ModelId));
}

/** The configuration of a request's model. */
export function modelOf(
  configuration: Configuration,
  request: ModelRequest,
): ModelConfig | undefined {
  return configuration.models.find(
    model => model.modelId === request.workload.modelId,
  );
}

/** Prefill time that a cached prompt prefix saves. */
export function prefixSavedMs(model: ModelConfig | undefined): number {
  return (model?.prefillMs ?? 0) * PREFIX_SAVED_SHARE;
}

/** The admission request for a model call. */
export function admissionRequestOf(
  configuration: Configuration,
  fleet: FleetState,
  request: ModelRequest,
): AdmissionRequest {
  const model = modelOf(configuration, request);
  return {
    requestId: request.requestId,
    workspaceId: request.workspace.workspaceId,
    poolId: poolOf(request),
    rankId: request.rank.rankId,
    fairWeight: request.workspace.fairWeight,
    deadlineAtMs: request.deadlineAtMs,
    firstTokenDueAtMs: request.firstTokenDueAtMs,
    expectedFirstTokenMs:
      fleet.firstTokenMs(poolOf(request)) ?? model?.prefillMs ?? 0,
  };
}

/** The routing request for a model call, with no upstream excluded. */
export function routeRequestOf(
  configuration: Configuration,
  request: ModelRequest,
  leavesReserve: boolean,
): RouteRequest {
  return {
    poolId: poolOf(request),
    prefixDigest: request.prefixDigest,
    prefixSavedMs: prefixSavedMs(modelOf(configuration, request)),
    leavesReserve,
    excludedUpstreamIds: new Set(),
  };
}

/** A model call and the local state on which its offload decision depends. */
export interface OffloadInputs {
  readonly request: ModelRequest;
  readonly configuration: Configuration;
  readonly view: FleetView;
  readonly preview: AdmissionVerdict;
  readonly backlogMs: number;
  /** Mean time from slot grant to first token, if any was measured. */
  readonly firstTokenMs: number | undefined;
  readonly wasAway: boolean;
  readonly nowMs: number;
}

/** The offload request for a model call. */
export function offloadRequestOf(inputs: OffloadInputs): OffloadRequest {
  const {request, configuration, view, preview, nowMs} = inputs;
  const model = modelOf(configuration, request);
  const poolId = poolOf(request);
  const local = poolCapacity(view, poolId, nowMs);
  const hasCapacity =
    preview.kind === 'queued' || preview.cause !== 'no_capacity';
  const mostUrgentTargetMs = Math.min(
    ...configuration.ranks.map(rank => rank.firstTokenTargetMs),
  );
  const {firstTokenTargetMs} = request.rank;
  return {
    poolId,
    rankId: request.rank.rankId,
    homeRegionId: request.workspace.homeRegionId,
    allowedRegionIds: request.workspace.allowedRegionIds,
    isForwarded: request.isForwarded,
    requestBytes: request.body.length,
    answerBytes: request.expectedTokens * BYTES_PER_TOKEN,
    costUnits: request.expectedTokens / TOKENS_PER_COST_UNIT,
    prefixSavedMs: prefixSavedMs(model),
    latencyScale: latencyScale(mostUrgentTargetMs, firstTokenTargetMs),
    revenueMicros: request.rank.revenuePerJobMicros,
    allowedDelayMs:
      firstTokenTargetMs - (inputs.firstTokenMs ?? model?.prefillMs ?? 0),
    localWaitMs: hasCapacity ? preview.predictedWaitMs : Infinity,
    localBacklogMs: hasCapacity ? inputs.backlogMs : Infinity,
    localFillShare: 1 - local.freeSlots / Math.max(1, local.slotCount),
    localMeanServiceMs: local.meanServiceMs,
    localCostMicros: local.costMicros,
    isRejectedLocally: preview.kind === 'refused',
    wasAway: inputs.wasAway,
  };
}
