/**
 * One attempt to run a model call on one upstream of the local domain. When a
 * connection breaks or stalls, the answer is resumed on a new connection.
 */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {
  ModelAnswer,
  ModelUpstream,
  UpstreamPeer,
} from '../adapters/upstream/model_upstream.js';
import {monotonicNowMs} from '../clock/clock.js';
import {ByteBuffer, PIECE_COST_BYTES} from '../http/byte_buffer.js';
import {GatewayError, toGatewayError} from '../types/errors.js';
import {asId, type RequestId} from '../types/ids.js';
import {createTimeLimit, type TimeLimit} from '../utils.js';
import {REQUEST_ID_HEADER, WORK_HEADER} from './answers.js';
import type {ModelRequest} from './request.js';
import {
  StreamRelay,
  type ProgressDeadlines,
  type RelayOutcome,
} from './stream_relay.js';

/** Limit of new connections that one attempt opens to resume its answer. */
const MAX_RESUMES = 2;
const MAX_UNSTREAMED_BYTES = 32 * 1024 * 1024;
const STEP = 'entry.attempt';

/** The outcome of an attempt. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly firstByteAtMs: number;
      readonly pieceCount: number;
    }
  | {
      readonly kind: 'failed';
      readonly error: GatewayError;
      readonly relayedBytes: number;
      /** Whether the connection broke and a new one failed as well. */
      readonly isUpstreamLost: boolean;
    };

/**
 * Whether an error means that the upstream, the error's peer, was lost: its
 * connection broke and a new connection to it failed as well.
 */
export function isUpstreamLoss(error: GatewayError): boolean {
  return error.code === 'unreachable' && error.step === 'upstream.resume';
}

/** Options of an attempt. */
export interface AttemptOptions {
  readonly upstream: ModelUpstream;
  readonly peer: UpstreamPeer;
  readonly request: ModelRequest;
  /** Makes the request id of each attempt unique, so answers are not mixed. */
  readonly attemptNumber: number;
  readonly deadlines: ProgressDeadlines;
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
  readonly onPieceGap: (gapMs: number) => void;
}

/** Runs one attempt. */
export class ModelAttempt {
  private readonly attemptRequestId: RequestId;
  private relay: StreamRelay | undefined;
  private limit: TimeLimit | undefined;
  /** Whether `limit` ends at the request's deadline, not before it. */
  private isLimitDeadline = false;

  constructor(private readonly options: AttemptOptions) {
    const {request, attemptNumber} = options;
    this.attemptRequestId = asId<RequestId>(
      `${request.requestId}.${attemptNumber}`,
    );
  }

  async run(): Promise<AttemptResult> {
    try {
      const answer = await this.open();
      return this.options.request.isStream
        ? await this.relayStream(answer)
        : await this.relayUnstreamed(answer);
    } catch (thrown) {
      const error = toGatewayError(thrown, STEP, this.options.peer.upstreamId);
      if (error.work === 'unknown') this.cancelUpstream();
      return {
        kind: 'failed',
        error,
        relayedBytes: this.relay?.sentBytes ?? 0,
        isUpstreamLost: isUpstreamLoss(error),
      };
    } finally {
      this.limit?.lift();
    }
  }

  private async open(): Promise<ModelAnswer> {
    const {upstream, peer, request, signal, deadlines} = this.options;
    const remainingMs = request.deadlineAtMs - monotonicNowMs();
    const headTimeoutMs = request.isStream
      ? Math.min(remainingMs, deadlines.firstByteTimeoutMs)
      : remainingMs;
    this.isLimitDeadline = headTimeoutMs === remainingMs;
    this.limit = createTimeLimit(headTimeoutMs);
    try {
      const answer = await upstream.open(peer, {
        requestId: this.attemptRequestId,
        path: request.path,
        body: request.body,
        priority: request.rank.priority,
        remainingMs,
        signal: AbortSignal.any([signal, this.limit.signal]),
      });
      // The signal would abort the body as well. A stream has its own progress
      // timeouts, whereas an unstreamed answer must end before the deadline.
      if (request.isStream) this.limit.lift();
      return answer;
    } catch (thrown) {
      if (signal.aborted) throw this.callerDisconnected();
      const error = this.failureOf(thrown);
      if (error.work === 'not_run') throw error;
      // The connection broke or stalled after the call was sent. Only a new
      // connection shows whether the upstream is still reachable.
      return this.resume(0, error);
    }
  }

  private async resume(
    offsetBytes: number,
    cause: GatewayError,
  ): Promise<ModelAnswer> {
    const {upstream, peer, request, signal, deadlines} = this.options;
    if (!request.isStream || cause.code === 'timeout') await this.probe(cause);
    const limit = createTimeLimit(deadlines.pieceTimeoutMs);
    try {
      return await upstream.resume(
        peer,
        this.attemptRequestId,
        offsetBytes,
        AbortSignal.any([signal, limit.signal]),
      );
    } catch (thrown) {
      const error = toGatewayError(thrown, 'upstream.resume', peer.upstreamId);
      throw new GatewayError({
        code: error.code === 'unreachable' ? 'unreachable' : 'upstream_failed',
        message: `${cause.message}; a fresh connection failed as well: ${error.message}`,
        step: 'upstream.resume',
        peer: peer.upstreamId,
        work: 'unknown',
        cause: error,
      });
    } finally {
      limit.lift();
    }
  }

