/**
 * Reads the response of one try. Plain responses are buffered until complete;
 * streams are relayed to the caller as they arrive, event by event if they can
 * be resumed.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import {ByteBuffer, PIECE_COST_BYTES} from '../http/byte_buffer.js';
import {MAX_WHOLE_RESPONSE_BYTES} from '../http/held_bytes.js';
import {isFramed} from '../http/response_end.js';
import type {Completeness} from '../dispatch/response_end_check.js';
import type {BegunStream} from '../scheduling/types.js';
import {asId, type SoftwareVersion} from '../types/ids.js';
import type {CallerResponse, Framing} from './caller_response.js';
import {EventMeter, EventSplitter, type EventBatch} from './event_splitter.js';
import {ExtraAnswerError, type ResponseSink} from './exchange.js';
import {
  NOT_RUN_HEADER,
  type NotRun,
  SOFTWARE_VERSION_HEADER,
  UNFRAMED_HEADER,
  withoutInnerHeaders,
} from './inner_headers.js';
import type {HeaderPair, ResponseTraits, RequestProtocol} from './protocol.js';
import {isSuccessStatus} from './response_status.js';

/** Progress of a stream, over all tries of its request. */
export interface StreamProgress {
  lastEventId: number | undefined;
  /** Whether the response to the caller has begun. */
  isStarted: boolean;
  /** Set once the caller has events, from this response or an earlier one. */
  begun: BegunStream | undefined;
  lastEventAtMs: number;
  /** Longest gap between two events so far. */
  longestGapMs: number;
}

export interface ResponseReaderOptions {
  readonly protocol: RequestProtocol;
  readonly response: CallerResponse;
  readonly attemptId: string;
  readonly isStream: boolean;
  /** Whether another upstream can resume the stream after a complete event. */
  readonly isResumable: boolean;
  readonly progress: StreamProgress;
  /** Whether the peer is another entry, which can itself refuse the request. */
  readonly isFromPeer: boolean;
  /** Whether the response goes to another entry. */
  readonly isForPeer: boolean;
  /** The version of the upstream, unless another entry has to name it. */
  readonly softwareVersion?: SoftwareVersion | undefined;
  readonly onHead?: (head: ResponseHead) => void;
  /** Called for the answer to another request, which ends the exchange. */
  readonly onExtraAnswer?: (answer: ExtraAnswer) => void;
  readonly onResponseStart: () => void;
  /** Called if a plain response is begun after this many bytes of it. */
  readonly onEarlyStart?: (bytes: number) => void;
  /** Called on progress, with the time of the previous one or 0. */
  readonly onProgress?: (previousAtMs: number, nowMs: number) => void;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly traits: ResponseTraits;
}

/** An answer that is not the one to the request that was sent. */
export interface ExtraAnswer {
  readonly status: number;
  /** The attempt that it names. */
  readonly namedAttemptId: string | undefined;
}

/** Receives the response of one try. */
export class ResponseReader implements ResponseSink {
  head: ResponseHead | undefined;
  /** Whether the response is relayed as it arrives, and not buffered. */
  isRelaying = false;
  /**
   * Whether a plain response was begun before it was whole, for want of room. No
   * other try can go on with it.
   */
  isEarly = false;
  private lastProgressAtMs = 0;
  /** Whether the caller has yet to read what was written. */
  private isCallerBehind = false;
  /** Bytes of a plain response with the cost of its pieces; limited also if begun early. */
  private chargedBytes = 0;
  private foundCompleteness: Completeness | undefined;
  private readonly splitter = new EventSplitter();
  private readonly meter = new EventMeter();
  private readonly buffered = new ByteBuffer({
    maxBytes: MAX_WHOLE_RESPONSE_BYTES,
    bytesPerPiece: PIECE_COST_BYTES,
  });

  /** Ends the wait for room; the exchange has ended. */
  endWait: () => void = () => undefined;

  constructor(private readonly options: ResponseReaderOptions) {}

  /**
   * When the response last made progress; 0 before that. In a resumable stream
   * only whole events are progress: single bytes never complete a response. While
   * the caller does not read, its upstream is not at fault.
   */
  get progressAtMs(): number {
    return this.isCallerBehind ? monotonicNowMs() : this.lastProgressAtMs;
  }

  get isSuccess(): boolean {
    return isSuccessStatus(this.head?.status ?? 0);
  }

