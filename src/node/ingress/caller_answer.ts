/** The answer to one caller. */
import type {ServerResponse} from 'node:http';
import type {HeaderPair} from './protocol.js';

/**
 * How a caller finds the end of an answer. One that reached us without a length
 * goes on without one: nobody can tell whether it is whole.
 */
export type Framing = 'framed' | 'until_close';

/** An answer is sent whole, or begun once and then ended or broken off. */
export class CallerAnswer {
  private hasBegun = false;
  private isOver = false;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection must close after this answer. */
    private readonly mustClose: () => boolean,
  ) {}

  /** Whether the head of the answer was sent. */
  get isBegun(): boolean {
    return this.hasBegun;
  }

  get isEnded(): boolean {
    return this.isOver;
  }

  sendWhole(
    status: number,
    headers: readonly HeaderPair[],
    body: Buffer,
    framing: Framing = 'framed',
  ): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.isOver = true;
    this.setHeaders(headers);
    if (framing === 'framed') {
      this.response.setHeader('content-length', String(body.length));
    } else {
      this.endWithConnection();
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
    if (framing === 'until_close') this.endWithConnection();
    this.response.writeHead(status);
  }

  /** Returns false if the caller reads too slowly; `resume` follows later. */
  write(bytes: Buffer, resume: () => void): boolean {
    if (this.response.write(bytes)) return true;
    this.response.once('drain', resume);
    return false;
  }

  end(): void {
    this.isOver = true;
    this.response.end();
  }

  /** Closes the connection so that the answer does not look complete. */
  breakOff(): void {
    this.isOver = true;
    this.response.destroy();
  }

  // Without a length and without chunks the connection's end is the answer's.
  private endWithConnection(): void {
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
    this.response.setHeader('connection', 'close');
  }

  private setHeaders(headers: readonly HeaderPair[]): void {
    if (this.mustClose()) this.response.setHeader('connection', 'close');
    headers.forEach(([name, value]) => this.response.appendHeader(name, value));
  }
}
