/**
 * Frames of a stream between two instances. A frame is one line of JSON with a
 * truncated HMAC prefix. The HMAC covers the direction, the sequence number and
 * the text and uses a key per connection, so modified, missing, replayed and
 * reordered frames are detected.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Duplex} from 'node:stream';

/** No message sent over a stream is larger. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const MAC_BYTES = 16;
const MAC_CHARACTERS = MAC_BYTES * 2;
const NEWLINE_BYTE = 10;

/** Covered by the MAC, so a frame reflected to its sender is rejected. */
export type FrameDirection = 'request' | 'reply';

/** Derives the key of one connection from the contributions of both sides. */
export function createStreamKey(
  secret: string,
  credentials: string,
  serverNonce: string,
): Buffer {
  return createHmac('sha256', secret)
    .update(`${credentials}\n${serverNonce}`)
    .digest();
}

function computeMac(
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

/** Writes frames; those written before the next tick are sent together. */
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
    const mac = computeMac(this.key, this.direction, this.sequence, text);
    this.sequence += 1;
    this.cork();
    this.socket.write(
      Buffer.concat([
        Buffer.from(mac.toString('hex'), 'latin1'),
        text,
        Buffer.of(NEWLINE_BYTE),
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

/** Reads and verifies frames from chunks of bytes. */
export class FrameReader {
  private sequence = 0;
  private rest: Buffer = Buffer.alloc(0);

  constructor(
    private readonly key: Buffer,
    private readonly direction: FrameDirection,
    private readonly onMessage: (message: unknown) => void,
  ) {}

  /** Throws on an invalid frame; the connection must then be closed. */
  push(chunk: Buffer): void {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    this.rest = this.readFrames(bytes);
    if (this.rest.length > MAX_FRAME_BYTES) throw new Error('frame too large');
  }

  /** Returns the bytes of a trailing incomplete frame. */
  private readFrames(bytes: Buffer): Buffer {
    const end = bytes.indexOf(NEWLINE_BYTE);
    if (end < 0) return bytes;
    this.readFrame(bytes.subarray(0, end));
    return this.readFrames(bytes.subarray(end + 1));
  }

  private readFrame(frame: Buffer): void {
    const text = frame.subarray(MAC_CHARACTERS);
    const receivedMac = Buffer.from(
      frame.subarray(0, MAC_CHARACTERS).toString('latin1'),
      'hex',
    );
    const expectedMac = computeMac(
      this.key,
      this.direction,
      this.sequence,
      text,
    );
    const isValid =
      receivedMac.length === MAC_BYTES &&
      timingSafeEqual(receivedMac, expectedMac);
    if (!isValid) throw new Error(`frame ${this.sequence} has a wrong MAC`);
    this.sequence += 1;
    this.onMessage(JSON.parse(text.toString('utf8')));
  }
}
