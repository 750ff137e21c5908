/** Splits a stream of server-sent events at event boundaries. */

const EMPTY = Buffer.alloc(0);
const END_OF_EVENT = Buffer.from('\n\n');
/** A stream with a longer event is considered faulty and aborted. */
const MAX_EVENT_BYTES = 1024 * 1024;
const ID_PATTERN = /(?:^|\n)id:\s*(\d+)/g;

/** Complete events that arrived together. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly firstId: number | undefined;
  readonly lastId: number | undefined;
}

/** Enforces the maximum length of an event. */
export class EventLengthLimit {
  private bytesSinceEnd = 0;

  /** Counts the next bytes of a stream; throws if an event is too long. */
  add(chunk: Buffer): void {
    const end = chunk.lastIndexOf(END_OF_EVENT);
    this.bytesSinceEnd =
      end < 0 ? this.bytesSinceEnd + chunk.length : chunk.length - end;
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
    const end = bytes.lastIndexOf(END_OF_EVENT);
    if (end < 0) {
      this.remainder = bytes;
      return undefined;
    }
    const cut = end + END_OF_EVENT.length;
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

function idOf(match: RegExpMatchArray | undefined): number | undefined {
  return match === undefined ? undefined : Number(match[1]);
}
