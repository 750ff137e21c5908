/**
 * Reads the answer of one try and hands it to the caller: plain answers whole,
 * streams event by event.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import type {CallerAnswer, Framing} from './caller_answer.js';
import {
  EventLengthLimit,
  EventSplitter,
  type EventBatch,
} from './event_splitter.js';
import type {AnswerSink} from './exchange.js';
import {NOT_RUN_HEADER} from './final_answers.js';
import type {ResponseTraits, RequestProtocol} from './protocol.js';

/** How far a stream has come over all tries of a request. */
export interface StreamProgress {
  lastEventId: number | undefined;
  /** Whether the caller has got any event. */
  isStarted: boolean;
  lastEventAtMs: number;
  /** Longest pause between two events so far. */
  longestGapMs: number;
}

export interface AnswerReaderOptions {
  readonly protocol: RequestProtocol;
  readonly answer: CallerAnswer;
  readonly attemptId: string;
  readonly isStream: boolean;
  /** Whether the stream may go on elsewhere after a whole event. */
  readonly isResumable: boolean;
  readonly progress: StreamProgress;
  /** Whether another entry answers, which may refuse for itself. */
  readonly isFromPeer: boolean;
  readonly onFirstAnswer: () => void;
}

/** What the head of an answer was. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly traits: ResponseTraits;
}

/** A longer answer that is kept whole is given up, with its connection. */
const MAX_WHOLE_ANSWER_BYTES = 4 * 1024 * 1024;
const MIN_SUCCESS = 200;
const MIN_REDIRECT = 300;

/** The sink of one try. */
export class AnswerReader implements AnswerSink {
  head: AnswerHead | undefined;
  /** When the last bytes of the answer arrived; 0 before the first ones. */
  lastBytesAtMs = 0;
  private readonly splitter = new EventSplitter();
  private readonly eventLength = new EventLengthLimit();
  private readonly chunks: Buffer[] = [];
  private keptBytes = 0;
  private isRelaying = false;

  constructor(private readonly options: AnswerReaderOptions) {}

  get isSuccess(): boolean {
    const status = this.head?.status ?? 0;
    return status >= MIN_SUCCESS && status < MIN_REDIRECT;
  }

  /** How the end of the answer is marked. */
  get framing(): Framing {
    const headers = this.head?.headers ?? {};
    const isFramed =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    return isFramed ? 'framed' : 'until_close';
  }

  /** Another entry refused the request before it reached an upstream. */
  get isRefusedByPeer(): boolean {
    const {isFromPeer} = this.options;
    return isFromPeer && this.head?.headers[NOT_RUN_HEADER] !== undefined;
  }

  /** The body of an answer that is not relayed event by event. */
  body(): Buffer {
    return Buffer.concat(this.chunks);
  }

  onHead(status: number, headers: IncomingHttpHeaders): void {
    const {protocol, attemptId, isStream} = this.options;
    const traits = protocol.responseTraits(status, headers);
    if (traits.attemptId !== undefined && traits.attemptId !== attemptId) {
      throw new Error('the answer belongs to another request');
    }
    this.head = {status, headers, traits};
    if (this.isSuccess && (!traits.isSigned || traits.isEncoded)) {
      throw new Error('the answer is not signed by the upstream');
    }
    this.isRelaying = isStream && this.isSuccess;
    if (!isStream) this.options.onFirstAnswer();
  }

  onData(chunk: Buffer, resume: () => void): boolean {
    this.lastBytesAtMs = monotonicNowMs();
    if (!this.isRelaying) {
      this.keep(chunk);
      return true;
    }
    this.eventLength.note(chunk);
    if (!this.options.isResumable) return this.relayBytes(chunk, resume);
    const batch = this.splitter.push(chunk);
    return batch === undefined ? true : this.relay(batch, resume);
  }

  /** The upstream ended its answer properly. */
  finishStream(): void {
    const {answer} = this.options;
    this.beginOnce();
    const rest = this.splitter.takeRest();
    if (rest.length > 0) answer.write(rest, () => undefined);
    answer.end();
  }

  private keep(chunk: Buffer): void {
    this.keptBytes += chunk.length;
    if (this.keptBytes > MAX_WHOLE_ANSWER_BYTES) {
      this.chunks.length = 0;
      throw new Error(`an answer of over ${MAX_WHOLE_ANSWER_BYTES} bytes`);
    }
    this.chunks.push(chunk);
  }

  private relayBytes(bytes: Buffer, resume: () => void): boolean {
    const {answer, progress} = this.options;
    this.beginOnce();
    noteEvent(progress, monotonicNowMs());
    return answer.write(bytes, resume);
  }

  private relay(batch: EventBatch, resume: () => void): boolean {
    const {progress} = this.options;
    const expected =
      progress.lastEventId === undefined ? undefined : progress.lastEventId + 1;
    if (progress.isStarted && expected !== undefined) {
      const isNext = batch.firstId === undefined || batch.firstId === expected;
      if (!isNext) throw new Error('an event of the stream is missing');
    }
    progress.lastEventId = batch.lastId ?? progress.lastEventId;
    return this.relayBytes(batch.bytes, resume);
  }

  private beginOnce(): void {
    const {answer, protocol, progress, onFirstAnswer} = this.options;
    if (progress.isStarted || this.head === undefined) return;
    progress.isStarted = true;
    onFirstAnswer();
    const headers = protocol.callerHeaders(this.head.headers);
    answer.begin(this.head.status, headers, this.framing);
  }
}

function noteEvent(progress: StreamProgress, nowMs: number): void {
  if (progress.lastEventAtMs > 0) {
    const gapMs = nowMs - progress.lastEventAtMs;
    progress.longestGapMs = Math.max(progress.longestGapMs, gapMs);
  }
  progress.lastEventAtMs = nowMs;
}
