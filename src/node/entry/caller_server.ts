/** The HTTP listener for callers: authentication, limits and routing. */
import {randomUUID} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration, WorkspaceConfig} from '../config/configuration.js';
import {waitForDelivery} from '../http/delivery.js';
import {
  keepAllHeaderLines,
  SLOW_SENDER_CHECK_MS,
} from '../http/header_lines.js';
import {closeServer, listen, readBody, sendJson} from '../http/server.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {GatewayError, toGatewayError} from '../types/errors.js';
import {asId, type RequestId} from '../types/ids.js';
import {REQUEST_ID_HEADER, sendError, WORK_HEADER} from './answers.js';
import {withUnknownOutcome} from './unknown_outcome.js';
import type {InFlightRequests} from './in_flight.js';
import {
  classifyModelRequest,
  classifyServiceRequest,
  digestOf,
  findWorkspace,
  type ModelRequest,
  type ServiceRequest,
} from './request.js';

const MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_LIMITS: CallerLimits = {
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
};
const KEEP_ALIVE_TIMEOUT_MS = 15_000;
/** A connection whose caller has not read its answer by then is destroyed. */
export const DELIVERY_TIMEOUT_MS = 30_000;
/** Short: answers are delivered before, so open connections have no request. */
const CLOSE_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS = 10_000;
const MODEL_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);
const SERVICE_PREFIX = '/services/';
const STEP = 'entry.caller';

/** Runs classified requests and answers queries about this instance. */
export abstract class RequestHandler {
  /** The current configuration; `undefined` until the first one arrives. */
  abstract configuration(): Configuration | undefined;
  /** Whether callers should choose this instance; false once it is leaving. */
  abstract isReady(): boolean;
  /** Whether new work is accepted; still true while the instance is leaving. */
  abstract acceptsWork(): boolean;
  abstract runModel(
    request: ModelRequest,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void>;
  abstract runService(
    request: ServiceRequest,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void>;
  /** The entries that a caller should use, best first. */
  abstract listEntries(workspace: WorkspaceConfig, callerKey: string): unknown;
}

/** Time limits for receiving a request from a caller. */
export interface CallerLimits {
  /** @default 10000 */
  readonly headersTimeoutMs: number;
  /** For headers and body together. @default 30000 */
  readonly requestTimeoutMs: number;
}

/** Options of the callers' listener. */
export interface CallerServerOptions {
  readonly limits?: Partial<CallerLimits>;
  readonly address: string;
  readonly handler: RequestHandler;
  readonly metrics: MetricsRegistry;
  readonly inFlight: InFlightRequests;
}

/** The HTTP server for callers. */
export class CallerServer {
  private readonly server: Server;

  constructor(private readonly options: CallerServerOptions) {
    const limits = {...DEFAULT_LIMITS, ...options.limits};
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: limits.headersTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      },
      (request, response) => {
        void options.inFlight.track(async () => {
          await this.answer(request, response);
          await waitForDelivery(response, DELIVERY_TIMEOUT_MS);
        });
      },
    );
    this.server.maxConnections = MAX_CONNECTIONS;
    keepAllHeaderLines(this.server);
  }

  start(): Promise<string> {
    return listen(this.server, this.options.address);
  }

  async stop(): Promise<void> {
    await closeServer(this.server, CLOSE_TIMEOUT_MS);
  }

  /** Ends every connection at once, for an emergency stop. */
  destroy(): void {
    this.server.closeAllConnections();
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = asId<RequestId>(randomUUID());
    response.setHeader(REQUEST_ID_HEADER, requestId);
    // A kept-alive connection would bring its caller's next request here.
    if (!this.options.handler.isReady()) {
      response.setHeader('connection', 'close');
    }
    try {
      await this.route(requestId, request, response);
      this.options.metrics.count('requests_total', {outcome: 'answered'});
    } catch (thrown) {
      const error = this.errorOf(request, thrown);
      this.options.metrics.count('requests_total', {outcome: error.code});
      sendError(response, error);
    }
  }

  // A request that this listener rejects has not been checked against the
  // record of its idempotency key, so whether it ran before is unknown.
  private errorOf(request: IncomingMessage, thrown: unknown): GatewayError {
    const error = toGatewayError(thrown, STEP, 'caller');
    const hasKey = request.headers['idempotency-key'] !== undefined;
    return hasKey && error.step === STEP ? withUnknownOutcome(error) : error;
  }

  private async route(
    requestId: RequestId,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = parseUrl(request);
    switch (url.pathname) {
      case '/healthz':
        sendJson(response, 200, {status: 'ok'});
        return;
      case '/readyz':
        this.answerReady(response);
        return;
      case '/metrics':
        response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
        response.end(this.options.metrics.toText());
        return;
      default:
        await this.routeForWorkspace(requestId, request, response, url);
    }
  }

  private answerReady(response: ServerResponse): void {
    const isReady = this.options.handler.isReady();
    sendJson(response, isReady ? 200 : 503, {ready: isReady});
  }

