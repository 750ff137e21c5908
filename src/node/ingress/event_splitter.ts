/** Splits a stream of server-sent events at event boundaries. */
import {ByteBuffer, PIECE_COST_BYTES} from '../http/byte_buffer.js';

const EMPTY = Buffer.alloc(0);
/** Blank lines, with each of the line ends that streams may use. */
const ENDS_OF_EVENT = ['\n\n', '\r\n\r\n', '\r\r'].map(end => Buffer.from(end));
/** Bytes of an end that may stand in an earlier chunk. */
const MAX_SPLIT_BYTES = 3;
/** A stream with a longer event, or one in as many pieces, is aborted. */
const MAX_EVENT_BYTES = 1024 * 1024;
const ID_PATTERN = /(?:^|[\r\n])id:\s*(\d+)/g;

/** Complete events that arrived together. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly firstId: number | undefined;
  readonly lastId: number | undefined;
}

/** Follows the events of a stream and enforces their maximum length. */
export class EventMeter {
  private bytesSinceEnd = 0;
  private piecesSinceEnd = 0;
  private tail: Buffer = EMPTY;
  private hasBytes = false;

  /** Whether bytes of an incomplete event have arrived. */
  get isInsideEvent(): boolean {
    return this.bytesSinceEnd > 0;
  }

  get isEmpty(): boolean {
    return !this.hasBytes;
  }

  /** Counts the next bytes of a stream; throws if an event is too long. */
  add(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.hasBytes = true;
    const bytes = Buffer.concat([this.tail, chunk]);
    const end = endOfLastEvent(bytes);
    this.bytesSinceEnd =
      end === undefined
        ? this.bytesSinceEnd + chunk.length
        : bytes.length - end;
    this.piecesSinceEnd = end === undefined ? this.piecesSinceEnd + 1 : 0;
    this.tail = bytes.subarray(-MAX_SPLIT_BYTES);
    const costBytes =
      this.bytesSinceEnd + this.piecesSinceEnd * PIECE_COST_BYTES;
    if (costBytes > MAX_EVENT_BYTES) {
      throw new Error(`stream event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
  }
}

/**
 * Buffers an incomplete event until its end arrives: if the upstream fails in
 * the middle of an event, the caller has not received a part of it.
 */
export class EventSplitter {
  private readonly pending = new ByteBuffer({
    maxBytes: Number.POSITIVE_INFINITY,
  });

  /** Buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds bytes and returns the events that they complete, if any. */
  push(chunk: Buffer): EventBatch | undefined {
    const cut = this.endWithin(chunk);
    if (cut === undefined) {
      this.pending.append(chunk);
      return undefined;
    }
    const whole = this.complete(chunk.subarray(0, cut));
    this.pending.append(chunk.subarray(cut));
    const ids = [...whole.toString('latin1').matchAll(ID_PATTERN)];
    return {
      bytes: whole,
      firstId: idOf(ids.at(0)),
      lastId: idOf(ids.at(-1)),
    };
  }

  /** The end of the last event that the chunk completes, as a position in it. */
  private endWithin(chunk: Buffer): number | undefined {
    // Only the new bytes can complete an event, with the last ones before them.
    const tail = this.pending.tail(MAX_SPLIT_BYTES);
    const searched = tail.length === 0 ? chunk : Buffer.concat([tail, chunk]);
    const end = endOfLastEvent(searched);
    return end === undefined ? undefined : end - tail.length;
  }

  private complete(lastBytes: Buffer): Buffer {
    if (this.pending.length === 0) return lastBytes;
    this.pending.append(lastBytes);
    return this.pending.take();
  }

  /** Bytes after the last event: a stream may end without a blank line. */
  takeRemainder(): Buffer {
    return this.pending.take();
  }
}

/** The position after the last event that is complete, if there is one. */
function endOfLastEvent(bytes: Buffer): number | undefined {
  const ends = ENDS_OF_EVENT.flatMap(end => {
    const position = bytes.lastIndexOf(end);
    return position < 0 ? [] : [position + end.length];
  });
  return ends.length === 0 ? undefined : Math.max(...ends);
}

function idOf(match: RegExpMatchArray | undefined): number | undefined {
  return match === undefined ? undefined : Number(match[1]);
}
