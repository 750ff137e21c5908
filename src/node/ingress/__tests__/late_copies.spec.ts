import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import type {CallerResponse} from '../caller_response.js';
import {ConnectionPools} from '../connections.js';
import {exchange} from '../exchange.js';
import type {RequestProtocol} from '../protocol.js';
import {ResponseReader} from '../response_reader.js';

const ATTEMPT_HEADER = 'x-attempt';
const NOT_RUN_HEADER = 'x-not-run';

function answerTo(attemptId: string): string {
  const body = `answer to ${attemptId}`;
  return `HTTP/1.1 200 OK\r\n${ATTEMPT_HEADER}: ${attemptId}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

/** Calls `onRequest` with the number of the request on its connection. */
async function startUpstream(
  t: TestContext,
  onRequest: (socket: Socket, attemptId: string, number: number) => void,
): Promise<string> {
  const server = createServer(socket => {
    let requestCount = 0;
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      requestCount += 1;
      const [, attemptId = ''] = /x-attempt: (\w+)/.exec(String(bytes)) ?? [];
      onRequest(socket, attemptId, requestCount);
    });
  });
  t.after(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function becomeIdle(): Promise<unknown> {
  return new Promise(resolve => setTimeout(resolve, 20));
}

/** Sends two requests one after the other; returns what each of them got. */
async function sendTwo(
  t: TestContext,
  address: string,
  between: () => Promise<unknown>,
): Promise<readonly string[]> {
  const pools = new ConnectionPools();
  t.after(() => pools.close());
  const send = async (attemptId: string): Promise<string> => {
    const reader = new ResponseReader({
      protocol: {
        responseTraits: (_status: number, headers: Record<string, string>) => ({
          attemptId: headers[ATTEMPT_HEADER],
          isSigned: true,
          isEncoded: false,
          isNotRun: headers[NOT_RUN_HEADER] !== undefined,
        }),
      } as unknown as RequestProtocol,
      response: {} as CallerResponse,
      attemptId,
      isStream: false,
      isResumable: false,
      isFromPeer: false,
      isForPeer: false,
      progress: {
        lastEventId: undefined,
        begun: undefined,
        isStarted: false,
        lastEventAtMs: 0,
        longestGapMs: 0,
      },
      onResponseStart: () => undefined,
    });
    const headers = [ATTEMPT_HEADER, attemptId];
    const body = Buffer.alloc(0);
    const {kind} = await exchange(
      pools.pool(address),
      {attemptId, method: 'GET', path: '/', headers, body},
      reader,
      new AbortController().signal,
    );
    return kind === 'complete' ? reader.body().toString() : kind;
  };
  const first = await send('first');
  await between();
  return [first, await send('second')];
}

// Guards against a late second copy of an answer that becomes the answer to the
// next request on the same connection.
test('a second copy that arrives on an idle connection is discarded', async t => {
  let noteClosed: () => void = () => undefined;
  const closed = new Promise<void>(resolve => {
    noteClosed = resolve;
  });
  const address = await startUpstream(t, (socket, attemptId) => {
    socket.once('close', noteClosed);
    socket.write(answerTo(attemptId));
    if (attemptId !== 'first') return;
    setTimeout(() => socket.write(answerTo(attemptId)), 20);
  });
  assert.deepEqual(await sendTwo(t, address, () => closed), [
    'answer to first',
    'answer to second',
  ]);
});

test('a second copy that arrives after the next request is not its answer', async t => {
  const address = await startUpstream(t, (socket, attemptId, number) => {
    if (number > 1) socket.write(answerTo('first'));
    socket.write(answerTo(attemptId));
  });
  assert.deepEqual(await sendTwo(t, address, becomeIdle), [
    'answer to first',
    'broken',
  ]);
});

// Guards against a refusal without an id that is believed: it may be that of any
// request on the connection, while this one runs.
test('a refusal without an id is not believed', async t => {
  const address = await startUpstream(t, (socket, attemptId, number) => {
    const refusal = `HTTP/1.1 503 Busy\r\n${NOT_RUN_HEADER}: 1\r\ncontent-length: 0\r\n\r\n`;
    socket.write(number > 1 ? refusal : answerTo(attemptId));
  });
  assert.deepEqual(await sendTwo(t, address, becomeIdle), [
    'answer to first',
    'broken',
  ]);
});
