/** The response to one caller. */
import type {ServerResponse} from 'node:http';
import type {HeldBytes, HeldPeer, Holding} from '../http/held_bytes.js';
import type {HeaderPair} from './protocol.js';

const PIECE_BYTES = 16_384;
const HTTP_WITHOUT_CHUNKS = '1.0';

/**
 * How the upstream marked the end of a complete response: by its length or
 * chunks, or by the end of its connection, which a crash may have caused.
 */
export type Framing = 'framed' | 'until_close';

/**
 * Is either sent complete, or begun once and then ended or terminated. What is
 * begun has a length or chunks, also if the upstream's response has none: else
 * each end of this process or of the connection would look like its end. What is
 * sent complete without framing is small, or may not be whole.
 */
export class CallerResponse implements HeldPeer {
  /** The bytes held for the request; `undefined` if they have no bound. */
  readonly holding: Holding | undefined;
  private hasBegun = false;
  private hasEnded = false;
  private isFramed = true;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection must be closed after this response. */
    private readonly mustClose: () => boolean,
    held?: HeldBytes,
  ) {
    this.holding = held?.open(this);
  }

  /** Bytes that wait in this process for the caller to read them. */
  get unreadBytes(): number {
    return this.response.closed ? 0 : this.response.writableLength;
  }

  /** Bytes that have left this process on the connection of the caller. */
  get takenBytes(): number {
    const {socket} = this.response;
    return socket === null ? 0 : socket.bytesWritten - socket.writableLength;
  }

  /** Ends what a caller does not read, or has not sent. */
  letGo(): void {
    this.terminate();
  }

  /** Whether the status and headers were sent. */
  get isBegun(): boolean {
    return this.hasBegun;
  }

  get isEnded(): boolean {
    return this.hasEnded;
  }

  sendComplete(
    status: number,
    headers: readonly HeaderPair[],
    body: Buffer,
    framing: Framing = 'framed',
  ): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.hasEnded = true;
    this.setHeaders(headers);
    if (framing === 'framed') {
      this.response.setHeader('content-length', String(body.length));
    } else {
      this.isFramed = false;
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
      this.response.setHeader('connection', 'close');
    }
    this.response.writeHead(status);
    const last = Math.max(0, body.length - PIECE_BYTES);
    this.writeInPieces(body.subarray(0, last), () =>
      this.response.end(body.subarray(last)),
    );
  }

  begin(status: number, headers: readonly HeaderPair[]): void {
    this.hasBegun = true;
    this.setHeaders(headers);
    this.response.writeHead(status);
  }

  /** Returns false if the caller reads too slowly; calls `resume` on drain. */
  write(bytes: Buffer, resume: () => void): boolean {
    if (this.response.write(bytes)) return true;
    this.response.once('drain', resume);
    return false;
  }

  /**
   * Writes a part of a response in pieces, as its caller reads; `done` is called once
   * all are written. In one piece, nothing would tell how much has been read.
   */
  writeInPieces(part: Buffer, done: () => void): void {
    const writeOn = (): void =>
      this.writeInPieces(part.subarray(PIECE_BYTES), done);
    if (part.length === 0) done();
    else if (this.write(part.subarray(0, PIECE_BYTES), writeOn)) writeOn();
  }

  end(): void {
    this.hasEnded = true;
    this.response.end();
  }

  /**
   * Closes the connection so that the response does not look complete. Without a
   * length or chunks only a reset tells; it may cost the last bytes, so it is used
   * there alone.
   */
  terminate(): void {
    this.hasEnded = true;
    const {req, socket} = this.response;
    const isFramed = this.isFramed && req.httpVersion !== HTTP_WITHOUT_CHUNKS;
    if (!isFramed) socket?.resetAndDestroy();
    this.response.destroy();
  }

  private setHeaders(headers: readonly HeaderPair[]): void {
    if (this.mustClose()) this.response.setHeader('connection', 'close');
    headers.forEach(([name, value]) => this.response.appendHeader(name, value));
  }
}
