/**
 * Frames of a stream between two instances: one JSON text a line, behind an
 * HMAC of its number and text under the key of the connection. A frame that
 * was changed, left out, repeated or reordered is found out.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Duplex} from 'node:stream';

/** A longer line is no message of this system. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const MAC_BYTES = 16;
const MAC_CHARACTERS = MAC_BYTES * 2;
const NEW_LINE = 10;

/** Which way a frame goes; a frame sent back to its sender is refused. */
export type FrameDirection = 'request' | 'reply';

/** The key of one connection, from what both sides contributed. */
export function createStreamKey(
  secret: string,
  credentials: string,
  serverNonce: string,
): Buffer {
  return createHmac('sha256', secret)
    .update(`${credentials}\n${serverNonce}`)
    .digest();
}

function macOf(
  key: Buffer,
  direction: FrameDirection,
  sequence: number,
  text: Buffer,
): Buffer {
  return createHmac('sha256', key)
    .update(`${direction} ${sequence}\n`)
    .update(text)
    .digest()
    .subarray(0, MAC_BYTES);
}

/** Writes frames; those of one turn of the event loop leave together. */
export class FrameWriter {
  private sequence = 0;
  private isCorked = false;

  constructor(
    private readonly socket: Duplex,
    private readonly key: Buffer,
    private readonly direction: FrameDirection,
  ) {}

  write(message: unknown): void {
    if (this.socket.destroyed) return;
    const text = Buffer.from(JSON.stringify(message));
    const mac = macOf(this.key, this.direction, this.sequence, text);
    this.sequence += 1;
    this.cork();
    this.socket.write(
      Buffer.concat([
        Buffer.from(mac.toString('hex'), 'latin1'),
        text,
        Buffer.of(NEW_LINE),
      ]),
    );
  }

  private cork(): void {
    if (this.isCorked) return;
    this.isCorked = true;
    this.socket.cork();
    process.nextTick(() => {
      this.isCorked = false;
      this.socket.uncork();
    });
  }
}

/** Reads frames from chunks of bytes. */
export class FrameReader {
  private sequence = 0;
  private rest: Buffer = Buffer.alloc(0);

  constructor(
    private readonly key: Buffer,
    private readonly direction: FrameDirection,
    private readonly onMessage: (message: unknown) => void,
  ) {}

  /** Throws on bytes that are no frame; the connection is then of no use. */
  push(chunk: Buffer): void {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    this.rest = this.readFrames(bytes);
    if (this.rest.length > MAX_FRAME_BYTES) throw new Error('frame too large');
  }

  /** Returns the bytes of a frame that has not arrived whole. */
  private readFrames(bytes: Buffer): Buffer {
    const end = bytes.indexOf(NEW_LINE);
    if (end < 0) return bytes;
    this.readFrame(bytes.subarray(0, end));
    return this.readFrames(bytes.subarray(end + 1));
  }

  private readFrame(frame: Buffer): void {
    const text = frame.subarray(MAC_CHARACTERS);
    const given = Buffer.from(
      frame.subarray(0, MAC_CHARACTERS).toString('latin1'),
      'hex',
    );
    const expected = macOf(this.key, this.direction, this.sequence, text);
    const isValid =
      given.length === MAC_BYTES && timingSafeEqual(given, expected);
    if (!isValid) throw new Error(`frame ${this.sequence} has a wrong MAC`);
    this.sequence += 1;
    this.onMessage(JSON.parse(text.toString('utf8')));
  }
}
