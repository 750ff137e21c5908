/** The listener for callers: reads requests, matches routes and runs them. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import {waitForDelivery} from '../http/delivery.js';
import type {HeldBytes} from '../http/held_bytes.js';
import {closeIdleConnections} from '../http/open_connections.js';
import {listen, readBody, SLOW_SENDER_CHECK_MS} from '../http/server.js';
import type {CallerLimits, Route} from '../routes/route_table.js';
import type {RouteMatcher} from '../routes/route_matcher.js';
import {toGatewayError} from '../types/errors.js';
import {asId, type RequestId} from '../types/ids.js';
import type {StreamOrigin} from '../origins/origin_store.js';
import {CallerResponse} from './caller_response.js';
import {
  sendRefusal,
  sendRejection,
  sendUnexpectedError,
} from './error_responses.js';
import {
  createRequestId,
  headerBytes,
  headersOf,
  requestFromCaller,
  requestFromRelay,
} from './inbound_request.js';
import {MEMORY_RETRY_MS} from './memory_bound.js';
import {decodeRelayRequest} from './relay.js';
import type {RejectionReason} from './request_log.js';
import type {PlannedStop} from './planned_stop.js';
import {RequestRun, type RequestRunContext} from './request_run.js';
import type {InboundRequest} from './types.js';

/** Above the limit of any route table, so that the latter applies first. */
const MAX_PARSER_HEADER_BYTES = 131_072;
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/**
 * How long a request that arrives before the route table waits for it, unread:
 * an entry that has just started gets the table within seconds.
 */
const TABLE_WAIT_MS = 500;
/** Usual time from the start of an entry until it has a route table. */
const EXPECTED_STARTUP_MS = 1_800;
const MIN_STARTUP_RETRY_MS = 400;
/** `retry-after` of an entry that stops: another one takes the request now. */
const STOPPING_RETRY_MS = 0;
/** `retry-after` if the route has no service to choose from. */
const NO_SERVICE_RETRY_MS = 1_000;

export interface IngressServerOptions {
  /** `host:port`. */
  readonly address: string;
  readonly context: RequestRunContext;
  /** Matches with the current route table; `undefined` if there is none yet. */
  readonly matcher: () => RouteMatcher | undefined;
  /** Resolves when there is a route table, or after `waitMs`. */
  readonly waitForTable: (waitMs: number) => Promise<void>;
  readonly plannedStop: PlannedStop;
  /** Bounds what is held for slow callers. */
  readonly held?: HeldBytes;
}

/** The route of a caller's request, and the routes that were in force then. */
interface RouteMatch {
  readonly matcher: RouteMatcher;
  readonly route: Route;
  readonly receivedAtMs: number;
}

/** The HTTP server for callers. */
export class IngressServer {
  private readonly server: Server;
  private limits = DEFAULT_LIMITS;
  private openRequests = 0;
  /** Responses to callers whose bytes have not all left this process. */
  private readonly undelivered = new Set<CallerResponse>();
  private readonly startedAtMs = monotonicNowMs();

