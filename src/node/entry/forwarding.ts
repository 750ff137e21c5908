/**
 * Forwards a request to one entry of another domain. A forwarded request is
 * never forwarded again. The envelope is authenticated, so a caller can neither
 * forge a forwarded request nor hide that a request was forwarded.
 */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {Agent, request as httpRequest, type Dispatcher} from 'undici';
import {z} from 'zod';
import {monotonicNowMs} from '../clock/clock.js';
import {
  AUTHENTICATION_HEADER,
  createCredentials,
} from '../rpc/authentication.js';
import {
  fromErrorBody,
  GatewayError,
  type ErrorBody,
  type WorkState,
} from '../types/errors.js';
import type {InstanceId, UpstreamId} from '../types/ids.js';
import {createTimeLimit} from '../utils.js';
import {REQUEST_ID_HEADER, WORK_HEADER} from './answers.js';
import type {ModelRequest, ServiceRequest} from './request.js';
import {StreamRelay, type ProgressDeadlines} from './stream_relay.js';

/** The path on the inner listener that accepts forwarded requests. */
export const FORWARD_PATH = '/inner/forward';

const CONNECTIONS_PER_PEER = 128;
const KEEP_ALIVE_TIMEOUT_MS = 15_000;
const CONNECT_TIMEOUT_MS = 1_000;
const MAX_ERROR_BYTES = 64 * 1024;
const STEP = 'entry.forward';

const commonFields = {
  requestId: z.string().min(1).max(128),
  workspaceId: z.string().min(1).max(64),
  workloadId: z.string().min(1).max(64),
  path: z.string().max(8_192),
  /** The body in base64. */
  body: z.string(),
  remainingMs: z.number().positive(),
};

/** The schema of a forwarded request as sent between entries. */
export const envelopeSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    ...commonFields,
    /** Time until the first token is due at the receiver; may be negative. */
    firstTokenAllowedMs: z.number(),
    /** Upstreams that the sender knows were lost while running this request. */
    lostUpstreamIds: z.array(z.string().max(128)).max(16),
  }),
  z.strictObject({
    kind: z.literal('service'),
    ...commonFields,
    method: z.string().max(16),
    contentType: z.string().max(256),
    idempotencyKey: z.string().max(128).optional(),
    /** Whether the sending entry generated the idempotency key. */
    isFreshKey: z.boolean(),
  }),
]);

export type ForwardEnvelope = z.infer<typeof envelopeSchema>;

/** Builds the envelope of a model call. */
export function modelEnvelope(
  request: ModelRequest,
  firstTokenAllowedMs: number,
  lostUpstreamIds: readonly UpstreamId[],
  nowMs: number,
): ForwardEnvelope {
  return {
    kind: 'model',
    requestId: request.requestId,
    workspaceId: request.workspace.workspaceId,
    workloadId: request.workload.workloadId,
    path: request.path,
    body: request.body.toString('base64'),
    remainingMs: request.deadlineAtMs - nowMs,
    firstTokenAllowedMs,
    lostUpstreamIds: [...lostUpstreamIds],
  };
}

/** Builds the envelope of a call to a plain service. */
export function serviceEnvelope(
  request: ServiceRequest,
  isFreshKey: boolean,
  nowMs: number,
): ForwardEnvelope {
  return {
    kind: 'service',
    requestId: request.requestId,
    workspaceId: request.workspace.workspaceId,
    workloadId: request.workload.workloadId,
    path: request.path,
    body: request.body.toString('base64'),
    remainingMs: request.deadlineAtMs - nowMs,
    method: request.method,
    contentType: request.contentType,
    ...(request.idempotencyKey === undefined
      ? {}
      : {idempotencyKey: request.idempotencyKey}),
    isFreshKey,
  };
}

/** Sends requests to entries of other domains and relays their answers. */
export abstract class Forwarder {
  /**
   * Forwards one request and relays the answer to the caller. Rejects with a
   * `GatewayError` if it is not answered; `work` says whether the request ran.
   */
  abstract forward(
    address: string,
    envelope: ForwardEnvelope,
    response: ServerResponse,
    signal: AbortSignal,
    deadlines: ProgressDeadlines,
  ): Promise<void>;
  abstract close(): Promise<void>;
}

/** Options of the HTTP forwarder. */
export interface HttpForwarderOptions {
  readonly self: InstanceId;
  readonly clusterSecret: string;
}