  // An unstreamed answer cannot be resumed. The new connection only tells a
  // lost upstream from a broken connection. Always throws.
  private async probe(cause: GatewayError): Promise<never> {
    const {upstream, peer} = this.options;
    try {
      await upstream.readLoad(peer);
    } catch (thrown) {
      const error = toGatewayError(thrown, 'upstream.probe', peer.upstreamId);
      throw new GatewayError({
        code: error.code === 'unreachable' ? 'unreachable' : 'upstream_failed',
        message: `${cause.message}; the upstream is gone: ${error.message}`,
        step: 'upstream.resume',
        peer: peer.upstreamId,
        work: 'unknown',
        cause: error,
      });
    }
    throw cause;
  }

  private async relayStream(first: ModelAnswer): Promise<AttemptResult> {
    const {response, deadlines, onPieceGap} = this.options;
    const isEventStream = first.contentType.startsWith('text/event-stream');
    this.writeHead(first.contentType);
    const relay = new StreamRelay(
      response,
      isEventStream,
      deadlines,
      onPieceGap,
    );
    this.relay = relay;
    let outcome = await relay.relay(first.body);
    for (
      let resumes = 0;
      canResume(outcome) && resumes < MAX_RESUMES;
      resumes += 1
    ) {
      const answer = await this.resume(
        relay.sentBytes,
        this.endedEarly(outcome),
      );
      outcome = await relay.relay(answer.body);
    }
    if (outcome !== 'complete') throw this.endedEarly(outcome);
    response.end();
    return {
      kind: 'answered',
      firstByteAtMs: relay.firstByteAtMs ?? monotonicNowMs(),
      pieceCount: relay.pieceCount,
    };
  }

  // An unstreamed answer is buffered before its first byte goes to the caller,
  // so that the call can still be retried on another upstream if it breaks off.
  private async relayUnstreamed(answer: ModelAnswer): Promise<AttemptResult> {
    const {response} = this.options;
    const bytes = await this.collect(answer.body);
    const firstByteAtMs = monotonicNowMs();
    this.writeHead(answer.contentType);
    response.setHeader('content-length', String(bytes.length));
    response.end(bytes);
    return {kind: 'answered', firstByteAtMs, pieceCount: 1};
  }

  private async collect(body: Readable): Promise<Buffer> {
    const bytes = new ByteBuffer({
      maxBytes: MAX_UNSTREAMED_BYTES,
      bytesPerPiece: PIECE_COST_BYTES,
    });
    try {
      for await (const chunk of body) {
        if (!bytes.append(chunk as Buffer)) throw this.endedEarly('broken');
      }
    } catch (thrown) {
      if (this.options.signal.aborted) throw this.callerDisconnected();
      return this.probe(this.failureOf(thrown));
    }
    return bytes.take();
  }

  // The error of a call that was already sent: unless the upstream reports that
  // it did not run, its outcome is unknown.
  private failureOf(thrown: unknown): GatewayError {
    const isOverdue =
      this.isLimitDeadline && this.limit?.signal.aborted === true;
    if (thrown instanceof GatewayError && !isOverdue) return thrown;
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return new GatewayError({
      code: isOverdue ? 'timeout' : 'upstream_failed',
      message: isOverdue
        ? 'the deadline passed before the answer was complete'
        : `the answer broke off: ${message}`,
      step: STEP,
      peer: this.options.peer.upstreamId,
      work: 'unknown',
      cause: thrown,
    });
  }

  private writeHead(contentType: string): void {
    const {response, request} = this.options;
    response.statusCode = 200;
    response.setHeader('content-type', contentType);
    response.setHeader('cache-control', 'no-store');
    response.setHeader(REQUEST_ID_HEADER, request.requestId);
    response.setHeader(WORK_HEADER, 'ran');
  }

  private cancelUpstream(): void {
    const {upstream, peer} = this.options;
    // Best effort: an upstream that misses the cancel stops at its deadline.
    upstream.cancel(peer, this.attemptRequestId).catch(() => undefined);
  }

  private endedEarly(outcome: RelayOutcome): GatewayError {
    if (outcome === 'caller_left') return this.callerDisconnected();
    return new GatewayError({
      code: outcome === 'truncated' ? 'truncated' : 'upstream_failed',
      message: `the answer ended early (${outcome})`,
      step: STEP,
      peer: this.options.peer.upstreamId,
      work: 'unknown',
    });
  }

  private callerDisconnected(): GatewayError {
    return new GatewayError({
      code: 'cancelled',
      message: 'the caller left',
      step: STEP,
      peer: 'caller',
      work: 'unknown',
    });
  }
}

function canResume(outcome: RelayOutcome): boolean {
  return (
    outcome === 'broken' || outcome === 'silent' || outcome === 'truncated'
  );
}