  constructor(private readonly options: IngressServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_PARSER_HEADER_BYTES,
        connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
        requestTimeout: 0,
        highWaterMark: 65_536,
      },
      (request, response) => this.accept(request, response),
    );
    this.applyLimits(DEFAULT_LIMITS);
  }

  start(): Promise<string> {
    return listen(this.server, this.options.address);
  }

  /**
   * Requests whose final response has not left this process, also those that are
   * still arriving.
   */
  get requestsInFlight(): number {
    return this.openRequests;
  }

  applyLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Closes connections without a request, so that callers open others. */
  closeIdle(): void {
    closeIdleConnections(this.server);
  }

  /** Closes the listener and all connections immediately. */
  close(): void {
    this.undelivered.forEach(each => each.terminate());
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Runs a request relayed by another entry. */
  async receiveRelayed(bytes: Buffer, response: ServerResponse): Promise<void> {
    const callerResponse = new CallerResponse(
      response,
      () => false,
      this.options.held,
    );
    this.openRequests += 1;
    try {
      await this.runRelayed(bytes, response, callerResponse);
      await waitForDelivery(response);
    } finally {
      this.openRequests -= 1;
      callerResponse.holding?.close();
    }
  }

  private async runRelayed(
    bytes: Buffer,
    response: ServerResponse,
    callerResponse: CallerResponse,
  ): Promise<void> {
    const {metadata, body} = decodeRelayRequest(bytes);
    const matcher = this.options.matcher();
    const route = matcher?.match(metadata.host, metadata.path);
    if (matcher === undefined || route === undefined) {
      const reason = matcher === undefined ? 'no_route_table' : 'no_route';
      const status = sendRefusal(
        callerResponse,
        this.startupRetryMs(),
        'unsent',
      );
      this.options.context.log.rejected(
        asId<RequestId>(metadata.requestId),
        reason,
        status,
        matcher?.table.version ?? 0,
      );
      return;
    }
    const {version} = matcher.table;
    const requestId = asId<RequestId>(metadata.requestId);
    if (callerResponse.holding?.resize('body', bytes.length) === false) {
      const status = sendRefusal(callerResponse, MEMORY_RETRY_MS, 'unsent');
      this.options.context.log.rejected(
        requestId,
        'no_memory',
        status,
        version,
      );
      return;
    }
    if (this.options.plannedStop.isTooLateFor(route)) {
      const status = sendRefusal(callerResponse, STOPPING_RETRY_MS, 'unsent');
      this.options.context.log.rejected(requestId, 'stopping', status, version);
      return;
    }
    const {protocol} = this.options.context;
    const inbound = requestFromRelay(metadata, body, {
      traits: protocol.requestTraits(headersOf(metadata.rawHeaders)),
      route,
      tableVersion: version,
    });
    await this.run(inbound, callerResponse, response);
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const callerResponse = new CallerResponse(
      response,
      () => this.options.plannedStop.hasBegun,
      this.options.held,
    );
    this.openRequests += 1;
    this.undelivered.add(callerResponse);
    void this.receiveGuarded(request, response, callerResponse)
      .then(() => waitForDelivery(response))
      .finally(() => {
        this.openRequests -= 1;
        this.undelivered.delete(callerResponse);
        callerResponse.holding?.close();
      });
  }

  private async receiveGuarded(
    request: IncomingMessage,
    response: ServerResponse,
    callerResponse: CallerResponse,
  ): Promise<void> {
    const {context} = this.options;
    try {
      await this.receive(request, response, callerResponse);
    } catch (thrown) {
      const error = toGatewayError(thrown, 'ingress.receive', 'self');
      const status = sendUnexpectedError(callerResponse);
      context.log.crashed(this.requestIdOf(request), error, status);
    }
  }

  private async receive(
    request: IncomingMessage,
    response: ServerResponse,
    callerResponse: CallerResponse,
  ): Promise<void> {
    const {matcher: currentMatcher} = this.options;
    const receivedAtMs = monotonicNowMs();
    if (currentMatcher() === undefined) {
      await this.options.waitForTable(TABLE_WAIT_MS);
    }
    const matcher = currentMatcher();
    const version = matcher?.table.version ?? 0;
    const onRejected = (reason: RejectionReason, status: number): void =>
      this.logRejection(request, reason, status, version);
    if (matcher === undefined) {
      onRejected(
        'no_route_table',
        sendRefusal(callerResponse, this.startupRetryMs()),
      );
      return;
    }
    if (headerBytes(request) > this.limits.maxHeaderBytes) {
      onRejected('headers_too_large', sendRejection(callerResponse, 431));
      return;
    }
    const path = request.url ?? '/';
    const route = matcher.match(request.headers.host ?? '', path);
    if (route === undefined) {
      onRejected('no_route', sendRejection(callerResponse, 404));
      return;
    }
    const body = await this.readRequestBody(
      request,
      callerResponse,
      onRejected,
    );
    if (body === undefined) return;
    if (this.options.plannedStop.isTooLateFor(route)) {
      onRejected('stopping', sendRefusal(callerResponse, STOPPING_RETRY_MS));
      return;
    }
    const inbound = await this.withService(request, body, {
      matcher,
      route,
      receivedAtMs,
    });
    if (inbound === undefined) {
      onRejected(
        'no_service',
        sendRefusal(callerResponse, NO_SERVICE_RETRY_MS),
      );
      return;
    }
    await this.run(inbound, callerResponse, response);
  }

  /** The request for a service of its route; `undefined` if that has none. */
  private async withService(
    request: IncomingMessage,
    body: Buffer,
    {matcher, route, receivedAtMs}: RouteMatch,
  ): Promise<InboundRequest | undefined> {
    const {protocol} = this.options.context;
    const origin = await this.findOrigin(request, route);
    const service =
      origin?.service ?? matcher.pickService(route, Math.random());
    if (service === undefined) return undefined;
    return requestFromCaller(request, body, {
      traits: protocol.requestTraits(request.headers),
      route,
      service,
      tableVersion: matcher.table.version,
      origin,
      receivedAtMs,
    });
  }

  /** What began the stream that the caller takes up again, as far as known. */
  private async findOrigin(
    request: IncomingMessage,
    route: Route,
  ): Promise<StreamOrigin | undefined> {
    const {protocol, origins} = this.options.context;
    const {resumedAttemptId} = protocol.requestTraits(request.headers);
    if (resumedAttemptId === undefined) return undefined;
    const origin = await origins.find(resumedAttemptId);
    // The route may lead to another service by now.
    const isServed = route.shares.some(
      ({service, weight}) => service === origin?.service && weight > 0,
    );
    return isServed ? origin : undefined;
  }

  private async readRequestBody(
    request: IncomingMessage,
    callerResponse: CallerResponse,
    onRejected: (reason: RejectionReason, status: number) => void,
  ): Promise<Buffer | undefined> {
    try {
      const {holding} = callerResponse;
      return await readBody(request, this.limits.maxBodyBytes, holding);
    } catch (thrown) {
      const error = toGatewayError(thrown, 'ingress.read_body', 'caller');
      if (error.code === 'too_large') {
        onRejected('body_too_large', sendRejection(callerResponse, 413));
      } else if (error.code === 'overloaded') {
        onRejected('no_memory', sendRefusal(callerResponse, MEMORY_RETRY_MS));
      } else {
        callerResponse.terminate();
        onRejected('body_incomplete', 0);
      }
      return undefined;
    }
  }

  /** Expected time until an entry without a route table has one. */
  private startupRetryMs(): number {
    const uptimeMs = monotonicNowMs() - this.startedAtMs;
    return Math.max(MIN_STARTUP_RETRY_MS, EXPECTED_STARTUP_MS - uptimeMs);
  }

  private logRejection(
    request: IncomingMessage,
    reason: RejectionReason,
    status: number,
    tableVersion: number,
  ): void {
    const {log} = this.options.context;
    log.rejected(this.requestIdOf(request), reason, status, tableVersion);
  }

  private requestIdOf({headers}: IncomingMessage): RequestId {
    const {protocol} = this.options.context;
    return createRequestId(protocol.requestTraits(headers).attemptId);
  }

  private async run(
    inbound: InboundRequest,
    callerResponse: CallerResponse,
    response: ServerResponse,
  ): Promise<void> {
    const cancellation = new AbortController();
    const leftMs = inbound.expiresAtMs - monotonicNowMs();
    const timer = setTimeout(() => cancellation.abort(), Math.max(0, leftMs));
    response.once('close', () => {
      if (!response.writableFinished) cancellation.abort();
    });
    const {context} = this.options;
    try {
      const result = await new RequestRun(
        context,
        inbound,
        callerResponse,
        cancellation.signal,
      ).run();
      if (result.kind === 'delivered') {
        this.options.plannedStop.noteAnswered(inbound);
      }
    } finally {
      clearTimeout(timer);
    }
  }
}
