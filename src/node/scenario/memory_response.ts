/** A caller's side of an answer in memory, in place of a socket. */
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';

/** Collects an answer. Only what the entry uses of `ServerResponse`. */
export class MemoryResponse extends EventEmitter {
  statusCode = 200;
  headersSent = false;
  writableEnded = false;
  writableFinished = false;
  destroyed = false;
  private readonly headers = new Map<string, string>();
  private readonly chunks: Buffer[] = [];

  setHeader(name: string, value: unknown): this {
    this.headers.set(name.toLowerCase(), String(value));
    return this;
  }

  getHeader(name: string): string | undefined {
    return this.headers.get(name.toLowerCase());
  }

  writeHead(status: number, headers: Record<string, string> = {}): this {
    this.statusCode = status;
    Object.entries(headers).forEach(([name, value]) =>
      this.setHeader(name, value),
    );
    this.headersSent = true;
    return this;
  }

  write(chunk: Buffer | string): boolean {
    this.headersSent = true;
    this.chunks.push(Buffer.from(chunk));
    return true;
  }

  end(chunk?: Buffer | string): this {
    if (chunk !== undefined) this.write(chunk);
    this.headersSent = true;
    this.writableEnded = true;
    this.writableFinished = true;
    this.emit('finish');
    this.emit('close');
    return this;
  }

  destroy(): this {
    this.destroyed = true;
    this.emit('close');
    return this;
  }

  /** The whole body so far. */
  body(): Buffer {
    return Buffer.concat(this.chunks);
  }

  headerEntries(): Record<string, string> {
    return Object.fromEntries(this.headers);
  }

  /** This object where the entry expects the response of `node:http`. */
  asServerResponse(): ServerResponse {
    return this as unknown as ServerResponse;
  }
}