/** Forwards requests over HTTP to the inner listeners of other domains. */
export class HttpForwarder extends Forwarder {
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });

  constructor(private readonly options: HttpForwarderOptions) {
    super();
  }

  override async forward(
    address: string,
    envelope: ForwardEnvelope,
    response: ServerResponse,
    signal: AbortSignal,
    deadlines: ProgressDeadlines,
  ): Promise<void> {
    const answer = await this.send(address, envelope, signal);
    requireAnswerTo(envelope, answer, address);
    const work = answer.headers[WORK_HEADER];
    if (answer.statusCode >= 400 && work !== 'ran') {
      throw await this.readError(answer, address);
    }
    await this.relay(answer, address, envelope, response, deadlines);
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    address: string,
    envelope: ForwardEnvelope,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const body = Buffer.from(JSON.stringify(envelope));
    const limit = createTimeLimit(envelope.remainingMs);
    try {
      const answer = await httpRequest(`http://${address}${FORWARD_PATH}`, {
        method: 'POST',
        dispatcher: this.agent,
        body,
        signal: AbortSignal.any([signal, limit.signal]),
        headers: {
          'content-type': 'application/json',
          [AUTHENTICATION_HEADER]: createCredentials(
            this.options.clusterSecret,
            this.options.self,
            FORWARD_PATH,
            body,
          ),
        },
      });
      // The signal would abort the body as well. As in the local domain, a
      // stream that has started is not bound by the deadline.
      if (isEventStream(answer)) limit.lift();
      return answer;
    } catch (thrown) {
      throw this.sendError(thrown, address, signal.aborted);
    }
  }

  private sendError(
    thrown: unknown,
    address: string,
    isCallerDisconnected: boolean,
  ): GatewayError {
    const code = (thrown as {code?: unknown} | null)?.code;
    const notSent =
      code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
    return new GatewayError({
      code: isCallerDisconnected ? 'cancelled' : 'unreachable',
      message: thrown instanceof Error ? thrown.message : String(thrown),
      step: STEP,
      peer: address,
      work: notSent ? 'not_run' : 'unknown',
      cause: thrown,
    });
  }

  private async readError(
    answer: Dispatcher.ResponseData,
    address: string,
  ): Promise<GatewayError> {
    const text = (await answer.body.text()).slice(0, MAX_ERROR_BYTES);
    try {
      const parsed = JSON.parse(text) as {error: ErrorBody};
      return fromErrorBody(parsed.error);
    } catch {
      return new GatewayError({
        code: 'unreachable',
        message: `status ${answer.statusCode} from the other domain`,
        step: STEP,
        peer: address,
        work: (answer.headers[WORK_HEADER] ?? 'unknown') as WorkState,
      });
    }
  }

  private async relay(
    answer: Dispatcher.ResponseData,
    address: string,
    envelope: ForwardEnvelope,
    response: ServerResponse,
    deadlines: ProgressDeadlines,
  ): Promise<void> {
    response.statusCode = answer.statusCode;
    const isStream = isEventStream(answer);
    [
      'content-type',
      // This entry may append an error event to a stream.
      ...(isStream ? [] : ['content-length']),
      WORK_HEADER,
      REQUEST_ID_HEADER,
      'idempotency-key',
    ].forEach(name => {
      const value = answer.headers[name];
      if (value !== undefined) response.setHeader(name, value);
    });
    const remainingMs = envelope.remainingMs;
    const relay = new StreamRelay(response, isStream, {
      firstByteTimeoutMs: isStream ? deadlines.firstByteTimeoutMs : remainingMs,
      pieceTimeoutMs: deadlines.pieceTimeoutMs,
    });
    const startedAtMs = monotonicNowMs();
    const outcome = await relay.relay(answer.body as Readable);
    if (outcome === 'complete') {
      response.end();
      return;
    }
    throw new GatewayError({
      code: outcome === 'caller_left' ? 'cancelled' : 'truncated',
      message: `the answer of the other domain ended early (${outcome}) after ${Math.round(monotonicNowMs() - startedAtMs)} ms`,
      step: STEP,
      peer: address,
      work: 'unknown',
    });
  }
}

// A connection is used for one request after the other, and an error says whether
// this one ran.
function requireAnswerTo(
  {requestId}: ForwardEnvelope,
  {headers, body}: Dispatcher.ResponseData,
  address: string,
): void {
  const answeredId = headers[REQUEST_ID_HEADER];
  if (answeredId === undefined || answeredId === requestId) return;
  body.on('error', () => undefined).destroy();
  throw new GatewayError({
    code: 'unreachable',
    message: 'the answer belongs to another request',
    step: STEP,
    peer: address,
    work: 'unknown',
  });
}

function isEventStream({headers}: Dispatcher.ResponseData): boolean {
  return String(headers['content-type']).startsWith('text/event-stream');
}
