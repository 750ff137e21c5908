/** The callers' listener: reads requests, matches them and has them run. */
import {randomBytes} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import {listen, readBody, SLOW_SENDER_CHECK_MS} from '../http/server.js';
import type {CallerLimits, Route} from '../routes/route_table.js';
import type {RouteMatcher} from '../routes/route_matcher.js';
import {toGatewayError} from '../types/errors.js';
import {asId, type RequestId} from '../types/ids.js';
import {CallerAnswer} from './caller_answer.js';
import {sendRefusal, sendRejection} from './final_answers.js';
import {decodeRelayed, type RelayedHead} from './relay.js';
import type {RejectionReason} from './request_log.js';
import {RequestRun, type RequestRunContext} from './request_run.js';
import type {InboundRequest} from './types.js';

/** Above what any route table allows, so that its own limit answers first. */
const PARSER_HEADER_BYTES = 131_072;
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/**
 * A request that finds no route table waits for it so long, unread: an entry
 * that has just started gets the table within seconds.
 */
const TABLE_WAIT_MS = 500;
/** By then after its start an entry usually has a table. */
const USUAL_START_MS = 1_800;
const SHORTEST_START_RETRY_MS = 400;
/** Time to come back to an entry whose table leads to no service. */
const NO_SERVICE_RETRY_MS = 1_000;
const ID_BYTES = 6;

export interface IngressServerOptions {
  /** `host:port`. */
  readonly address: string;
  readonly context: RequestRunContext;
  /** The table in force; `undefined` until one is known. */
  readonly matcher: () => RouteMatcher | undefined;
  /** Resolves when there is a table, or after the time. */
  readonly waitForTable: (waitMs: number) => Promise<void>;
  readonly isStopping: () => boolean;
}

/** The running listener. */
export class IngressServer {
  private readonly server: Server;
  private limits = DEFAULT_LIMITS;
  private openRequests = 0;
  private readonly startedAtMs = monotonicNowMs();

