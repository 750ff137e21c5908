/** The listener for callers: reads requests, matches routes and runs them. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import {waitForDelivery} from '../http/delivery.js';
import type {
  BusyRefusal,
  LoadShedding,
} from '../decisions/admission/load_shedding.js';
import type {HeldBytes} from '../http/held_bytes.js';
import type {UnfinishedRequests} from '../http/unfinished_requests.js';
import type {CallerLimits, Route} from '../routes/route_table.js';
import type {RouteMatcher} from '../routes/route_matcher.js';
import type {QuotaGate} from '../quotas/quota_gate.js';
import {toGatewayError} from '../types/errors.js';
import {asId, type RequestId} from '../types/ids.js';
import {readCallerBody} from './caller_body.js';
import {CallerListener} from './caller_listener.js';
import {CallerResponse} from './caller_response.js';
import {
  NOWHERE_RETRY_MS,
  sendRefusal,
  sendRejection,
  sendUnexpectedError,
  sendWithoutRules,
} from './error_responses.js';
import {
  createRequestId,
  headerBytes,
  headMemoryBytes,
  headersOf,
  releaseHead,
  requestFromRelay,
} from './inbound_request.js';
import {MEMORY_RETRY_MS} from './memory_bound.js';
import {decodeRelayRequest} from './relay.js';
import type {OnRejected, RejectionReason} from './request_log.js';
import {
  headersWithoutIdentity,
  rulesForCaller,
  rulesForRelayed,
  type RequestRules,
} from './request_rules.js';
import type {PlannedStop} from './planned_stop.js';
import {QuotaAdmission} from './quota_admission.js';
import {
  callerFigures,
  relayFigures,
  type RejectionFigures,
} from './rejection_figures.js';
import type {RequestRunContext} from './request_context.js';
import {RequestRun} from './request_run.js';
import {withService} from './service_choice.js';
import type {InboundRequest} from './types.js';

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

export interface IngressServerOptions {
  /** `host:port`. */
  readonly address: string;
  readonly context: RequestRunContext;
  /** Matches with the current route table; `undefined` if there is none yet. */
  readonly matcher: () => RouteMatcher | undefined;
  /** Resolves when there is a route table, or after `waitMs`. */
  readonly waitForTable: (waitMs: number) => Promise<void>;
  readonly plannedStop: PlannedStop;
  readonly quotas: QuotaGate;
  /** Refuses what this process cannot serve in time. */
  readonly shedding: LoadShedding;
  /** Bounds what is held for slow callers. */
  readonly held?: HeldBytes;
  /** Bounds what requests take that do not end. */
  readonly unfinished?: UnfinishedRequests;
}

/** The HTTP server for callers. */
export class IngressServer {
  private readonly listener: CallerListener;
  private readonly quotas: QuotaAdmission;
  private openRequests = 0;
  /** Responses to callers whose bytes have not all left this process. */
  private readonly undelivered = new Set<CallerResponse>();
  private readonly startedAtMs = monotonicNowMs();

  constructor(private readonly options: IngressServerOptions) {
    this.quotas = new QuotaAdmission(options.quotas, options.context.log);
    this.listener = new CallerListener(
      (request, response) => this.accept(request, response),
      options.unfinished,
    );
  }

  start(): Promise<string> {
    return this.listener.start(this.options.address);
  }

  /**
   * Requests whose final response has not left this process, also those that are
   * still arriving.
   */
  get requestsInFlight(): number {
    return this.openRequests;
  }

  applyLimits(limits: CallerLimits): void {
    this.listener.applyLimits(limits);
  }

  /** Closes connections without a request, so that callers open others. */
  closeIdle(): void {
    this.listener.closeIdle();
  }

