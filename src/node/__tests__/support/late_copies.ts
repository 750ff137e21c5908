/** A server that sends answers twice, as upstreams do at times. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {TestContext} from 'node:test';

/** When the second copy of an answer is sent. */
export type CopyTiming =
  /** Right behind the answer. */
  | 'with_answer'
  /** Before the answer to the next request on the connection. */
  | 'with_next_request';

export interface RepeatingServer {
  /** `host:port`. */
  readonly address: string;
  /** The requests that have arrived, without their bodies. */
  readonly requests: string[];
}

export interface RepeatingServerOptions {
  readonly timing: CopyTiming;
  /** The bytes of the answer to a request, given its head. */
  readonly answerTo: (requestHead: string, requestBody: string) => string;
}

interface ReadRequest {
  readonly head: string;
  readonly body: string;
}

/** Formats an answer that keeps its connection open. */
export function formatAnswer(
  status: number,
  body: string,
  headers: Readonly<Record<string, string>> = {},
): string {
  const fields = {...headers, 'content-length': String(body.length)};
  const lines = Object.entries(fields).map(each => each.join(': '));
  return [`HTTP/1.1 ${status} Status`, ...lines, '', body].join('\r\n');
}

/** The value of a header in the head of a request. */
export function headerOf(requestHead: string, name: string): string {
  const pattern = new RegExp(`^${name}: (.*)$`, 'im');
  return pattern.exec(requestHead)?.[1]?.trim() ?? '';
}

/** Starts the server; it stops with the test. */
export async function startRepeatingServer(
  t: TestContext,
  {timing, answerTo}: RepeatingServerOptions,
): Promise<RepeatingServer> {
  const requests: string[] = [];
  const server = createServer(socket => {
    let lastAnswer = '';
    readRequests(socket, ({head, body}) => {
      requests.push(head);
      const answer = answerTo(head, body);
      const copy = timing === 'with_answer' ? answer : lastAnswer;
      const isCopyFirst = timing === 'with_next_request';
      socket.write(isCopyFirst ? copy + answer : answer + copy);
      lastAnswer = answer;
    });
  });
  t.after(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, requests};
}

function readRequests(
  socket: Socket,
  onRequest: (request: ReadRequest) => void,
): void {
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', bytes => {
    received += bytes.toString('latin1');
    const [head = '', ...rest] = received.split('\r\n\r\n');
    const body = rest.join('\r\n\r\n');
    const isWhole = body.length >= Number(headerOf(head, 'content-length'));
    if (rest.length === 0 || !isWhole) return;
    received = '';
    onRequest({head, body});
  });
}
