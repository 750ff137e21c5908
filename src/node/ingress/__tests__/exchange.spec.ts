import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {ConnectionPools} from '../connections.js';
import {exchange, type ExchangeEnd} from '../exchange.js';

const RESETS = 5;
const HEAD = 'HTTP/1.1 200 OK\r\nx-signed: 1\r\n';

interface ObservedExchange {
  readonly end: ExchangeEnd;
  readonly status: number;
  readonly body: string;
}

/** Sends one request to a server that writes its response to the raw socket. */
async function exchangeWith(
  onRequest: (socket: Socket) => void,
): Promise<ObservedExchange> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => onRequest(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const connections = new ConnectionPools();
  const seen = {status: 0, body: ''};
  const end = await exchange(
    connections.pool(`127.0.0.1:${port}`),
    {method: 'POST', path: '/', headers: [], body: Buffer.from('x')},
    {
      onHead: status => {
        seen.status = status;
      },
      onData: chunk => {
        seen.body += chunk.toString();
        return true;
      },
    },
    new AbortController().signal,
  );
  await connections.close();
  server.close();
  return {end, ...seen};
}

// Guards against a truncated response that is passed on as complete: a response
// without a length ends with the close of its connection, not with a reset.
test('a reset makes a response without a length "broken"', async () => {
  const reset = await exchangeWith(socket => {
    socket.write(`${HEAD}connection: close\r\n\r\nhalf`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  assert.equal(reset.end.kind, 'broken');
  const closed = await exchangeWith(socket => {
    socket.end(`${HEAD}connection: close\r\n\r\nwhole`);
  });
  assert.deepEqual(
    [closed.end.kind, closed.status, closed.body],
    ['complete', 200, 'whole'],
  );
});

// Guards against a reset that the runtime reports as an orderly end, as it arrives
// together with the data before it.
test('a reset right behind data is no regular end', async () => {
  const ends = await Promise.all(
    Array.from({length: RESETS}, () =>
      exchangeWith(socket => {
        socket.write(`${HEAD}connection: close\r\n\r\nhalf`);
        socket.resetAndDestroy();
      }),
    ),
  );
  assert.deepEqual(
    ends.map(({end}) => end.kind),
    ends.map(() => 'broken'),
  );
});

// Guards against a request that is reported as not run after it was written.
test('a connection lost before any response is "broken"', async () => {
  const lost = await exchangeWith(socket => socket.destroy());
  assert.equal(lost.end.kind, 'broken');
});

// Guards against a response body shorter than its length taken for complete.
test('a body shorter than its content-length is "broken"', async () => {
  const short = await exchangeWith(socket => {
    socket.end(`${HEAD}content-length: 10\r\n\r\nshort`);
  });
  assert.equal(short.end.kind, 'broken');
});

// Guards against a refused connection that is reported as an unknown outcome.
test('a refused connection is "not sent"', async () => {
  const connections = new ConnectionPools();
  const end = await exchange(
    connections.pool('127.0.0.1:9'),
    {method: 'GET', path: '/', headers: [], body: Buffer.alloc(0)},
    {onHead: () => undefined, onData: () => true},
    new AbortController().signal,
  );
  await connections.close();
  assert.equal(end.kind, 'not_sent');
});

interface KeepAliveServer {
  readonly address: string;
  /** Connections accepted so far. */
  readonly connections: Socket[];
}

async function startKeepAliveServer(
  t: TestContext,
  header: string,
): Promise<KeepAliveServer> {
  const connections: Socket[] = [];
  const server = createServer(socket => {
    connections.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () =>
      socket.write(`${HEAD}${header}content-length: 2\r\n\r\nok`),
    );
  });
  t.after(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, connections};
}

// Guards against connections that are closed after 4 s although the upstream
// keeps them for longer: each new one costs the upstream and delays a request.
test('an idle connection is kept as long as its upstream announces', async t => {
  const announcing = await startKeepAliveServer(
    t,
    'keep-alive: timeout=60\r\n',
  );
  const other = await startKeepAliveServer(t, '');
  const pools = new ConnectionPools();
  t.after(() => pools.close());
  const send = (address: string): Promise<ExchangeEnd> =>
    exchange(
      pools.pool(address),
      {method: 'GET', path: '/', headers: [], body: Buffer.alloc(0)},
      {onHead: () => undefined, onData: () => true},
      new AbortController().signal,
    );
  await send(announcing.address);
  await send(other.address);
  // The later one of the two expires first.
  await new Promise(resolve => other.connections[0]?.once('close', resolve));
  await send(announcing.address);
  await send(other.address);
  assert.deepEqual(
    [announcing.connections.length, other.connections.length],
    [1, 2],
  );
});