  /** Closes the listener and all connections immediately. */
  close(): void {
    this.undelivered.forEach(each => each.terminate());
    this.listener.close();
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
    const {protocol, region, log} = this.options.context;
    const matcher = this.options.matcher();
    const version = matcher?.table.version ?? 0;
    const refuse = (
      reason: RejectionReason,
      retryAfterMs: number,
      figures?: RejectionFigures,
    ): void => {
      const status = sendRefusal(callerResponse, retryAfterMs, 'unsent');
      const requestId = asId<RequestId>(metadata.requestId);
      log.rejected(requestId, reason, status, version, figures);
    };
    if (matcher === undefined) {
      return refuse('no_route_table', this.startupRetryMs());
    }
    const rules = rulesForRelayed(matcher, metadata, region);
    if (rules.isErr()) {
      const figures = relayFigures(rules.error, matcher, metadata, region);
      return refuse(rules.error, this.startupRetryMs(), figures);
    }
    if (callerResponse.holding?.resize('body', bytes.length) === false) {
      return refuse('no_memory', MEMORY_RETRY_MS);
    }
    if (this.options.plannedStop.isTooLateFor(rules.value.route)) {
      return refuse('stopping', STOPPING_RETRY_MS);
    }
    const {rawHeaders} = metadata;
    const inbound = requestFromRelay(metadata, body, {
      ...rules.value,
      traits: protocol.requestTraits(headersOf(rawHeaders)),
      rawHeaders: headersWithoutIdentity(matcher, rawHeaders, protocol),
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
    if (!this.holdHead(request, callerResponse)) return;
    if (currentMatcher() === undefined) {
      await this.options.waitForTable(TABLE_WAIT_MS);
    }
    const matcher = currentMatcher();
    const version = matcher?.table.version ?? 0;
    const onRejected: OnRejected = (reason, status, figures) =>
      this.logRejection(request, reason, status, version, figures);
    if (matcher === undefined) {
      onRejected(
        'no_route_table',
        sendRefusal(callerResponse, this.startupRetryMs()),
      );
      return;
    }
    const rules = this.admit(request, callerResponse, matcher, onRejected);
    if (rules === undefined) return;
    const {maxBodyBytes} = this.listener.limits;
    const {timeoutMs} = rules.route;
    const body = await readCallerBody(
      request,
      callerResponse,
      {maxBodyBytes, timeoutMs},
      onRejected,
    );
    if (body === undefined) return;
    if (this.options.plannedStop.isTooLateFor(rules.route)) {
      onRejected('stopping', sendRefusal(callerResponse, STOPPING_RETRY_MS));
      return;
    }
    const match = {matcher, rules, receivedAtMs};
    const inbound = await withService(
      request,
      body,
      match,
      this.options.context,
    );
    if (inbound === undefined) {
      onRejected('no_service', sendRefusal(callerResponse, NOWHERE_RETRY_MS));
      return;
    }
    const admitted = await this.quotas.admit(inbound, callerResponse);
    if (admitted === undefined) return;
    const hasRun = await this.run(inbound, callerResponse, response);
    if (!hasRun) this.quotas.giveBack(admitted);
  }

  /** Counts the head of a request, or refuses it for want of memory. */
  private holdHead(
    request: IncomingMessage,
    callerResponse: CallerResponse,
  ): boolean {
    const {holding} = callerResponse;
    const isHeld = holding?.resize('head', headMemoryBytes(request));
    if (isHeld !== false) return true;
    const status = sendRefusal(callerResponse, MEMORY_RETRY_MS);
    const version = this.options.matcher()?.table.version ?? 0;
    this.logRejection(request, 'no_memory', status, version);
    releaseHead(request);
    return false;
  }

  /** Finds the rules for a request, or answers it before its body is read. */
  private admit(
    request: IncomingMessage,
    callerResponse: CallerResponse,
    matcher: RouteMatcher,
    onRejected: OnRejected,
  ): RequestRules | undefined {
    if (headerBytes(request) > this.listener.limits.maxHeaderBytes) {
      onRejected('headers_too_large', sendRejection(callerResponse, 431));
      return undefined;
    }
    const head = {headers: request.headers, path: request.url ?? '/'};
    const {protocol} = this.options.context;
    const found = rulesForCaller(matcher, head, protocol);
    if (found.isErr()) {
      const figures = callerFigures(found.error, matcher, head, protocol);
      const status = sendWithoutRules(callerResponse, found.error);
      onRejected(found.error, status, figures);
      return undefined;
    }
    const rules = found.value;
    const busy = this.busyRefusal(rules.route);
    if (busy === undefined) return rules;
    onRejected('busy', sendRefusal(callerResponse, busy.retryAfterMs), {
      ...busy,
    });
    return undefined;
  }

  // A stopping entry gets no new callers; it serves the last ones.
  private busyRefusal({priority}: Route): BusyRefusal | undefined {
    const {shedding, plannedStop} = this.options;
    return plannedStop.hasBegun
      ? undefined
      : shedding.refuse(priority, monotonicNowMs());
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
    figures?: RejectionFigures,
  ): void {
    const {log} = this.options.context;
    const requestId = this.requestIdOf(request);
    log.rejected(requestId, reason, status, tableVersion, figures);
  }

  private requestIdOf({headers}: IncomingMessage): RequestId {
    const {protocol} = this.options.context;
    return createRequestId(protocol.requestTraits(headers).attemptId);
  }

  /** Returns whether an upstream has, or may have, run the request. */
  private async run(
    inbound: InboundRequest,
    callerResponse: CallerResponse,
    response: ServerResponse,
  ): Promise<boolean> {
    const cancellation = new AbortController();
    const leftMs = inbound.expiresAtMs - monotonicNowMs();
    const timer = setTimeout(() => cancellation.abort(), Math.max(0, leftMs));
    response.once('close', () => {
      if (!response.writableFinished) cancellation.abort();
    });
    if (response.destroyed) cancellation.abort();
    const {context} = this.options;
    try {
      const run = new RequestRun(
        context,
        inbound,
        callerResponse,
        cancellation.signal,
      );
      const result = await run.run();
      if (result.kind === 'delivered') {
        this.options.plannedStop.noteAnswered(inbound);
      }
      const isSent = result.kind === 'aborted' && result.isSent;
      return run.mayHaveRun || isSent || result.kind === 'failed';
    } finally {
      clearTimeout(timer);
    }
  }
}
