/** Client for model engines with an OpenAI-compatible HTTP API. */
import type {Readable} from 'node:stream';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {readBoundedJson} from '../../../http/bounded_body.js';
import {isFramed} from '../../../http/response_end.js';
import {createSingleUseAgent} from '../../../http/single_use_agent.js';
import {GatewayError, type ErrorCode} from '../../../types/errors.js';
import {asId, type ModelId, type RequestId} from '../../../types/ids.js';
import {timeoutSignal} from '../../../utils.js';
import {
  ModelUpstream,
  type ModelAnswer,
  type ModelCall,
  type UpstreamLoad,
  type UpstreamOrder,
  type UpstreamPeer,
} from '../model_upstream.js';

const REQUEST_ID_HEADER = 'x-request-id';
const CONNECT_TIMEOUT_MS = 1_000;
const CONTROL_TIMEOUT_MS = 1_000;
const MAX_LOAD_BYTES = 1024 * 1024;

const loadSchema = z.object({
  runningCount: z.number(),
  queuedCount: z.number(),
  slotCount: z.number(),
  loadedModelIds: z.array(z.string()),
  leaving: z.boolean(),
  cacheSequence: z.number(),
});

// Codes of errors that `undici` raises before any byte of the request is sent.
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

// Statuses for an invalid request, which every engine would refuse.
const INVALID_REQUEST_STATUSES: ReadonlySet<number> = new Set([400, 413, 422]);

// A body delimited only by the close of its connection looks complete when it
// is truncated. Event streams are safe, because their last event marks the end.
function isTruncationDetectable({headers}: Dispatcher.ResponseData): boolean {
  return (
    isFramed(headers) ||
    String(headers['content-type']).startsWith('text/event-stream')
  );
}

/** Whether the answer bears the id of another request. */
function namesAnother(
  {headers}: Dispatcher.ResponseData,
  requestId: RequestId,
): boolean {
  const answeredId = headers[REQUEST_ID_HEADER];
  return answeredId !== undefined && answeredId !== requestId;
}

/** The error of a request that the engine refused before it ran, if it did. */
function refusalOf(
  {headers, statusCode}: Dispatcher.ResponseData,
  {upstreamId: peer}: UpstreamPeer,
): GatewayError | undefined {
  const refusal = {step: 'upstream.open', peer, work: 'not_run'} as const;
  if (headers['x-not-run'] !== undefined) {
    return new GatewayError({
      ...refusal,
      code: 'upstream_refused',
      message: 'the upstream refused the work before it ran',
    });
  }
  return INVALID_REQUEST_STATUSES.has(statusCode)
    ? new GatewayError({
        ...refusal,
        code: statusCode === 413 ? 'too_large' : 'bad_request',
        message: `the model engine refused the request with status ${statusCode}`,
      })
    : undefined;
}

function errorCodeOf(thrown: unknown): string {
  const code = (thrown as {code?: unknown} | null)?.code;
  return typeof code === 'string' ? code : '';
}

function toGatewayError(thrown: unknown, peer: UpstreamPeer): GatewayError {
  if (thrown instanceof GatewayError) return thrown;
  const notSent = NOT_SENT_CODES.has(errorCodeOf(thrown));
  const aborted = thrown instanceof Error && thrown.name === 'AbortError';
  const code: ErrorCode = notSent
    ? 'unreachable'
    : aborted
      ? 'cancelled'
      : 'upstream_failed';
  return new GatewayError({
    code,
    message: thrown instanceof Error ? thrown.message : String(thrown),
    step: 'upstream.open',
    peer: peer.upstreamId,
    work: notSent ? 'not_run' : 'unknown',
    cause: thrown,
  });
}

/** Client for OpenAI-compatible engines. */
export class OpenAiUpstream extends ModelUpstream {
  // Engines may omit the request id, and the answers to orders have none. A kept
  // connection may also have stalled unnoticed.
  private readonly agent = createSingleUseAgent(CONNECT_TIMEOUT_MS);

