import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {CallerResponse} from '../caller_response.js';

/** What a caller receives: the bytes in lower case, and how they end. */
interface Received {
  readonly text: string;
  readonly isReset: boolean;
}

interface Served {
  readonly respond: (response: CallerResponse) => void;
  /** @default 1.1 */
  readonly httpVersion?: string;
  /** Closes all connections of the server after this time. */
  readonly closeAfterMs?: number;
}

async function receive({
  respond,
  httpVersion = '1.1',
  closeAfterMs,
}: Served): Promise<Received> {
  const server = createServer((_request, response) => {
    respond(new CallerResponse(response, () => false));
    if (closeAfterMs === undefined) return;
    setTimeout(() => server.closeAllConnections(), closeAfterMs);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const received = await new Promise<Received>(resolve => {
    const socket = connect(port, '127.0.0.1');
    const chunks: Buffer[] = [];
    const finish = (isReset: boolean): void => {
      const text = Buffer.concat(chunks).toString().toLowerCase();
      resolve({text, isReset});
    };
    socket.on('data', chunk => chunks.push(chunk));
    // The runtime reports a reset behind data as an orderly end.
    socket.on('end', () => finish(socket.remoteAddress === undefined));
    socket.on('error', () => finish(true)).on('close', () => finish(false));
    const head = `GET / HTTP/${httpVersion}\r\nHost: x\r\n`;
    socket.write(`${head}Connection: close\r\n\r\n`);
  });
  server.close();
  return received;
}

type End = 'complete' | 'terminated' | 'left open';

/** A stream of one event, and how the gateway ends it. */
function stream(
  end: End,
  options: Omit<Served, 'respond'> = {},
): Promise<Received> {
  const respond = (response: CallerResponse): void => {
    response.begin(200, [['content-type', 'text/event-stream']]);
    response.write(Buffer.from('id: 0\n\n'), () => undefined);
    if (end === 'left open') return;
    setTimeout(
      () => (end === 'complete' ? response.end() : response.terminate()),
      20,
    );
  };
  return receive({respond, ...options});
}

/** More than the buffers of the kernel hold. */
const LARGE_BODY_BYTES = 24 * 1024 * 1024;
const LAST_CHUNK = '0\r\n\r\n';

// Guards against a response whose end looks like that of its connection: each
// end of the process would make it look complete.
test('a response has a length or chunks', async () => {
  const whole = await receive({
    respond: response => response.sendComplete(200, [], Buffer.from('body')),
  });
  const streamed = await stream('complete');
  assert.ok(whole.text.includes('content-length: 4'));
  assert.ok(whole.text.endsWith('body'));
  assert.ok(streamed.text.includes('transfer-encoding: chunked'));
  assert.ok(streamed.text.endsWith(LAST_CHUNK));
});

// Guards against framing that is added to a complete upstream response without a
// length and makes one that a crash cut look whole.
test('a complete response without framing is sent without framing', async () => {
  const {text} = await receive({
    respond: response =>
      response.sendComplete(200, [], Buffer.from('body'), 'until_close'),
  });
  const isFramed =
    text.includes('content-length') || text.includes('transfer-encoding');
  assert.equal(isFramed, false);
  assert.ok(text.endsWith('body'));
});

// Guards against an undelivered response without a length that a closing server
// cuts and that looks complete, as its connection ends in an orderly way.
test('a terminated response without framing is reset', async () => {
  const body = Buffer.alloc(LARGE_BODY_BYTES, 'x');
  const {isReset} = await receive({
    respond: response => {
      response.sendComplete(200, [], body, 'until_close');
      setImmediate(() => response.terminate());
    },
  });
  assert.equal(isReset, true);
});

// Guards against a terminated stream that looks complete to the caller.
test('a terminated stream has no last chunk', async () => {
  assert.ok(!(await stream('terminated')).text.endsWith(LAST_CHUNK));
});

// Guards against a stream that a stop of the process cuts and that looks
// complete to the caller.
test('a stream that is open when the server closes has no last chunk', async () => {
  const cut = await stream('left open', {closeAfterMs: 50});
  assert.ok(cut.text.includes('id: 0'));
  assert.ok(!cut.text.endsWith(LAST_CHUNK));
});

// Guards against a broken stream that looks complete to a caller for whom an
// orderly end of the connection is the end of the stream.
test('a terminated stream to a caller without chunks is reset', async () => {
  const httpVersion = '1.0';
  assert.equal((await stream('complete', {httpVersion})).isReset, false);
  assert.equal((await stream('terminated', {httpVersion})).isReset, true);
});
