/** How many header lines of a request a server keeps. */
import {createServer, type RequestListener, type Server} from 'node:http';

/** The runtime's value for any number of lines. */
const ANY_COUNT = 0;
/** More than ordinary clients of a server send that acts on few of them. */
const FEW_LINES = 64;
/** Connections whose head has not arrived by then are closed. */
const HEAD_TIMEOUT_MS = 3_000;
/** Interval of Node's check for slow senders; its default is 30 s. */
export const SLOW_SENDER_CHECK_MS = 500;

/**
 * Keeps all header lines, for servers that act on any of them or pass them on. By
 * default the runtime drops those behind the 1,000th without an error, and a request
 * without them is another one. The size of a head is bounded all the same.
 */
export function keepAllHeaderLines(server: Server): void {
  server.maxHeadersCount = ANY_COUNT;
}

/**
 * Keeps few header lines, for servers that act on no others: a crowd of heads that do
 * not end would otherwise fill the memory.
 */
export function keepFewHeaderLines(server: Server): void {
  server.maxHeadersCount = FEW_LINES;
}

/** A server that anyone may reach and that acts on few header lines. */
export function createFewLinesServer(onRequest: RequestListener): Server {
  const server = createServer(
    {
      headersTimeout: HEAD_TIMEOUT_MS,
      connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
    },
    onRequest,
  );
  keepFewHeaderLines(server);
  return server;
}
