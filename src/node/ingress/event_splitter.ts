/** Splits a stream of server-sent events at event boundaries. */

const EMPTY = Buffer.alloc(0);
/** Blank lines, with each of the line ends that streams may use. */
const ENDS_OF_EVENT = ['\n\n', '\r\n\r\n', '\r\r'].map(end => Buffer.from(end));
/** Bytes of an end that may stand in an earlier chunk. */
const MAX_SPLIT_BYTES = 3;
/** A stream with a longer event is considered faulty and aborted. */
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
    this.tail = bytes.subarray(-MAX_SPLIT_BYTES);
    if (this.bytesSinceEnd > MAX_EVENT_BYTES) {
      throw new Error(`stream event exceeds ${MAX_EVENT_BYTES} bytes`);
    }
  }
}

/**
 * Buffers an incomplete event until its end arrives: if the upstream fails in
 * the middle of an event, the caller has not received a part of it.
 */
export class EventSplitter {
  private remainder: Buffer = EMPTY;

  /** Buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.remainder.length;
  }

  /** Adds bytes and returns the events that they complete, if any. */
  push(chunk: Buffer): EventBatch | undefined {
    const bytes =
      this.remainder.length === 0
        ? chunk
        : Buffer.concat([this.remainder, chunk]);
    const cut = endOfLastEvent(bytes);
    if (cut === undefined) {
      this.remainder = bytes;
      return undefined;
    }
    this.remainder = cut === bytes.length ? EMPTY : bytes.subarray(cut);
    const whole = bytes.subarray(0, cut);
    const ids = [...whole.toString('latin1').matchAll(ID_PATTERN)];
    return {
      bytes: whole,
      firstId: idOf(ids.at(0)),
      lastId: idOf(ids.at(-1)),
    };
  }

  /** Bytes after the last event: a stream may end without a blank line. */
  takeRemainder(): Buffer {
    const rest = this.remainder;
    this.remainder = EMPTY;
    return rest;
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
