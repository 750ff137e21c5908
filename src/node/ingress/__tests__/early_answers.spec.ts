/** Answers that come before the upload is written, and answers without a status. */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {ConnectionPools} from '../connections.js';
import {exchange, type ExchangeEnd} from '../exchange.js';

/** More than the kernel takes at once, so that the upload is still being written. */
const UPLOAD_BYTES = 8 * 1024 * 1024;
const REPEATS = 10;

interface ObservedExchange {
  readonly end: ExchangeEnd;
  readonly statuses: readonly number[];
}

/** Sends an upload to a peer that answers at its first bytes. */
async function upload(
  bytes: number,
  onFirstBytes: (socket: Socket) => void,
): Promise<ObservedExchange> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      onFirstBytes(socket);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const connections = new ConnectionPools();
  const statuses: number[] = [];
  const end = await exchange(
    connections.pool(`127.0.0.1:${port}`),
    {method: 'POST', path: '/', headers: [], body: Buffer.alloc(bytes, 'x')},
    {
      onHead: status => void statuses.push(status),
      onData: () => true,
    },
    AbortSignal.timeout(3_000),
  );
  await connections.close();
  server.close();
  return {end, statuses};
}

// Guards against a part of an answer that passes for the whole one: it has no length,
// and its connection is reset while the upload is still being written.
test('an early answer whose connection is reset in the upload is "broken"', async () => {
  const pauses = Array.from({length: REPEATS}, (_, repeat) => repeat * 5);
  const ends = await Promise.all(
    pauses.map(pauseMs =>
      upload(UPLOAD_BYTES, socket => {
        socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart');
        setTimeout(() => socket.resetAndDestroy(), pauseMs);
      }),
    ),
  );
  assert.deepEqual(
    ends.map(({end}) => end.kind),
    ends.map(() => 'broken'),
  );
});

// Guards against bytes that are no answer reaching a caller as one: no upstream
// answers with a status below 100.
test('an answer with the status 000 is "broken" and has no head', async () => {
  const framings = [
    'content-length: 4\r\n\r\nbody',
    'connection: close\r\n\r\n',
  ];
  const ends = await Promise.all(
    framings.map(framing =>
      upload(1, socket => {
        socket.write(`HTTP/1.1 000 Unknown\r\n${framing}`);
        setTimeout(() => socket.end(), 50);
      }),
    ),
  );
  assert.deepEqual(
    ends.map(({end, statuses}) => [end.kind, statuses]),
    ends.map(() => ['broken', []]),
  );
});
