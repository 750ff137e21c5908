/**
 * The open connections of HTTP servers. Node takes a connection for idle as soon
 * as `end` was called on its response, although the bytes may still wait for a
 * slow reader; closing it then cuts the response. Both `closeIdleConnections` and
 * `close` of Node's HTTP server do so.
 */
import type {Server} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';

interface OpenConnection {
  /** Responses whose bytes have not all left the process. */
  undelivered: number;
  /** Bytes read when the last response was delivered; later ones begin a request. */
  idleAtBytes: number | undefined;
}

const connectionsOf = new WeakMap<Server, Map<Socket, OpenConnection>>();

/** Begins to track the connections of a server; has no effect when repeated. */
export function trackConnections(server: Server): void {
  if (connectionsOf.has(server)) return;
  const connections = new Map<Socket, OpenConnection>();
  connectionsOf.set(server, connections);
  server.on('connection', socket => {
    connections.set(socket, {undelivered: 0, idleAtBytes: undefined});
    socket.once('close', () => connections.delete(socket));
  });
  server.prependListener('request', ({socket}, response) => {
    const connection = connections.get(socket);
    if (connection === undefined) return;
    connection.undelivered += 1;
    response.once('close', () => {
      connection.undelivered -= 1;
      connection.idleAtBytes = socket.bytesRead;
    });
  });
}

/**
 * Closes the connections of a tracked server that have had a request, whose
 * responses are all delivered, and on which no further request has begun.
 */
export function closeIdleConnections(server: Server): void {
  [...(connectionsOf.get(server) ?? [])]
    .filter(([socket, each]) => isIdle(socket, each))
    .forEach(([socket]) => socket.destroy());
}

function isIdle(
  {bytesRead}: Socket,
  {undelivered, idleAtBytes}: OpenConnection,
): boolean {
  return undelivered === 0 && idleAtBytes === bytesRead;
}

/** Stops accepting connections; resolves when the open ones have closed. */
export function stopListening(server: Server): Promise<void> {
  return new Promise(resolve => {
    // Not `server.close`, which would cut responses; it clears Node's timer after.
    NetServer.prototype.close.call(server, () => {
      server.close();
      resolve();
    });
  });
}