  /**
   * Whether a stream whose end is only marked by that of its connection has
   * ended inside an event or before the first one: its upstream broke it off.
   */
  get isTorn(): boolean {
    if (!this.isRelaying || this.framing === 'framed') return false;
    return this.meter.isInsideEvent || this.meter.isEmpty;
  }

  /** Whether another entry refused the request, which did not run. */
  get isRefusedByPeer(): boolean {
    return this.peerRefusal !== undefined;
  }

  /** Whether it did so before any upstream got the request. */
  get isUnsentByPeer(): boolean {
    const unsent: NotRun = 'unsent';
    return this.peerRefusal === unsent;
  }

  /** How the upstream marked the end of the response. */
  get framing(): Framing {
    const {head} = this;
    if (head === undefined || !isFramed(head.headers)) return 'until_close';
    return this.namedCompleteness === undefined ? 'framed' : 'until_close';
  }

  /** What is known of a response whose end the upstream has not marked. */
  get completeness(): Completeness {
    return this.foundCompleteness ?? this.namedCompleteness ?? 'unknown';
  }

  /** The body of a buffered response. */
  body(): Buffer {
    return this.buffered.view();
  }

  onHead(status: number, headers: IncomingHttpHeaders): void {
    const {protocol, isStream} = this.options;
    const traits = protocol.responseTraits(status, headers);
    if (this.isExtraAnswer(traits)) {
      const namedAttemptId = traits.attemptId;
      this.options.onExtraAnswer?.({status, namedAttemptId});
      throw new ExtraAnswerError(
        namedAttemptId === undefined
          ? 'refusal carries no attempt id'
          : 'response carries the attempt id of another request',
      );
    }
    this.head = {status, headers, traits};
    this.options.onHead?.(this.head);
    if (this.isSuccess && (!traits.isSigned || traits.isEncoded)) {
      throw new Error('successful response is unsigned or content-encoded');
    }
    this.isRelaying = isStream && this.isSuccess;
    this.buffered.expect(Number(headers['content-length'] ?? 0));
    if (!isStream) this.options.onResponseStart();
  }

  onData(chunk: Buffer, resume: () => void): boolean {
    if (!this.isRelaying || this.isEarly) {
      this.noteProgress();
      return this.takePlain(chunk, resume);
    }
    this.meter.add(chunk);
    if (!this.options.isResumable) return this.relayBytes(chunk, resume);
    const batch = this.splitter.push(chunk);
    return batch === undefined ? true : this.relayEvents(batch, resume);
  }

  /** Records what was found out about a response without a marked end. */
  noteCompleteness(completeness: Completeness): void {
    this.foundCompleteness = completeness;
  }

  /** Ends the caller's stream after the upstream completed its response. */
  finishStream(): void {
    const {response} = this.options;
    this.beginOnce();
    const rest = this.splitter.takeRemainder();
    if (rest.length > 0) response.write(rest, () => undefined);
    response.end();
  }

  private get peerRefusal(): string | string[] | undefined {
    const {isFromPeer} = this.options;
    return isFromPeer ? this.head?.headers[NOT_RUN_HEADER] : undefined;
  }

  // Upstreams name the attempt in each refusal. One without a name may be that of any
  // request on the connection.
  private isExtraAnswer({attemptId: named, isNotRun}: ResponseTraits): boolean {
    const {attemptId, isFromPeer} = this.options;
    if (named !== undefined) return named !== attemptId;
    return isNotRun && attemptId !== '' && !isFromPeer;
  }

  // Without room the response is begun before it is whole: its caller loses another
  // try if the upstream breaks off, but does not wait for others that read slowly. One
  // whose end is not marked waits unread, as it must not end before its end is known.
  private takePlain(chunk: Buffer, resume: () => void): boolean {
    this.chargedBytes += chunk.length + PIECE_COST_BYTES;
    if (this.chargedBytes > MAX_WHOLE_RESPONSE_BYTES) {
      throw new Error(
        `response exceeds ${MAX_WHOLE_RESPONSE_BYTES} bytes or has too many chunks`,
      );
    }
    if (this.isEarly) return this.write(chunk, resume);
    if (this.bufferNow(chunk)) return true;
    if (this.isSuccess && this.framing === 'framed') {
      this.relayEarly(chunk, resume);
      return false;
    }
    this.endWait();
    const {holding} = this.options.response;
    const stopWaiting = holding?.whenRoom(() => {
      this.noteProgress();
      if (!this.bufferNow(chunk)) return false;
      resume();
      return true;
    });
    this.endWait = () => stopWaiting?.();
    return false;
  }

