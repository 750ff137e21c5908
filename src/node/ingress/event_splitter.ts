/** Cuts a stream of server-sent events at the ends of its events. */

const EMPTY = Buffer.alloc(0);
const END_OF_EVENT = Buffer.from('\n\n');
/** A longer event is none; its stream is given up. */
const MAX_EVENT_BYTES = 1024 * 1024;
const ID_PATTERN = /(?:^|\n)id:\s*(\d+)/g;

/** Whole events that arrived together. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly firstId: number | undefined;
  readonly lastId: number | undefined;
}

/** Notices an event that does not end. */
export class EventLengthLimit {
  private bytesSinceEnd = 0;

  /** Takes in the next bytes of a stream; throws if its event is too long. */
  note(chunk: Buffer): void {
    const end = chunk.lastIndexOf(END_OF_EVENT);
    this.bytesSinceEnd =
      end < 0 ? this.bytesSinceEnd + chunk.length : chunk.length - end;
    if (this.bytesSinceEnd > MAX_EVENT_BYTES) {
      throw new Error(`an event of over ${MAX_EVENT_BYTES} bytes`);
    }
  }
}

/**
 * Holds back the beginning of an event until its end arrives, so that an
 * upstream that breaks off in the middle leaves nothing that must be undone.
 */
export class EventSplitter {
  private rest: Buffer = EMPTY;

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Takes in bytes; returns the events that they completed. */
  push(chunk: Buffer): EventBatch | undefined {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = bytes.lastIndexOf(END_OF_EVENT);
    if (end < 0) {
      this.rest = bytes;
      return undefined;
    }
    const cut = end + END_OF_EVENT.length;
    this.rest = cut === bytes.length ? EMPTY : bytes.subarray(cut);
    const whole = bytes.subarray(0, cut);
    const ids = [...whole.toString('latin1').matchAll(ID_PATTERN)];
    return {
      bytes: whole,
      firstId: idOf(ids.at(0)),
      lastId: idOf(ids.at(-1)),
    };
  }

  /** Bytes after the last event; an answer may end without a blank line. */
  takeRest(): Buffer {
    const rest = this.rest;
    this.rest = EMPTY;
    return rest;
  }
}

function idOf(match: RegExpMatchArray | undefined): number | undefined {
  return match === undefined ? undefined : Number(match[1]);
}
