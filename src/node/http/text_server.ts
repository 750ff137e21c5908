/** A plain-text HTTP listener, such as for metrics or a readiness check. */
import type {Server} from 'node:http';
import {createFewLinesServer} from './header_lines.js';
import {listen} from './server.js';

/** The current response of the listener. */
export interface TextAnswer {
  /** Status 200 if true, 503 if false. */
  readonly isOk: boolean;
  readonly text: string;
}

/** Starts a listener that calls `read` for each request, on any path. */
export async function startTextServer(
  address: string,
  read: () => TextAnswer,
): Promise<Server> {
  const server = createFewLinesServer((request, response) => {
    request.resume();
    const {isOk, text} = read();
    response.writeHead(isOk ? 200 : 503, {'content-type': 'text/plain'});
    response.end(text);
  });
  await listen(server, address);
  return server;
}
