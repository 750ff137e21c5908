/**
 * Bounds what callers take of a server with requests that do not end: the memory of heads
 * that are still arriving, and the connections of requests that have come to a halt.
 */
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import {monotonicNowMs} from '../clock/clock.js';

const CHECK_INTERVAL_MS = 200;
/** A sound caller may pause so long within a request. */
const STALL_MS = 1_000;

export interface UnfinishedRequestsOptions {
  /** Bytes of all heads that are still arriving. */
  readonly maxHeadBytes: number;
  /** Above it, requests that have come to a halt are given up. */
  readonly maxConnections: number;
  /** Called when connections were closed for one of the bounds. */
  readonly onClosed: (bound: UnfinishedBound, connections: number) => void;
}

export type UnfinishedBound = 'head_bytes' | 'connections';

/** A connection, as far as the bounds depend on it. */
interface CallerConnection {
  readonly socket: Socket;
  /** Bytes read when the last request ended; later ones belong to a head. */
  headFromBytes: number;
  isReadingBody: boolean;
  seenBytes: number;
  movedAtMs: number;
}

/** The unfinished requests on the connections of one server. */
export class UnfinishedRequests {
  private readonly connections = new Map<Socket, CallerConnection>();
  private timer: ReturnType<typeof setInterval> | undefined;

  constructor(private readonly options: UnfinishedRequestsOptions) {}

  /** Begins to watch a server, before it has connections. */
  watch(server: Server): void {
    server.on('connection', socket => this.add(socket));
    server.prependListener('request', request => this.noteHead(request));
  }

  /** Closes connections while a bound is exceeded. */
  check(): void {
    const nowMs = monotonicNowMs();
    this.connections.forEach(each => noteProgress(each, nowMs));
    this.closeLargeHeads();
    this.closeStalled(nowMs);
  }

  private add(socket: Socket): void {
    this.connections.set(socket, {
      socket,
      headFromBytes: 0,
      isReadingBody: false,
      seenBytes: 0,
      movedAtMs: monotonicNowMs(),
    });
    socket.once('close', () => this.remove(socket));
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  private remove(socket: Socket): void {
    this.connections.delete(socket);
    if (this.connections.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private noteHead(request: IncomingMessage): void {
    const {socket} = request;
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    connection.isReadingBody = true;
    const endBody = (): void => {
      connection.isReadingBody = false;
      connection.headFromBytes = socket.bytesRead;
    };
    request.once('end', endBody);
  }

  private closeLargeHeads(): void {
    const {maxHeadBytes} = this.options;
    const heads = [...this.connections.values()].filter(
      each => headBytesOf(each) > 0,
    );
    let excessBytes = sumOf(heads) - maxHeadBytes;
    if (excessBytes <= 0) return;
    const closed = heads
      .sort((left, right) => headBytesOf(right) - headBytesOf(left))
      .filter(each => {
        const isNeeded = excessBytes > 0;
        if (isNeeded) excessBytes -= headBytesOf(each);
        return isNeeded;
      });
    this.close('head_bytes', closed);
  }

  private closeStalled(nowMs: number): void {
    const excess = this.connections.size - this.options.maxConnections;
    if (excess <= 0) return;
    const stalled = [...this.connections.values()]
      .filter(isUnfinished)
      .filter(({movedAtMs}) => nowMs - movedAtMs >= STALL_MS)
      .sort((left, right) => left.movedAtMs - right.movedAtMs)
      .slice(0, excess);
    this.close('connections', stalled);
  }

  private close(
    bound: UnfinishedBound,
    connections: readonly CallerConnection[],
  ): void {
    if (connections.length === 0) return;
    connections.forEach(({socket}) => {
      this.connections.delete(socket);
      socket.destroy();
    });
    this.options.onClosed(bound, connections.length);
  }
}

function noteProgress(connection: CallerConnection, nowMs: number): void {
  const {bytesRead} = connection.socket;
  if (bytesRead === connection.seenBytes) return;
  connection.seenBytes = bytesRead;
  connection.movedAtMs = nowMs;
}

function headBytesOf({
  socket,
  headFromBytes,
  isReadingBody,
}: CallerConnection): number {
  return isReadingBody ? 0 : socket.bytesRead - headFromBytes;
}

function isUnfinished(connection: CallerConnection): boolean {
  return connection.isReadingBody || headBytesOf(connection) > 0;
}

function sumOf(heads: readonly CallerConnection[]): number {
  return heads.reduce((sum, each) => sum + headBytesOf(each), 0);
}
