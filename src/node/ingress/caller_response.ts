/** The response to one caller. */
import type {ServerResponse} from 'node:http';
import type {HeaderPair} from './protocol.js';

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
export class CallerResponse {
  private hasBegun = false;
  private hasEnded = false;
  private isFramed = true;

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
      this.isFramed = false;
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
      this.response.setHeader('connection', 'close');
    }
    this.response.writeHead(status);
    this.response.end(body);
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
