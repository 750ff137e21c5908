/** A listener with one plain text, such as metrics or a readiness check. */
import {createServer, type Server} from 'node:http';
import {listen} from './server.js';

/** What the listener answers at the moment. */
export interface TextAnswer {
  /** Whether the answer is 200 or 503. */
  readonly isOk: boolean;
  readonly text: string;
}

/** Starts a listener that gives the same answer on every path. */
export async function startTextServer(
  address: string,
  read: () => TextAnswer,
): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    const {isOk, text} = read();
    response.writeHead(isOk ? 200 : 503, {'content-type': 'text/plain'});
    response.end(text);
  });
  await listen(server, address);
  return server;
}
