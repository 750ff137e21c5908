import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {CallerResponse, type Framing} from '../caller_response.js';

/** What a caller receives: the bytes in lower case, and how they end. */
interface Received {
  readonly text: string;
  readonly isReset: boolean;
}

async function receive(
  respond: (response: CallerResponse) => void,
): Promise<Received> {
  const server = createServer((_request, response) =>
    respond(new CallerResponse(response, () => false)),
  );
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
    socket.on('error', () => finish(true)).on('close', () => finish(false));
    socket.write('GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n');
  });
  server.close();
  return received;
}

function stream(framing: Framing, isBroken: boolean): Promise<Received> {
  return receive(response => {
    response.begin(200, [['content-type', 'text/event-stream']], framing);
    response.write(Buffer.from('id: 0\n\n'), () => undefined);
    setTimeout(() => (isBroken ? response.terminate() : response.end()), 20);
  });
}

// Guards against framing that is added to an upstream response without a length
// and makes a truncated response look complete.
test('a response without framing is sent without framing', async () => {
  const whole = await receive(response =>
    response.sendComplete(200, [], Buffer.from('body'), 'until_close'),
  );
  const streamed = await stream('until_close', false);
  const isFramed = [whole, streamed].map(
    ({text}) =>
      text.includes('content-length') || text.includes('transfer-encoding'),
  );
  assert.deepEqual(isFramed, [false, false]);
  assert.ok(whole.text.endsWith('body'));
});

// Guards against a terminated stream that looks complete to the caller.
test('a terminated stream has no last chunk', async () => {
  assert.ok((await stream('framed', false)).text.endsWith('0\r\n\r\n'));
  assert.ok(!(await stream('framed', true)).text.endsWith('0\r\n\r\n'));
});

// Guards against a broken stream without framing that looks complete to the
// caller, for whom an orderly end of the connection is the end of the stream.
test('a terminated stream without framing is reset', async () => {
  assert.equal((await stream('until_close', false)).isReset, false);
  assert.equal((await stream('until_close', true)).isReset, true);
});
