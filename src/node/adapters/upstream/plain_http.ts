/** Sends requests to plain services over HTTP/1.1 with `undici`. */
import {createHash} from 'node:crypto';
import type {Agent, Dispatcher} from 'undici';
import {monotonicNowMs} from '../../clock/clock.js';
import {ResponseEndCheck} from '../../dispatch/response_end_check.js';
import type {Liveness} from '../../dispatch/upstream_feed.js';
import {probeLiveness} from '../../http/liveness.js';
import {isFramed} from '../../http/response_end.js';
import {createSingleUseAgent} from '../../http/single_use_agent.js';
import {ByteBuffer, PIECE_COST_BYTES} from '../../http/byte_buffer.js';
import {GatewayError} from '../../types/errors.js';
import {asId, type Digest} from '../../types/ids.js';
import {
  ServiceUpstream,
  type DispatchOutcome,
  type ServiceAnswer,
  type ServiceRequest,
  type ServiceTarget,
} from './plain_service.js';

const STEP = 'upstream.plain';

/**
 * Hop-by-hop headers and the caller's credentials, which are not relayed.
 * `undici` sets the connection headers that it needs.
 */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Codes of `undici` errors raised before any byte of the request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_CLOSED',
]);

/** Settings of the HTTP adapter. */
export interface PlainHttpUpstreamOptions {
  /** @default 1000 */
  readonly connectTimeoutMs?: number;
  /**
   * Maximum size of a returned body. For larger bodies only the digest and size
   * are returned. @default 8 MiB
   */
  readonly maxAnswerBytes?: number;
}

/** Whether the error proves that the request was not sent. */
export function failedBeforeSending(error: unknown): boolean {
  const {code, syscall} = error as {code?: unknown; syscall?: unknown};
  return syscall === 'connect' || NOT_SENT_CODES.has(String(code));
}

function relayedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !DROPPED_HEADERS.has(name.toLowerCase()))
      .map(([name, value]) => [
        name.toLowerCase(),
        Array.isArray(value) ? value.join(', ') : (value ?? ''),
      ]),
  );
}

function retryAfterMs(value: string | undefined): number | undefined {
  const seconds = Number(value);
  return value === undefined || !Number.isFinite(seconds) || seconds < 0
    ? undefined
    : seconds * 1_000;
}

/** Larger bodies are aborted, because they may be endless. */
const MAX_DIGESTED_BYTES = 64 * 1024 * 1024;

/** Digests the complete body; includes it only if it is within `maxBytes`. */
async function readAnswer(
  response: Dispatcher.ResponseData,
  headers: Record<string, string>,
  maxBytes: number,
): Promise<ServiceAnswer> {
  const hash = createHash('sha256');
  const kept = new ByteBuffer({maxBytes});
  let bodySizeBytes = 0;
  let chunks = 0;
  for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
    hash.update(chunk);
    bodySizeBytes += chunk.byteLength;
    chunks += 1;
    if (bodySizeBytes + chunks * PIECE_COST_BYTES > MAX_DIGESTED_BYTES) {
      throw new Error(`an answer of over ${MAX_DIGESTED_BYTES} bytes`);
    }
    if (bodySizeBytes <= maxBytes) kept.append(chunk);
  }
  return {
    status: response.statusCode,
    headers,
    bodyDigest: asId<Digest>(hash.digest('hex')),
    bodySizeBytes,
    ...(bodySizeBytes <= maxBytes ? {body: kept.take()} : {}),
  };
}

/** Sends requests to plain services over HTTP. */
export class PlainHttpUpstream extends ServiceUpstream {
  private readonly agent: Agent;
  private readonly maxAnswerBytes: number;
  private readonly responseEnds = new ResponseEndCheck(({address}, timeoutMs) =>
    pingService(address, timeoutMs),
  );

  constructor(options: PlainHttpUpstreamOptions = {}) {
    super();
    this.maxAnswerBytes = options.maxAnswerBytes ?? 8 * 1024 * 1024;
    // Answers bear no id, and on a kept connection that is closed or stalled it
    // would be unknown whether a call ran.
    this.agent = createSingleUseAgent(options.connectTimeoutMs ?? 1_000);
  }

  override async dispatch(
    target: ServiceTarget,
    request: ServiceRequest,
    deadlineAtMs: number,
  ): Promise<DispatchOutcome> {
    const controller = new AbortController();
    const timer = setTimeout(
      () => controller.abort(),
      Math.max(0, deadlineAtMs - monotonicNowMs()),
    );
    try {
      const response = await this.agent.request({
        origin: `http://${target.address}`,
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: relayedHeaders(request.headers),
        body: request.body.byteLength === 0 ? null : request.body,
        signal: controller.signal,
      });
      return await this.readOutcome(target, response);
    } catch (error) {
      return failedOutcome(target, error);
    } finally {
      clearTimeout(timer);
    }
  }

  override async close(): Promise<void> {
    await this.agent.close();
  }

  private async hasEnded({
    upstreamId,
    address,
  }: ServiceTarget): Promise<boolean> {
    const completeness = await this.responseEnds.check({
      upstreamId,
      address,
      isStream: false,
      isLeaving: false,
    });
    return completeness === 'broken_off';
  }

  private async readOutcome(
    target: ServiceTarget,
    response: Dispatcher.ResponseData,
  ): Promise<DispatchOutcome> {
    const headers = relayedHeaders(response.headers);
    if (response.statusCode === 503 && headers['x-not-run'] === '1') {
      // The refusal is valid even if reading its body fails.
      await response.body.dump().catch(() => undefined);
      return {
        kind: 'not_run',
        error: new GatewayError({
          code: 'upstream_refused',
          message: 'the upstream refused the call before running it',
          step: STEP,
          peer: target.upstreamId,
          retryAfterMs: retryAfterMs(headers['retry-after']),
        }),
      };
    }
    const answer = await readAnswer(response, headers, this.maxAnswerBytes);
    if (!isFramed(response.headers) && (await this.hasEnded(target))) {
      throw new Error('the service has ended with its answer');
    }
    return {kind: 'answered', answer};
  }
}

/** Asks for nothing but a sign of life, on any path. */
async function pingService(
  address: string,
  timeoutMs: number,
): Promise<Liveness> {
  const probe = {address, method: 'OPTIONS', path: '*', timeoutMs};
  const result = await probeLiveness(probe);
  return result.kind === 'alive'
    ? {kind: 'alive', upstreamId: undefined}
    : result;
}

function failedOutcome(target: ServiceTarget, error: unknown): DispatchOutcome {
  const kind = failedBeforeSending(error) ? 'not_run' : 'unknown';
  const cause = error instanceof Error ? error.message : String(error);
  return {
    kind,
    error: new GatewayError({
      code: kind === 'not_run' ? 'unreachable' : 'upstream_failed',
      message:
        kind === 'not_run'
          ? `the upstream could not be reached: ${cause}`
          : `no whole answer came back: ${cause}`,
      step: STEP,
      peer: target.upstreamId,
      work: kind,
      cause: error,
    }),
  };
}
