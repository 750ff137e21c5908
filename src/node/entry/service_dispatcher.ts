/**
 * Serves calls to plain services. A non-idempotent call runs in the home domain
 * of its workspace, where its record is kept. An idempotent one runs in this
 * domain if it offers the service and residency allows it, else at home.
 */
import type {ServerResponse} from 'node:http';
import type {
  ServiceTarget,
  ServiceUpstream,
} from '../adapters/upstream/plain_service.js';
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import type {Configuration} from '../config/configuration.js';
import {poolOfService} from '../decisions/fleet/pool.js';
import {chooseUpstream} from '../decisions/routing/choose_upstream.js';
import type {MembershipView} from '../membership/membership_view.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {createIdempotencyKey} from '../records/idempotency_key.js';
import {GatewayError} from '../types/errors.js';
import type {DomainId, UpstreamId} from '../types/ids.js';
import {REQUEST_ID_HEADER, WORK_HEADER} from './answers.js';
import type {EntryIdentity, FleetState} from './fleet_state.js';
import {serviceEnvelope, type Forwarder} from './forwarding.js';
import {runIdempotentCall, type RetryBudget} from './idempotent_call.js';
import {unknownIfUsed} from './unknown_outcome.js';
import type {RecordedCallRunner} from './recorded_call.js';
import type {ServiceRequest} from './request.js';
import type {
  ServiceCall,
  ServiceCallAnswer,
  ServiceTargetPicker,
} from './service_call.js';

const STEP = 'entry.service';
/** Timeout of one try of an idempotent call on one upstream. */
const TRY_TIMEOUT_MS = 2_000;

/** Dependencies of a `ServiceDispatcher`. */
export interface ServiceDispatcherParts {
  readonly identity: EntryIdentity;
  readonly fleet: FleetState;
  readonly upstream: ServiceUpstream;
  readonly forwarder: Forwarder;
  readonly membership: MembershipView;
  readonly recorded: RecordedCallRunner;
  readonly budget: RetryBudget;
  readonly metrics: MetricsRegistry;
  readonly configuration: () => Configuration;
  readonly random: () => number;
}

/** Runs service calls in this domain or forwards them to the home domain. */
export class ServiceDispatcher {
  constructor(private readonly parts: ServiceDispatcherParts) {}

  /**
   * Runs one call; rejects with a `GatewayError` if it has no answer.
   * `isFreshKey` is set if another entry generated the key of a forwarded call.
   */
  async run(
    request: ServiceRequest,
    response: ServerResponse,
    signal: AbortSignal,
    isFreshKey = false,
  ): Promise<void> {
    const domainId = this.domainFor(request);
    if (domainId !== this.parts.identity.domainId) {
      await this.forwardTo(domainId, request, response, signal);
      return;
    }
    if (!this.mayRunHere(request)) throw residencyError(request);
    const answer = request.workload.idempotent
      ? await this.runIdempotent(request)
      : await this.runRecorded(request, isFreshKey);
    sendAnswer(response, request, answer);
  }

  private domainFor(request: ServiceRequest): DomainId {
    const {homeDomainId} = request.workspace;
    if (request.isForwarded) return this.parts.identity.domainId;
    if (!request.workload.idempotent) return homeDomainId;
    return this.mayRunHere(request) && this.hasLocalService(request)
      ? this.parts.identity.domainId
      : homeDomainId;
  }

  private async runIdempotent(
    request: ServiceRequest,
  ): Promise<ServiceCallAnswer> {
    const {upstream, budget} = this.parts;
    const result = await runIdempotentCall(
      this.toServiceCall(request),
      this.targetPicker(request),
      {upstream, budget, tryTimeoutMs: TRY_TIMEOUT_MS},
    );
    if (result.isErr()) throw result.error;
    return result.value;
  }

  private async runRecorded(
    request: ServiceRequest,
    isFreshKey: boolean,
  ): Promise<ServiceCallAnswer> {
    if (request.isForwarded && this.isHomeElsewhere(request)) {
      const error = new GatewayError({
        code: 'not_ready',
        message: 'this domain is not the home of the workspace',
        step: STEP,
        peer: 'self',
        work: 'not_run',
        retryAfterMs: 1_000,
      });
      throw unknownIfUsed({fresh: isFreshKey}, error);
    }
    const result = await this.parts.recorded.run(
      {
        ...this.toServiceCall(request),
        ...(request.idempotencyKey === undefined
          ? {}
          : {idempotencyKey: request.idempotencyKey}),
        isFreshKey,
      },
      this.targetPicker(request),
    );
    if (result.isErr()) throw result.error;
    return result.value;
  }

  private toServiceCall(request: ServiceRequest): ServiceCall {
    const headers: Record<string, string> = {
      'x-request-id': request.requestId,
    };
    if (request.contentType !== '') {
      headers['content-type'] = request.contentType;
    }
    if (request.idempotencyKey !== undefined) {
      headers['idempotency-key'] = request.idempotencyKey;
    }
    return {
      workspaceId: request.workspace.workspaceId,
      request: {
        method: request.method,
        path: request.path,
        headers,
        body: request.body,
      },
      deadlineAtMs: request.deadlineAtMs,
    };
  }

