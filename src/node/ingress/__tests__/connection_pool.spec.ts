import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {monotonicNowMs, setMonotonicSource} from '../../clock/clock.js';
import {ConnectionPools} from '../connections.js';
import {
  exchange,
  exchangeWith,
  ExtraAnswerError,
  type ExchangeEnd,
} from '../exchange.js';

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
const REFUSAL = 'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n';
/** More than the time for which an upstream is expected to send copies. */
const LONG_MS = 300_001;
/** More than one connection carries. */
const MANY_ATTEMPTS = 1_001;

interface Peer {
  readonly send: (
    attemptId?: string,
    onHead?: () => void,
  ) => Promise<ExchangeEnd>;
  /** The requests that each connection carried, in the order of their opening. */
  readonly carried: number[];
  readonly openCount: () => number;
}

async function startPeer(t: TestContext, answer = ANSWER): Promise<Peer> {
  const carried: number[] = [];
  let openCount = 0;
  const server = createServer(socket => {
    const number = carried.push(0) - 1;
    openCount += 1;
    socket.on('error', () => undefined);
    socket.once('close', () => {
      openCount -= 1;
    });
    socket.on('data', () => {
      carried[number] = (carried[number] ?? 0) + 1;
      socket.write(answer);
    });
  });
  t.after(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const pools = new ConnectionPools();
  t.after(() => pools.close());
  const send: Peer['send'] = async (attemptId, onHead = () => undefined) => {
    const attempt = attemptId === undefined ? {} : {attemptId};
    const end = await exchange(
      pools.pool(`127.0.0.1:${port}`),
      {
        method: 'GET',
        path: '/',
        headers: [],
        body: Buffer.alloc(0),
        ...attempt,
      },
      {onHead, onData: () => true},
      new AbortController().signal,
    );
    // A connection can be used again one turn later.
    await new Promise(resolve => setImmediate(resolve));
    return end;
  };
  return {send, carried, openCount: () => openCount};
}

async function sendInTurn(
  {send}: Peer,
  attempts: readonly (string | undefined)[],
): Promise<void> {
  await attempts.reduce<Promise<unknown>>(
    (previous, attemptId) => previous.then(() => send(attemptId)),
    Promise.resolve(),
  );
}

// Guards against an attempt that is written twice on one connection, where a copy of
// the first answer could not be told from the second one.
test('an attempt that is sent again uses another connection', async t => {
  const peer = await startPeer(t);
  await sendInTurn(peer, ['a', 'b', 'a', 'c', 'b', 'a']);
  assert.deepEqual(peer.carried, [2, 3, 1]);
});

// Guards against answers without an id that a later request takes for its own, and
// against a connection for each request to peers that send no second answer.
test('a request without an id has a connection of its own', async t => {
  const peer = await startPeer(t);
  await sendInTurn(peer, ['a', '', '', 'b', undefined, undefined]);
  await sleep(20);
  assert.deepEqual([peer.carried, peer.openCount()], [[4, 1, 1], 1]);
});

// Guards against attempt ids that are kept without bound.
test('a connection carries a bounded number of attempts', async t => {
  const peer = await startPeer(t);
  await sendInTurn(
    peer,
    Array.from({length: MANY_ATTEMPTS}, (_, number) => `a${number}`),
  );
  assert.deepEqual(peer.carried, [MANY_ATTEMPTS - 1, 1]);
});

// Guards against connections on which the copy of a refusal waits for the next
// request, and against a new connection for each refusal when no copies come.
test('connections with a refusal are closed while copies are expected', async t => {
  const peer = await startPeer(t, REFUSAL);
  await sendInTurn(peer, ['a', 'b']);
  await peer.send('c', () => {
    throw new ExtraAnswerError('answer to another request');
  });
  await sendInTurn(peer, ['d', 'e']);
  const startMs = monotonicNowMs();
  const {restore} = setMonotonicSource(() => startMs + LONG_MS);
  t.after(restore);
  await sendInTurn(peer, ['f', 'g']);
  assert.deepEqual(peer.carried, [3, 1, 1, 2]);
});

// Guards against requests that an entry sends again after it has cut them at the end of a
// planned stop.
test('nothing is sent once the connections are closed', async t => {
  let requests = 0;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      socket.write(ANSWER);
    });
  });
  t.after(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const pools = new ConnectionPools();
  t.after(() => pools.close());
  const send = (attemptId: string): Promise<ExchangeEnd> =>
    exchangeWith(
      pools,
      {address: `127.0.0.1:${port}`},
      {attemptId, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0)},
      {onHead: () => undefined, onData: () => true},
      new AbortController().signal,
    );
  const before = await send('a');
  await pools.close();
  const after = await send('b');
  assert.deepEqual(
    [before.kind, after.kind, requests],
    ['complete', 'not_sent', 1],
  );
});