  constructor(private readonly options: IngressServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
        requestTimeout: 0,
        highWaterMark: 65_536,
      },
      (request, response) => void this.receive(request, response),
    );
    this.applyLimits(DEFAULT_LIMITS);
  }

  start(): Promise<string> {
    return listen(this.server, this.options.address);
  }

  /** Requests that have no final answer yet. */
  get requestsInFlight(): number {
    return this.openRequests;
  }

  applyLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Closes everything at once. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Runs a request that another entry relayed. */
  async receiveRelayed(bytes: Buffer, response: ServerResponse): Promise<void> {
    const {head, body} = decodeRelayed(bytes);
    const answer = new CallerAnswer(response, () => false);
    const matcher = this.options.matcher();
    const route = matcher?.match(head.host, head.path);
    if (matcher === undefined || route === undefined) {
      const reason = matcher === undefined ? 'no_route_table' : 'no_route';
      const status = sendRefusal(answer, this.startRetryMs(), true);
      this.options.context.log.rejected(
        asId<RequestId>(head.requestId),
        reason,
        status,
        matcher?.table.version ?? 0,
      );
      return;
    }
    const version = matcher.table.version;
    const inbound = this.fromRelay(head, body, route, version);
    await this.run(inbound, answer, response);
  }

  private async receive(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {isStopping, matcher: currentMatcher} = this.options;
    const answer = new CallerAnswer(response, isStopping);
    const receivedAtMs = monotonicNowMs();
    if (currentMatcher() === undefined) {
      await this.options.waitForTable(TABLE_WAIT_MS);
    }
    const matcher = currentMatcher();
    const version = matcher?.table.version ?? 0;
    const note = (reason: RejectionReason, status: number): void =>
      this.noteRejection(request, reason, status, version);
    if (matcher === undefined) {
      note('no_route_table', sendRefusal(answer, this.startRetryMs()));
      return;
    }
    if (headerBytes(request) > this.limits.maxHeaderBytes) {
      note('headers_too_large', sendRejection(answer, 431));
      return;
    }
    const path = request.url ?? '/';
    const route = matcher.match(request.headers.host ?? '', path);
    if (route === undefined) {
      note('no_route', sendRejection(answer, 404));
      return;
    }
    const body = await this.bodyOf(request, answer, note);
    if (body === undefined) return;
    const service = matcher.pickService(route, Math.random());
    if (service === undefined) {
      note('no_service', sendRefusal(answer, NO_SERVICE_RETRY_MS));
      return;
    }
    const inbound = this.fromCaller(request, body, route, receivedAtMs, {
      service,
      tableVersion: version,
    });
    await this.run(inbound, answer, response);
  }

  private async bodyOf(
    request: IncomingMessage,
    answer: CallerAnswer,
    note: (reason: RejectionReason, status: number) => void,
  ): Promise<Buffer | undefined> {
    try {
      return await readBody(request, this.limits.maxBodyBytes);
    } catch (thrown) {
      const error = toGatewayError(thrown, 'ingress.read_body', 'caller');
      if (error.code === 'too_large') {
        note('body_too_large', sendRejection(answer, 413));
      } else {
        answer.breakOff();
        note('body_incomplete', 0);
      }
      return undefined;
    }
  }

  /** When an entry without a table will probably have one. */
  private startRetryMs(): number {
    const uptimeMs = monotonicNowMs() - this.startedAtMs;
    return Math.max(SHORTEST_START_RETRY_MS, USUAL_START_MS - uptimeMs);
  }

  private noteRejection(
    request: IncomingMessage,
    reason: RejectionReason,
    status: number,
    tableVersion: number,
  ): void {
    const {log, protocol} = this.options.context;
    const {attemptId} = protocol.requestTraits(request.headers);
    log.rejected(createRequestId(attemptId), reason, status, tableVersion);
  }

  private fromCaller(
    request: IncomingMessage,
    body: Buffer,
    route: Route,
    receivedAtMs: number,
    choice: Pick<InboundRequest, 'service' | 'tableVersion'>,
  ): InboundRequest {
    const traits = this.options.context.protocol.requestTraits(request.headers);
    const waitsMs = traits.waitsMs ?? Number.POSITIVE_INFINITY;
    return {
      ...choice,
      requestId: createRequestId(traits.attemptId),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: request.rawHeaders,
      body,
      route,
      traits,
      receivedAtMs,
      expiresAtMs: receivedAtMs + Math.min(route.timeoutMs, waitsMs),
      isRelayed: false,
      isRepeat: false,
      avoidUpstreams: [],
      lastEventId: traits.lastEventId,
    };
  }

  private fromRelay(
    head: RelayedHead,
    body: Buffer,
    route: Route,
    tableVersion: number,
  ): InboundRequest {
    const {protocol} = this.options.context;
    const nowMs = monotonicNowMs();
    return {
      requestId: asId<RequestId>(head.requestId),
      method: head.method,
      path: head.path,
      rawHeaders: head.rawHeaders,
      body,
      route,
      service: head.service,
      traits: protocol.requestTraits(headersOf(head.rawHeaders)),
      tableVersion,
      receivedAtMs: nowMs - head.ageMs,
      expiresAtMs: nowMs + head.remainingMs,
      isRelayed: true,
      isRepeat: head.isRepeat,
      avoidUpstreams: head.avoidUpstreams,
      lastEventId: head.lastEventId,
    };
  }

  private async run(
    inbound: InboundRequest,
    answer: CallerAnswer,
    response: ServerResponse,
  ): Promise<void> {
    const giveUp = new AbortController();
    const leftMs = inbound.expiresAtMs - monotonicNowMs();
    const timer = setTimeout(() => giveUp.abort(), Math.max(0, leftMs));
    response.once('close', () => {
      if (!answer.isEnded) giveUp.abort();
    });
    const {context} = this.options;
    this.openRequests += 1;
    try {
      await new RequestRun(context, inbound, answer, giveUp.signal).run();
    } finally {
      this.openRequests -= 1;
      clearTimeout(timer);
    }
  }
}

function createRequestId(attemptId: string): RequestId {
  const unique = randomBytes(ID_BYTES).toString('base64url');
  return asId<RequestId>(`${attemptId}.${unique}`);
}

function headerBytes(request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function headersOf(rawHeaders: readonly string[]): Record<string, string> {
  return Object.fromEntries(
    rawHeaders.flatMap((name, position) =>
      position % 2 === 0
        ? [[name.toLowerCase(), rawHeaders[position + 1] ?? '']]
        : [],
    ),
  );
}
