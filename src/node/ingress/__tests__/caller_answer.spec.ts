import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {CallerAnswer, type Framing} from '../caller_answer.js';

/** The bytes that a caller gets, without the date. */
async function answered(
  respond: (answer: CallerAnswer) => void,
): Promise<string> {
  const server = createServer((_request, response) =>
    respond(new CallerAnswer(response, () => false)),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const bytes = await new Promise<string>(resolve => {
    const socket = connect(port, '127.0.0.1');
    const chunks: Buffer[] = [];
    const finish = (): void => resolve(Buffer.concat(chunks).toString());
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', finish).on('close', finish);
    socket.write('GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n');
  });
  server.close();
  return bytes.toLowerCase();
}

function stream(framing: Framing, isBroken: boolean): Promise<string> {
  return answered(answer => {
    answer.begin(200, [['content-type', 'text/event-stream']], framing);
    answer.write(Buffer.from('id: 0\n\n'), () => undefined);
    setTimeout(() => (isBroken ? answer.breakOff() : answer.end()), 20);
  });
}

// Guards against an answer of unknown completeness that gets a frame here and
// then looks whole.
test('an answer without a length gets none', async () => {
  const whole = await answered(answer =>
    answer.sendWhole(200, [], Buffer.from('body'), 'until_close'),
  );
  const streamed = await stream('until_close', false);
  const isFramed = [whole, streamed].map(
    text =>
      text.includes('content-length') || text.includes('transfer-encoding'),
  );
  assert.deepEqual(isFramed, [false, false]);
  assert.ok(whole.endsWith('body'));
});

// Guards against a stream that was broken off and ends like a whole one.
test('a broken stream has no last chunk', async () => {
  assert.ok((await stream('framed', false)).endsWith('0\r\n\r\n'));
  assert.ok(!(await stream('framed', true)).endsWith('0\r\n\r\n'));
});
