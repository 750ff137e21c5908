/**
 * Connects the listeners of one instance to its dispatchers: it runs requests
 * from callers and requests that other domains forward here.
 */
import type {ServerResponse} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration, WorkspaceConfig} from '../config/configuration.js';
import {listEntries} from '../decisions/entry_list/entry_list.js';
import type {MembershipView} from '../membership/membership_view.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {waitForDelivery} from '../http/delivery.js';
import type {RpcContext} from '../rpc/rpc.js';
import {GatewayError, toGatewayError} from '../types/errors.js';
import {
  asId,
  type RegionId,
  type RequestId,
  type UpstreamId,
} from '../types/ids.js';
import {REQUEST_ID_HEADER, sendError} from './answers.js';
import {
  abortWhenClosed,
  callerDigestOf,
  DELIVERY_TIMEOUT_MS,
  RequestHandler,
} from './caller_server.js';
import {envelopeSchema, type ForwardEnvelope} from './forwarding.js';
import type {InFlightRequests} from './in_flight.js';
import type {ModelDispatcher} from './model_dispatcher.js';
import type {QuotaAdmission} from './quota_admission.js';
import {
  classifyModelRequest,
  classifyServiceRequest,
  type ModelRequest,
  type ServiceRequest,
} from './request.js';
import type {ServiceDispatcher} from './service_dispatcher.js';

const STEP = 'entry.forwarded';

/** Dependencies of the gateway. */
export interface GatewayParts {
  readonly models: ModelDispatcher;
  readonly services: ServiceDispatcher;
  readonly quotas: QuotaAdmission;
  readonly membership: MembershipView;
  readonly metrics: MetricsRegistry;
  readonly inFlight: InFlightRequests;
  readonly configuration: () => Configuration | undefined;
  readonly isReady: () => boolean;
  readonly acceptsWork: () => boolean;
}

/** Runs requests from callers and from entries of other domains. */
export class Gateway extends RequestHandler {
  constructor(private readonly parts: GatewayParts) {
    super();
  }

  override configuration(): Configuration | undefined {
    return this.parts.configuration();
  }

  override isReady(): boolean {
    return this.parts.isReady();
  }

  override acceptsWork(): boolean {
    return this.parts.acceptsWork();
  }

  override runModel(
    request: ModelRequest,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    return this.parts.quotas.runModel(request, () =>
      this.parts.models.run(request, response, signal),
    );
  }

  override runService(
    request: ServiceRequest,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    return this.parts.quotas.runService(request, () =>
      this.parts.services.run(request, response, signal),
    );
  }

  override listEntries(workspace: WorkspaceConfig, callerKey: string): unknown {
    const {membership, configuration} = this.parts;
    const local = membership.members().map(member => ({
      instanceId: member.instanceId,
      regionId: member.regionId,
      callerAddress: member.callerAddress,
      state: member.state === 'alive' ? member.liveness : member.state,
      loadShare: 0,
    }));
    const remote = membership.domainSummaries().flatMap(summary =>
      summary.entries.map(entry => ({
        instanceId: entry.instanceId,
        regionId: this.regionOf(configuration(), summary.domainId),
        callerAddress: entry.callerAddress,
        state: summary.stale ? ('suspect' as const) : ('alive' as const),
        loadShare: 0,
      })),
    );
    const list = listEntries(
      {
        callerDigest: callerDigestOf(callerKey),
        homeRegionId: workspace.homeRegionId,
        allowedRegionIds: workspace.allowedRegionIds,
      },
      [...local, ...remote],
    );
    return {
      entries: list.entries.map(entry => ({
        instance: entry.instanceId,
        address: entry.callerAddress,
      })),
      lifetime_ms: list.lifetimeMs,
    };
  }

  /** Runs a request that an entry of another domain forwarded here. */
  async runForwarded(
    body: Buffer,
    response: ServerResponse,
    context: RpcContext,
  ): Promise<void> {
    await this.parts.inFlight.track(async () => {
      try {
        await this.dispatchForwarded(body, response, context);
        this.parts.metrics.count('forwarded_here_total', {
          outcome: 'answered',
        });
      } catch (thrown) {
        const error = toGatewayError(thrown, STEP, 'self');
        this.parts.metrics.count('forwarded_here_total', {
          outcome: error.code,
        });
        sendError(response, error);
      }
      await waitForDelivery(response, DELIVERY_TIMEOUT_MS);
    });
  }