  override async open(
    peer: UpstreamPeer,
    call: ModelCall,
  ): Promise<ModelAnswer> {
    const answer = await this.send(peer, call.path, {
      method: 'POST',
      body: call.body,
      signal: call.signal,
      headers: {
        'content-type': 'application/json',
        [REQUEST_ID_HEADER]: call.requestId,
        'x-priority': String(call.priority),
        'x-deadline-ms': String(Math.round(call.remainingMs)),
      },
    });
    const refusal = namesAnother(answer, call.requestId)
      ? undefined
      : refusalOf(answer, peer);
    if (refusal !== undefined) {
      await answer.body.dump();
      throw refusal;
    }
    return this.validateAnswer(answer, peer, call.requestId, 0);
  }

  override async resume(
    peer: UpstreamPeer,
    requestId: RequestId,
    offsetBytes: number,
    signal: AbortSignal,
  ): Promise<ModelAnswer> {
    const path = `/v1/streams/${encodeURIComponent(requestId)}`;
    const answer = await this.send(peer, `${path}?offset=${offsetBytes}`, {
      method: 'GET',
      signal,
    });
    return this.validateAnswer(answer, peer, requestId, offsetBytes, true);
  }

  override async cancel(
    peer: UpstreamPeer,
    requestId: RequestId,
  ): Promise<void> {
    const path = `/v1/streams/${encodeURIComponent(requestId)}`;
    const answer = await this.send(peer, path, {
      method: 'DELETE',
      signal: timeoutSignal(CONTROL_TIMEOUT_MS),
    });
    await answer.body.dump();
  }

  override async readLoad(peer: UpstreamPeer): Promise<UpstreamLoad> {
    const answer = await this.send(peer, '/load', {
      method: 'GET',
      signal: timeoutSignal(CONTROL_TIMEOUT_MS),
    });
    const load = loadSchema.parse(
      await readBoundedJson(answer.body, MAX_LOAD_BYTES, peer.upstreamId),
    );
    return {
      ...load,
      loadedModelIds: load.loadedModelIds.map(id => asId<ModelId>(id)),
    };
  }

  override async order(
    peer: UpstreamPeer,
    order: UpstreamOrder,
  ): Promise<boolean> {
    const answer = await this.send(peer, '/orders', {
      method: 'POST',
      body: JSON.stringify(order),
      headers: {'content-type': 'application/json'},
      signal: timeoutSignal(CONTROL_TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    peer: UpstreamPeer,
    path: string,
    options: Omit<Dispatcher.RequestOptions, 'path' | 'origin'>,
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await request(`http://${peer.address}${path}`, {
        dispatcher: this.agent,
        ...options,
      });
    } catch (thrown) {
      throw toGatewayError(thrown, peer);
    }
  }

  // Relaying an answer for another request or offset would mix up the answers
  // of two callers, so such an answer fails before its first byte is relayed.
  private validateAnswer(
    answer: Dispatcher.ResponseData,
    peer: UpstreamPeer,
    requestId: RequestId,
    offsetBytes: number,
    isResume = false,
  ): ModelAnswer {
    const {headers} = answer;
    const answeredOffset = Number(headers['x-stream-offset'] ?? 0);
    // A call is the only one on its connection, so the answer may omit the
    // request ID. A resumed answer must carry it.
    const isForRequest =
      !namesAnother(answer, requestId) &&
      (!isResume || headers[REQUEST_ID_HEADER] !== undefined);
    const mayBeTruncated = !isTruncationDetectable(answer);
    if (
      answer.statusCode === 200 &&
      isForRequest &&
      !mayBeTruncated &&
      answeredOffset === offsetBytes
    ) {
      return {
        status: answer.statusCode,
        contentType: String(headers['content-type'] ?? 'application/json'),
        offsetBytes,
        body: answer.body as Readable,
      };
    }
    answer.body.on('error', () => undefined).destroy();
    throw new GatewayError({
      code: 'upstream_failed',
      message:
        answer.statusCode === 200
          ? mayBeTruncated
            ? 'the end of the answer could not be recognised'
            : 'the answer belongs to another request or offset'
          : `the upstream answered with status ${answer.statusCode}`,
      step: 'upstream.open',
      peer: peer.upstreamId,
      work: 'unknown',
    });
  }
}