  private async routeForWorkspace(
    requestId: RequestId,
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const {handler} = this.options;
    const configuration = handler.configuration();
    if (configuration === undefined) throw notReady();
    const found = findWorkspace(configuration, request.headers.authorization);
    if (found.isErr()) throw found.error;
    const workspace = found.value;
    if (request.method === 'GET' && url.pathname === '/v1/models') {
      sendJson(response, 200, listModels(workspace));
      return;
    }
    if (request.method === 'GET' && url.pathname === '/v1/entries') {
      const key = request.headers.authorization ?? '';
      sendJson(response, 200, handler.listEntries(workspace, key));
      return;
    }
    if (!handler.acceptsWork()) throw stopping();
    if (request.method === 'POST' && MODEL_PATHS.has(url.pathname)) {
      await this.runModel(requestId, request, response, url, workspace);
      return;
    }
    if (url.pathname.startsWith(SERVICE_PREFIX)) {
      await this.runService(requestId, request, response, url, workspace);
      return;
    }
    throw notFound(request.method ?? '', url.pathname);
  }

  private async runModel(
    requestId: RequestId,
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    workspace: WorkspaceConfig,
  ): Promise<void> {
    const {handler} = this.options;
    const configuration = handler.configuration();
    if (configuration === undefined) throw notReady();
    const body = await readBody(request, largestBodyLimit(workspace, 'model'));
    const classified = classifyModelRequest(
      configuration,
      workspace,
      {
        requestId,
        path: url.pathname,
        body,
        ...requestedWorkload(request),
        ...requestedDeadline(request),
        isForwarded: false,
      },
      monotonicNowMs(),
    );
    if (classified.isErr()) throw classified.error;
    const signal = abortWhenClosed(response);
    await handler.runModel(classified.value, response, signal);
  }

  private async runService(
    requestId: RequestId,
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    workspace: WorkspaceConfig,
  ): Promise<void> {
    const [workloadId = '', ...rest] = url.pathname
      .slice(SERVICE_PREFIX.length)
      .split('/');
    const body = await readBody(
      request,
      largestBodyLimit(workspace, 'service'),
    );
    const idempotencyKey = request.headers['idempotency-key'];
    const classified = classifyServiceRequest(
      workspace,
      {
        requestId,
        method: request.method ?? 'GET',
        workloadId,
        path: `/${rest.join('/')}${url.search}`,
        contentType: request.headers['content-type'] ?? '',
        ...(typeof idempotencyKey === 'string' ? {idempotencyKey} : {}),
        body,
        ...requestedDeadline(request),
        isForwarded: false,
      },
      monotonicNowMs(),
    );
    if (classified.isErr()) throw classified.error;
    const signal = abortWhenClosed(response);
    await this.options.handler.runService(classified.value, response, signal);
    if (response.getHeader(WORK_HEADER) === undefined) return;
    this.options.metrics.count('service_calls_total', {workload: workloadId});
  }
}

/** A digest of the caller's key that keeps its list of entries stable. */
export function callerDigestOf(callerKey: string) {
  return digestOf('caller', callerKey);
}

/** Aborts when the caller's connection closes before the answer is complete. */
export function abortWhenClosed(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  // The caller may have disconnected while its body was read.
  if (response.closed || response.destroyed) controller.abort();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

function parseUrl(request: IncomingMessage): URL {
  try {
    return new URL(request.url ?? '/', 'http://entry');
  } catch {
    throw new GatewayError({
      code: 'bad_request',
      message: 'the request target is not a valid URL',
      step: STEP,
      peer: 'caller',
    });
  }
}

function requestedWorkload(request: IncomingMessage): {workloadId?: string} {
  const workloadId = request.headers['x-cyclamenfall-workload'];
  return typeof workloadId === 'string' ? {workloadId} : {};
}

function requestedDeadline(request: IncomingMessage): {deadlineMs?: number} {
  const deadlineMs = Number(request.headers['x-deadline-ms']);
  return deadlineMs > 0 ? {deadlineMs} : {};
}

function largestBodyLimit(
  workspace: WorkspaceConfig,
  kind: 'model' | 'service',
): number {
  return Math.max(
    0,
    ...workspace.workloads
      .filter(workload => workload.kind === kind)
      .map(workload => workload.maxBodyBytes),
  );
}

function listModels(workspace: WorkspaceConfig) {
  const ids = workspace.workloads.flatMap(workload =>
    workload.modelId === undefined ? [] : [workload.modelId],
  );
  const data = [...new Set(ids)].map(id => ({
    id,
    object: 'model',
    owned_by: 'cyclamenfall',
  }));
  return {object: 'list', data};
}

function notReady(): GatewayError {
  return new GatewayError({
    code: 'not_ready',
    message: 'no configuration is in force on this instance yet',
    step: STEP,
    peer: 'self',
    retryAfterMs: 1_000,
  });
}

function stopping(): GatewayError {
  return new GatewayError({
    code: 'stopping',
    message: 'this instance takes no new work; use another one',
    step: STEP,
    peer: 'self',
    retryAfterMs: 1_000,
  });
}

function notFound(method: string, path: string): GatewayError {
  return new GatewayError({
    code: 'not_found',
    message: `no such resource: ${method} ${path}`,
    step: STEP,
    peer: 'caller',
  });
}
