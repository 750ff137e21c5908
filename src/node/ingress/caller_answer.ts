/** The answer to one caller. */
import type {ServerResponse} from 'node:http';
import type {HeaderPair} from './protocol.js';

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
  ): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.isOver = true;
    this.setHeaders(headers);
    this.response.setHeader('content-length', String(body.length));
    this.response.writeHead(status);
    this.response.end(body);
  }

  begin(status: number, headers: readonly HeaderPair[]): void {
    this.hasBegun = true;
    this.setHeaders(headers);
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

  private setHeaders(headers: readonly HeaderPair[]): void {
    if (this.mustClose()) this.response.setHeader('connection', 'close');
    headers.forEach(([name, value]) => this.response.appendHeader(name, value));
  }
}
