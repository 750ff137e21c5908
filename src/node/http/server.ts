/** Helpers for Node's `http` servers, shared by all listeners. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {monotonicNowMs} from '../clock/clock.js';
import {GatewayError} from '../types/errors.js';
import {ByteBuffer} from './byte_buffer.js';
import type {Holding} from './held_bytes.js';
import {
  closeIdleConnections,
  stopListening,
  trackConnections,
} from './open_connections.js';

/** How long a closing server waits for active connections. */
const CLOSE_TIMEOUT_MS = 5_000;
/** How long the rest of a request is discarded after an early response. */
const DISCARD_TIMEOUT_MS = 2_000;

/** Splits `host:port`. */
export function parseAddress(address: string): {host: string; port: number} {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}

/** Errors of an address that the former process or the machine still holds. */
const TRANSIENT_LISTEN_CODES: readonly unknown[] = [
  'EADDRINUSE',
  'EADDRNOTAVAIL',
];
const LISTEN_RETRY_MS = 200;
const LISTEN_PATIENCE_MS = 10_000;

/**
 * Starts a server; resolves with its bound address. An address that is in use or
 * not assigned yet is tried again for some seconds: a process that ends instead
 * would be started again, and end again.
 */
export async function listen(server: Server, address: string): Promise<string> {
  trackConnections(server);
  const deadlineMs = monotonicNowMs() + LISTEN_PATIENCE_MS;
  for (;;) {
    try {
      return await listenOnce(server, address);
    } catch (thrown) {
      const {code} = thrown as NodeJS.ErrnoException;
      const isTransient = TRANSIENT_LISTEN_CODES.includes(code);
      if (!isTransient || monotonicNowMs() >= deadlineMs) throw thrown;
    }
    await new Promise(resolve => setTimeout(resolve, LISTEN_RETRY_MS));
  }
}

function listenOnce(server: Server, address: string): Promise<string> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const bound = server.address() as AddressInfo;
      resolve(`${bound.address}:${bound.port}`);
    });
  });
}

/**
 * Stops accepting, closes idle connections and waits for active ones. Those
 * still open after the timeout are closed too: Node stops enforcing its limits
 * for slow senders when a server closes, so one could block the stop forever.
 */
export async function closeServer(
  server: Server,
  timeoutMs = CLOSE_TIMEOUT_MS,
): Promise<void> {
  const timer = setTimeout(() => server.closeAllConnections(), timeoutMs);
  const closed = stopListening(server);
  closeIdleConnections(server);
  await closed;
  clearTimeout(timer);
}

export interface BodyBounds {
  /** Counts what has arrived; the body is rejected if there is no room. */
  readonly holding?: Holding | undefined;
  /** Time limit for the whole body. */
  readonly timeoutMs?: number;
}

/**
 * Reads a complete request body. Rejects with `too_large` above the limit, with
 * `cancelled` if the sender disconnects before the end of the body, with `timeout`
 * at the time limit, and with `overloaded` if there is no room for the body, before
 * it is read if its length is known. This function does not close the connection, so
 * that a response can be sent.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  {holding, timeoutMs = Number.POSITIVE_INFINITY}: BodyBounds = {},
): Promise<Buffer> {
  const peer = request.socket.remoteAddress ?? 'caller';
  const tooLarge = (): GatewayError =>
    new GatewayError({
      code: 'too_large',
      message: `the body is larger than ${maxBytes} bytes`,
      step: 'http.read_body',
      peer,
    });
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  if (announcedBytes > maxBytes) return Promise.reject(tooLarge());
  if (holding?.hasRoomFor(announcedBytes) === false) {
    return Promise.reject(noRoomFor(peer));
  }
  return new Promise((resolve, reject) => {
    const body = new ByteBuffer({maxBytes});
    const giveUp = (error: GatewayError): void => {
      request.off('data', onData).pause();
      body.take();
      holding?.resize('body', 0);
      reject(error);
    };
    const onData = (chunk: Buffer): void => {
      holding?.noteReceived(chunk.length);
      if (!body.append(chunk)) giveUp(tooLarge());
      else if (holding?.resize('body', body.capacityBytes) === false) {
        giveUp(noRoomFor(peer));
      }
    };
    holding?.startBody(() => giveUp(noRoomFor(peer)));
    const limit = Number.isFinite(timeoutMs)
      ? setTimeout(() => giveUp(tooSlow(peer)), Math.max(0, timeoutMs))
      : undefined;
    request.once('end', () => clearTimeout(limit));
    request.once('close', () => clearTimeout(limit));
    const onDisconnect = (): void =>
      reject(
        new GatewayError({
          code: 'cancelled',
          message:
            'the sender closed the connection before the end of the body',
          step: 'http.read_body',
          peer,
        }),
      );
    request
      .on('data', onData)
      .on('end', () => {
        holding?.endBody();
        resolve(body.take());
      })
      .on('error', onDisconnect)
      .on('close', onDisconnect);
    if (request.destroyed) onDisconnect();
  });
}

function tooSlow(peer: string): GatewayError {
  return new GatewayError({
    code: 'timeout',
    message: 'the body did not arrive in time',
    step: 'http.read_body',
    peer,
  });
}

function noRoomFor(peer: string): GatewayError {
  return new GatewayError({
    code: 'overloaded',
    message: 'no room for the body',
    step: 'http.read_body',
    peer,
  });
}

/** A complete response, sent from memory. */
export interface CompleteResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly text?: string;
}

/**
 * Sends a complete response. If the request is still arriving, the rest is
 * read and discarded for a limited time before the connection closes: closing
 * at once resets the connection, and the sender may lose the response.
 */
export function sendResponse(
  response: ServerResponse,
  {status, contentType, text = ''}: CompleteResponse,
): void {
  if (contentType !== undefined) {
    response.setHeader('content-type', contentType);
  }
  response.setHeader('content-length', String(Buffer.byteLength(text)));
  response.writeHead(status);
  // In-memory responses, as used in scenarios, have no request.
  const request = response.req as IncomingMessage | undefined;
  if (request === undefined || request.complete) {
    response.end(text);
    return;
  }
  if (text === '') response.flushHeaders();
  else response.write(text);
  const timer = setTimeout(() => request.socket.destroy(), DISCARD_TIMEOUT_MS);
  const finish = (): void => {
    clearTimeout(timer);
    response.end();
  };
  request
    .on('error', () => undefined)
    .once('end', finish)
    .once('close', finish)
    .resume();
}

/** Sends a complete JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}
