/** Connections for the HTTP client library, with resets that it cannot miss. */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

const RESET_CODE = 'ECONNRESET';
const REPORTED_RESET_CODE = 'ERR_ANSWER_RESET';

/**
 * Connects and makes resets of the connection errors that the client library
 * reports. It recognizes a reset by its code and treats it as the regular end of a
 * response without a length, although the rest of the body may be missing; the
 * runtime reports one that comes right behind data as an orderly end.
 */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) =>
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error !== null) {
        callback(error, null);
        return;
      }
      renameResets(socket);
      reportResetsAtEnd(socket);
      callback(null, socket);
    });
}

function renameResets(socket: Socket): void {
  socket.prependListener('error', (cause: NodeJS.ErrnoException) => {
    if (cause.code === RESET_CODE) cause.code = REPORTED_RESET_CODE;
  });
}

// A connection that was reset has no peer any more; one that the peer has closed in
// an orderly way still has. `remoteAddress` asks the kernel when it is first read.
function reportResetsAtEnd(socket: Socket): void {
  const push = socket.push.bind(socket);
  socket.push = (chunk, encoding) => {
    const isReset = chunk === null && socket.remoteAddress === undefined;
    if (!isReset) return push(chunk, encoding);
    const cause = new Error('connection reset behind data');
    socket.destroy(Object.assign(cause, {code: REPORTED_RESET_CODE}));
    return false;
  };
}