  private async dispatchForwarded(
    body: Buffer,
    response: ServerResponse,
    context: RpcContext,
  ): Promise<void> {
    const envelope = parseEnvelope(body, context);
    response.setHeader(REQUEST_ID_HEADER, envelope.requestId);
    const configuration = this.parts.configuration();
    if (configuration === undefined || !this.parts.acceptsWork()) {
      throw notRunError(
        'not_ready',
        'this instance takes no work now',
        context,
      );
    }
    const workspace = configuration.workspaces.find(
      each => each.workspaceId === envelope.workspaceId,
    );
    if (workspace === undefined) {
      throw notRunError(
        'forbidden',
        'the workspace is not known here',
        context,
      );
    }
    const signal = abortWhenClosed(response);
    const nowMs = monotonicNowMs();
    if (envelope.kind === 'model') {
      const request = modelRequestOf(configuration, workspace, envelope, nowMs);
      const lostUpstreamIds = envelope.lostUpstreamIds.map(asUpstreamId);
      this.parts.models.importLosses(request, lostUpstreamIds);
      await this.parts.models.run(request, response, signal);
      return;
    }
    const request = serviceRequestOf(workspace, envelope, nowMs);
    await this.parts.services.run(
      request,
      response,
      signal,
      envelope.isFreshKey,
    );
  }

  private regionOf(
    configuration: Configuration | undefined,
    domainId: string,
  ): RegionId {
    const region = configuration?.regions.find(each =>
      each.domainIds.some(id => id === domainId),
    );
    return region?.regionId ?? asId<RegionId>('');
  }
}

function asUpstreamId(id: string): UpstreamId {
  return asId<UpstreamId>(id);
}

function parseEnvelope(body: Buffer, context: RpcContext): ForwardEnvelope {
  try {
    return envelopeSchema.parse(JSON.parse(body.toString('utf8')));
  } catch {
    throw notRunError('bad_request', 'the envelope is not valid', context);
  }
}

function modelRequestOf(
  configuration: Configuration,
  workspace: WorkspaceConfig,
  envelope: Extract<ForwardEnvelope, {kind: 'model'}>,
  nowMs: number,
): ModelRequest {
  const classified = classifyModelRequest(
    configuration,
    workspace,
    {
      requestId: asId<RequestId>(envelope.requestId),
      path: envelope.path,
      body: Buffer.from(envelope.body, 'base64'),
      workloadId: envelope.workloadId,
      deadlineMs: envelope.remainingMs,
      firstTokenAllowedMs: envelope.firstTokenAllowedMs,
      isForwarded: true,
    },
    nowMs,
  );
  if (classified.isErr()) throw classified.error;
  return classified.value;
}

function serviceRequestOf(
  workspace: WorkspaceConfig,
  envelope: Extract<ForwardEnvelope, {kind: 'service'}>,
  nowMs: number,
): ServiceRequest {
  const classified = classifyServiceRequest(
    workspace,
    {
      requestId: asId<RequestId>(envelope.requestId),
      method: envelope.method,
      workloadId: envelope.workloadId,
      path: envelope.path,
      contentType: envelope.contentType,
      ...(envelope.idempotencyKey === undefined
        ? {}
        : {idempotencyKey: envelope.idempotencyKey}),
      body: Buffer.from(envelope.body, 'base64'),
      deadlineMs: envelope.remainingMs,
      isForwarded: true,
    },
    nowMs,
  );
  if (classified.isErr()) throw classified.error;
  return classified.value;
}

function notRunError(
  code: 'not_ready' | 'forbidden' | 'bad_request',
  message: string,
  context: RpcContext,
): GatewayError {
  return new GatewayError({
    code,
    message,
    step: STEP,
    peer: context.sender,
    work: 'not_run',
  });
}
