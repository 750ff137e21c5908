/** The response to one caller. */
import type {ServerResponse} from 'node:http';
import type {HeaderPair} from './protocol.js';

/**
 * How a caller detects the end of a response: by its length or chunks, or by
 * the end of the connection. An upstream response without framing is passed on
 * without it, since nobody can tell whether it is complete.
 */
export type Framing = 'framed' | 'until_close';

/** Is either sent complete, or begun once and then ended or terminated. */
export class CallerResponse {
  private hasBegun = false;
  private hasEnded = false;
  /** Whether the end of the connection marks the end of the response. */
  private isEndedByClose = false;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection must be closed after this response. */
    private readonly mustClose: () => boolean,
  ) {}

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
      this.delimitByClose();
    }
    this.response.writeHead(status);
    this.response.end(body);
  }

  begin(
    status: number,
    headers: readonly HeaderPair[],
    framing: Framing,
  ): void {
    this.hasBegun = true;
    this.setHeaders(headers);
    if (framing === 'until_close') this.delimitByClose();
    this.response.writeHead(status);
  }

  /** Returns false if the caller reads too slowly; calls `resume` on drain. */
  write(bytes: Buffer, resume: () => void): boolean {
    if (this.response.write(bytes)) return true;
    this.response.once('drain', resume);
    return false;
  }

  end(): void {
    this.hasEnded = true;
    this.response.end();
  }

  /**
   * Closes the connection so that the response does not look complete. Without
   * framing only a reset tells; it may cost the last bytes, so it is used there
   * alone.
   */
  terminate(): void {
    this.hasEnded = true;
    if (this.isEndedByClose) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  // Without content-length and chunked encoding, the end of the connection
  // marks the end of the response.
  private delimitByClose(): void {
    this.isEndedByClose = true;
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
    this.response.setHeader('connection', 'close');
  }

  private setHeaders(headers: readonly HeaderPair[]): void {
    if (this.mustClose()) this.response.setHeader('connection', 'close');
    headers.forEach(([name, value]) => this.response.appendHeader(name, value));
  }
}