  /** False, and nothing changed, if the entry has no room. */
  private bufferNow(chunk: Buffer): boolean {
    const {holding} = this.options.response;
    const capacityBytes = this.buffered.capacityWith(chunk.length);
    if (holding?.resize('response', capacityBytes) === false) return false;
    return this.buffered.append(chunk);
  }

  private relayEarly(chunk: Buffer, resume: () => void): void {
    const {response, progress, onEarlyStart} = this.options;
    const {holding} = response;
    this.isRelaying = true;
    this.isEarly = true;
    progress.isStarted = true;
    onEarlyStart?.(this.buffered.length);
    response.begin(this.head?.status ?? 0, [
      ...this.callerHeaders(),
      ...this.announcedLength(),
    ]);
    holding?.endResponse();
    if (holding !== undefined) holding.keepsUpstream = true;
    this.isCallerBehind = true;
    response.writeInPieces(this.buffered.view(), () => {
      this.buffered.take();
      holding?.resize('response', 0);
      // Not before the exchange has paused.
      setImmediate(() => {
        if (this.write(chunk, resume)) resume();
      });
    });
  }

  private announcedLength(): readonly HeaderPair[] {
    const length = this.head?.headers['content-length'];
    return length === undefined ? [] : [['content-length', length]];
  }

  private write(bytes: Buffer, resume: () => void): boolean {
    const isTaken = this.options.response.write(bytes, () => {
      this.isCallerBehind = false;
      this.lastProgressAtMs = monotonicNowMs();
      resume();
    });
    this.isCallerBehind = !isTaken;
    return isTaken;
  }

  private relayBytes(bytes: Buffer, resume: () => void): boolean {
    this.beginOnce();
    this.noteProgress();
    recordEventTime(this.options.progress, this.lastProgressAtMs);
    return this.write(bytes, resume);
  }

  private noteProgress(): void {
    const previousAtMs = this.lastProgressAtMs;
    this.lastProgressAtMs = monotonicNowMs();
    this.options.onProgress?.(previousAtMs, this.lastProgressAtMs);
  }

  private relayEvents(batch: EventBatch, resume: () => void): boolean {
    const {progress} = this.options;
    const expected =
      progress.lastEventId === undefined ? undefined : progress.lastEventId + 1;
    if (progress.isStarted && expected !== undefined) {
      const isNext = batch.firstId === undefined || batch.firstId === expected;
      if (!isNext) throw new Error('stream event ids are not consecutive');
    }
    progress.lastEventId = batch.lastId ?? progress.lastEventId;
    return this.relayBytes(batch.bytes, resume);
  }

  private beginOnce(): void {
    const {response, progress, onResponseStart} = this.options;
    if (progress.isStarted || this.head === undefined) return;
    progress.isStarted = true;
    progress.begun ??= {softwareVersion: this.softwareVersion()};
    onResponseStart();
    // Of an earlier try that failed.
    response.holding?.resize('response', 0);
    response.begin(this.head.status, this.callerHeaders());
  }

  /** What the entry that relayed the response says; `undefined` if it is framed. */
  private get namedCompleteness(): Completeness | undefined {
    const named = this.head?.headers[UNFRAMED_HEADER];
    if (!this.options.isFromPeer || named === undefined) return undefined;
    return named === 'complete' ? 'complete' : 'unknown';
  }

  private softwareVersion(): SoftwareVersion | undefined {
    const {isFromPeer, softwareVersion} = this.options;
    if (!isFromPeer) return softwareVersion;
    const named = this.head?.headers[SOFTWARE_VERSION_HEADER];
    return typeof named === 'string' ? asId<SoftwareVersion>(named) : undefined;
  }

  private callerHeaders(): readonly HeaderPair[] {
    const {protocol, isForPeer, progress} = this.options;
    const headers = withoutInnerHeaders(
      protocol.callerHeaders(this.head?.headers ?? {}),
    );
    const version = progress.begun?.softwareVersion;
    return isForPeer && version !== undefined
      ? [...headers, [SOFTWARE_VERSION_HEADER, version]]
      : headers;
  }
}

function recordEventTime(progress: StreamProgress, nowMs: number): void {
  if (progress.lastEventAtMs > 0) {
    const gapMs = nowMs - progress.lastEventAtMs;
    progress.longestGapMs = Math.max(progress.longestGapMs, gapMs);
  }
  progress.lastEventAtMs = nowMs;
}