  private targetPicker(request: ServiceRequest): ServiceTargetPicker {
    const {fleet, random} = this.parts;
    const serviceName = request.workload.serviceName ?? '';
    return (excluded: ReadonlySet<UpstreamId>): ServiceTarget | undefined => {
      const nowMs = monotonicNowMs();
      const choice = chooseUpstream(
        {
          poolId: poolOfService(serviceName),
          prefixSavedMs: 0,
          leavesReserve: false,
          excludedUpstreamIds: excluded,
        },
        fleet.view(nowMs),
        nowMs,
        random,
      );
      if (choice.kind !== 'chosen') return undefined;
      const upstream = fleet.findUpstream(choice.upstreamId);
      return upstream === undefined
        ? undefined
        : {upstreamId: upstream.upstreamId, address: upstream.address};
    };
  }

  // After a failure the call may be sent to another entry of the home domain,
  // because its record there ensures that it runs at most once. That requires a
  // key, so one is generated here for a call without it.
  private async forwardTo(
    domainId: DomainId,
    request: ServiceRequest,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const isFreshKey = request.idempotencyKey === undefined;
    const keyedRequest: ServiceRequest = {
      ...request,
      idempotencyKey:
        request.idempotencyKey ?? createIdempotencyKey(wallNowMs()),
    };
    let lastError: GatewayError | undefined;
    for (const address of this.entryAddressesOf(domainId)) {
      const nowMs = monotonicNowMs();
      if (nowMs >= request.deadlineAtMs) break;
      this.parts.metrics.count('forwarded_total', {domain: domainId});
      try {
        // The key is no longer fresh after a try whose outcome is unknown.
        const isUnused = isFreshKey && lastError?.work !== 'unknown';
        const envelope = serviceEnvelope(keyedRequest, isUnused, nowMs);
        const {policy} = this.parts.configuration();
        await this.parts.forwarder.forward(
          address,
          envelope,
          response,
          signal,
          policy,
        );
        return;
      } catch (thrown) {
        const error = thrown as GatewayError;
        if (response.headersSent || !mayTryNextEntry(error)) throw error;
        const replacesLast =
          lastError?.work !== 'unknown' || error.work === 'unknown';
        lastError = replacesLast ? error : lastError;
      }
    }
    throw this.homeUnreachableError(request, isFreshKey, lastError);
  }

  private entryAddressesOf(domainId: DomainId): readonly string[] {
    const summary = this.parts.membership
      .domainSummaries()
      .find(each => each.domainId === domainId);
    const listed = (summary?.entries ?? []).map(each => each.innerAddress);
    const configured = this.parts
      .configuration()
      .instances.filter(each => each.domainId === domainId)
      .map(each => each.innerAddress);
    const addresses = [...new Set([...listed, ...configured])];
    const start = Math.floor(this.parts.random() * addresses.length);
    return [...addresses.slice(start), ...addresses.slice(0, start)];
  }

  // This entry cannot know whether a call ran before under a caller's own key.
  // A key generated here is unknown at home unless a try may have delivered it.
  private homeUnreachableError(
    request: ServiceRequest,
    isFreshKey: boolean,
    lastError: GatewayError | undefined,
  ): GatewayError {
    const {workload, workspace} = request;
    const mayHaveRun =
      !workload.idempotent && (!isFreshKey || lastError?.work === 'unknown');
    return new GatewayError({
      code: mayHaveRun ? 'outcome_unknown' : 'unreachable',
      message: `the home domain ${workspace.homeDomainId} cannot be reached from here; try an entry of region ${workspace.homeRegionId}`,
      step: STEP,
      peer: workspace.homeDomainId,
      work: mayHaveRun ? 'unknown' : 'not_run',
      retryAfterMs: 1_000,
      cause: lastError,
    });
  }

  private isHomeElsewhere(request: ServiceRequest): boolean {
    return request.workspace.homeDomainId !== this.parts.identity.domainId;
  }

  private mayRunHere(request: ServiceRequest): boolean {
    return request.workspace.allowedRegionIds.includes(
      this.parts.identity.regionId,
    );
  }

  private hasLocalService(request: ServiceRequest): boolean {
    return this.parts.fleet
      .localUpstreams()
      .some(each => each.serviceName === request.workload.serviceName);
  }
}

function sendAnswer(
  response: ServerResponse,
  request: ServiceRequest,
  {answer}: ServiceCallAnswer,
): void {
  if (response.destroyed) return;
  Object.entries(answer.headers).forEach(([name, value]) =>
    response.setHeader(name, value),
  );
  response.setHeader(REQUEST_ID_HEADER, request.requestId);
  response.setHeader(WORK_HEADER, 'ran');
  response.setHeader('content-length', String(answer.body.length));
  response.writeHead(answer.status);
  response.end(answer.body);
}

function residencyError(request: ServiceRequest): GatewayError {
  return new GatewayError({
    code: 'residency',
    message: `the data of workspace ${request.workspace.workspaceId} may not be served in this region`,
    step: STEP,
    peer: 'self',
    work: 'not_run',
  });
}

/** Whether the entry was unreachable or not ready, so that the next is tried. */
function mayTryNextEntry(error: GatewayError): boolean {
  const isRefusedByEntry =
    error.code === 'not_ready' && error.step === 'entry.forwarded';
  return error.code === 'unreachable' || isRefusedByEntry;
}
