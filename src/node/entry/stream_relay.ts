/**
 * Relays the bytes of an answer to its caller without parsing each token.
 * Progress timeouts detect stalled connections. The end of an event stream is
 * checked, so that a truncated answer is never reported as complete.
 */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {monotonicNowMs} from '../clock/clock.js';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const DONE_EVENT = /(?:^|\n)data: ?\[DONE\]\r?\n\r?\n$/;
// Longer than the longest form of the `[DONE]` event, so that a match at the
// start of the tail cannot begin in the middle of an event.
const TAIL_BYTES = 32;
const UNTERMINATED_DONE_EVENT = /^data: ?\[DONE\]\s*$/;
// A longer event is relayed incomplete, so that memory use stays bounded.
const MAX_INCOMPLETE_EVENT_BYTES = 1024 * 1024;
const EMPTY: Buffer = Buffer.alloc(0);
// A caller that reads no bytes for this long is treated as disconnected.
const CALLER_STALL_TIMEOUT_MS = 30_000;

/** How the relay of one connection's body ended. */
export type RelayOutcome =
  'complete' | 'truncated' | 'broken' | 'silent' | 'caller_left';

/** Timeouts for progress on one answer. */
export interface ProgressDeadlines {
  readonly firstByteTimeoutMs: number;
  readonly pieceTimeoutMs: number;
}

/**
 * Relays one answer to one caller from one or more upstream connections. Of an
 * event stream only complete events are sent, so that an error event after a
 * broken connection is not parsed as the rest of a truncated event.
 */
export class StreamRelay {
  /** Bytes sent to the caller: the offset at which an answer is resumed. */
  sentBytes = 0;
  pieceCount = 0;
  firstByteAtMs: number | undefined;
  lastPieceAtMs: number | undefined;
  /** Buffered start of an event whose end has not been received. */
  private incompleteEvent = EMPTY;
  private lastWritten = EMPTY;

  constructor(
    private readonly response: ServerResponse,
    private readonly isEventStream: boolean,
    private readonly deadlines: ProgressDeadlines,
    private readonly onPiece: (gapMs: number) => void = () => undefined,
  ) {}

  /** Relays until the body ends, breaks, stalls or the caller disconnects. */
  relay(body: Readable): Promise<RelayOutcome> {
    // A resumed answer starts at `sentBytes` and repeats the buffered bytes.
    this.incompleteEvent = EMPTY;
    return new Promise(resolve => {
      let timer: NodeJS.Timeout | undefined;
      let settled = false;
      const finish = (outcome: RelayOutcome): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        this.response.off('close', onCallerDisconnect);
        this.response.off('drain', onDrain);
        if (outcome !== 'complete') body.destroy();
        resolve(outcome);
      };
      const armTimeout = (outcome: RelayOutcome, timeoutMs: number): void => {
        clearTimeout(timer);
        timer = setTimeout(() => finish(outcome), timeoutMs);
      };
      const onCallerDisconnect = (): void => finish('caller_left');
      const onDrain = (): void => {
        armTimeout('silent', this.deadlines.pieceTimeoutMs);
        body.resume();
      };
      const onData = (chunk: Buffer): void => {
        const isFirst = this.firstByteAtMs === undefined;
        const writable = this.forward(chunk);
        if (!writable) {
          // Backpressure: a slow caller must not count as a stalled upstream.
          body.pause();
          armTimeout('caller_left', CALLER_STALL_TIMEOUT_MS);
        } else if (isFirst) {
          armTimeout('silent', this.deadlines.pieceTimeoutMs);
        } else {
          timer?.refresh();
        }
      };
      if (this.response.destroyed) return finish('caller_left');
      armTimeout('silent', this.initialTimeoutMs());
      this.response.on('close', onCallerDisconnect);
      this.response.on('drain', onDrain);
      body.on('data', onData);
      body.on('error', () => finish('broken'));
      body.on('end', () =>
        finish(this.isComplete() ? 'complete' : 'truncated'),
      );
      body.on('close', () => finish('broken'));
    });
  }

  private initialTimeoutMs(): number {
    return this.sentBytes === 0
      ? this.deadlines.firstByteTimeoutMs
      : this.deadlines.pieceTimeoutMs;
  }

  private forward(chunk: Buffer): boolean {
    const nowMs = monotonicNowMs();
    const previousMs = this.lastPieceAtMs;
    this.firstByteAtMs ??= nowMs;
    this.lastPieceAtMs = nowMs;
    this.pieceCount += 1;
    if (previousMs !== undefined) this.onPiece(nowMs - previousMs);
    return this.send(
      this.isEventStream ? this.takeCompleteEvents(chunk) : chunk,
    );
  }

  private send(part: Buffer): boolean {
    if (part.length === 0) return true;
    this.sentBytes += part.length;
    this.lastWritten = part;
    return this.response.write(part);
  }

  private takeCompleteEvents(chunk: Buffer): Buffer {
    const bytes =
      this.incompleteEvent.length === 0
        ? chunk
        : Buffer.concat([this.incompleteEvent, chunk]);
    const end = endOfLastEvent(bytes);
    if (
      end === bytes.length ||
      bytes.length - end > MAX_INCOMPLETE_EVENT_BYTES
    ) {
      this.incompleteEvent = EMPTY;
      return bytes;
    }
    this.incompleteEvent = bytes.subarray(end);
    return bytes.subarray(0, end);
  }

  private isComplete(): boolean {
    if (!this.isEventStream) return true;
    if (UNTERMINATED_DONE_EVENT.test(this.incompleteEvent.toString('latin1'))) {
      this.send(Buffer.from('data: [DONE]\n\n'));
      return true;
    }
    const tail = this.lastWritten.subarray(-TAIL_BYTES).toString('latin1');
    return this.incompleteEvent.length === 0 && DONE_EVENT.test(tail);
  }
}

/** The offset after the last blank line; 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
  const last = bytes.length - 1;
  if (bytes[last] === LINE_FEED) {
    const before = bytes[last - 1] === CARRIAGE_RETURN ? last - 2 : last - 1;
    if (bytes[before] === LINE_FEED) return bytes.length;
  }
  const lastLfLf = bytes.lastIndexOf('\n\n');
  const lastLfCrLf = bytes.lastIndexOf('\n\r\n');
  return Math.max(
    lastLfLf < 0 ? 0 : lastLfLf + 2,
    lastLfCrLf < 0 ? 0 : lastLfCrLf + 3,
  );
}
