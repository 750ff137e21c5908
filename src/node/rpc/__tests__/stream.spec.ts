import assert from 'node:assert/strict';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {pauseClockForIo, runWhile} from '../../__tests__/support/paused_io.js';
import {GatewayError} from '../../types/errors.js';
import {asId, type InstanceId} from '../../types/ids.js';
import {InnerServer} from '../http_server.js';
import {RpcRouter} from '../rpc.js';
import {StreamRpcClient} from '../stream_client.js';
import {createStreamKey, FrameReader, FrameWriter} from '../stream_frames.js';
import {PassThrough} from 'node:stream';

const SECRET = 'a secret of the cluster';
const ANY_PORT = '127.0.0.1:0';

function createClient(t: TestContext, clusterSecret = SECRET): StreamRpcClient {
  const self = asId<InstanceId>('centro-1');
  const client = new StreamRpcClient({self, clusterSecret});
  t.after(() => client.close());
  return client;
}

function createRouter(): RpcRouter {
  const router = new RpcRouter();
  router.register(
    'echo',
    z.strictObject({text: z.string()}),
    ({text}, {sender}) => `${text} from ${sender}`,
  );
  router.register('hang', z.object({}), () => new Promise(() => undefined));
  router.register('refuse', z.object({}), () => {
    throw new GatewayError({
      code: 'conflict',
      message: 'another change won',
      step: 'control.apply',
      peer: 'self',
    });
  });
  return router;
}

async function startServer(t: TestContext, address = ANY_PORT) {
  const router = createRouter();
  const options = {address, clusterSecret: SECRET, router};
  const server = new InnerServer(options);
  t.after(() => server.stop());
  return {server, address: await server.start()};
}

async function outcomeOf(
  client: StreamRpcClient,
  address: string,
  method = 'echo',
  timeoutMs = 1_000,
): Promise<string> {
  const params = method === 'echo' ? {text: 'a'} : {};
  const result = await client.call<string>(address, method, params, timeoutMs);
  return result.isOk() ? result.value : result.error.code;
}

// Guards against mixed-up results of concurrent calls on one connection.
test('concurrent calls get their own results', async t => {
  const {address} = await startServer(t);
  const client = createClient(t);
  const texts = Array.from({length: 50}, (_, index) => `call ${index}`);
  const results = await Promise.all(
    texts.map(text => client.call<string>(address, 'echo', {text}, 1_000)),
  );
  assert.deepEqual(
    results.map(each => each._unsafeUnwrap()),
    texts.map(text => `${text} from centro-1`),
  );
});

// Guards against errors that lose their code, and against a client with a wrong
// secret that opens a stream.
test('errors keep their codes and a wrong secret opens no stream', async t => {
  const {address} = await startServer(t);
  const client = createClient(t);
  const unauthorized = createClient(t, 'another secret of another one');
  assert.deepEqual(
    [
      await outcomeOf(client, address, 'refuse'),
      await outcomeOf(client, address, 'nothing'),
      await outcomeOf(client, address, 'hang', 60),
      await outcomeOf(unauthorized, address),
      await outcomeOf(client, '127.0.0.1:1'),
    ],
    ['conflict', 'internal', 'timeout', 'unreachable', 'unreachable'],
  );
});

// Guards against a client that reuses a dead connection after a peer restart.
test('calls to a restarted peer use a new connection', async t => {
  const {server, address} = await startServer(t);
  const client = createClient(t);
  const before = await outcomeOf(client, address);
  await server.stop();
  await sleep(20);
  const between = await outcomeOf(client, address);
  await startServer(t, address);
  const after = await outcomeOf(client, address);
  assert.deepEqual(
    [before, between, after],
    ['a from centro-1', 'unreachable', 'a from centro-1'],
  );
});

/** Starts a proxy that drops sent data while `shouldDrop` is true. */
async function startProxy(
  t: TestContext,
  address: string,
  shouldDrop: (connection: number) => boolean,
): Promise<string> {
  const [host = '', targetPort] = address.split(':');
  const sockets: Socket[] = [];
  let connections = 0;
  const proxy = createServer(socket => {
    const connection = connections;
    connections += 1;
    const target = connect(Number(targetPort), host);
    sockets.push(socket, target);
    socket.on('data', chunk => shouldDrop(connection) || target.write(chunk));
    target.on('data', chunk => socket.write(chunk));
    [socket, target].forEach(each => each.on('error', () => undefined));
  });
  await new Promise<void>(resolve => proxy.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    sockets.forEach(socket => socket.destroy());
    proxy.close();
  });
  const {port} = proxy.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

// Guards against calls that keep using a connection stalled by a partition.
test('a stalled connection is replaced after a call times out', async t => {
  const {address} = await startServer(t);
  const client = createClient(t);
  let isCut = false;
  const cutConnections = new Set<number>();
  const proxyAddress = await startProxy(t, address, connection => {
    if (isCut) cutConnections.add(connection);
    return cutConnections.has(connection);
  });
  const before = await outcomeOf(client, proxyAddress);
  isCut = true;
  const cut = await outcomeOf(client, proxyAddress, 'echo', 60);
  isCut = false;
  await sleep(10);
  const after = await outcomeOf(client, proxyAddress);
  assert.deepEqual(
    [before, cut, after],
    ['a from centro-1', 'timeout', 'a from centro-1'],
  );
});

// Guards against a peer that counts as unreachable because one of its
// connections stalled, and against an unresponsive peer that counts as healthy.
test('a spare connection distinguishes a stalled connection from an unresponsive peer', async t => {
  pauseClockForIo(t);
  const {address} = await startServer(t);
  const client = createClient(t);
  let isFirstStalled = false;
  let isPeerUnresponsive = false;
  const proxyAddress = await startProxy(
    t,
    address,
    connection => isPeerUnresponsive || (isFirstStalled && connection === 0),
  );
  const call = (timeoutMs?: number): Promise<string> =>
    runWhile(t, outcomeOf(client, proxyAddress, 'echo', timeoutMs));
  const before = await call();
  isFirstStalled = true;
  const stalledConnection = await call(5_000);
  const after = await call();
  isPeerUnresponsive = true;
  const unresponsivePeer = await call(5_000);
  assert.deepEqual(
    [before, stalledConnection, after, unresponsivePeer],
    ['a from centro-1', 'timeout', 'a from centro-1', 'unreachable'],
  );
});

// Guards against frames that an attacker between two instances modified,
// dropped, replayed or reflected to the sender.
test('modified, missing, replayed and reflected frames are rejected', () => {
  const key = createStreamKey(SECRET, 'credentials', 'nonce');
  const written: Buffer[] = [];
  const socket = new PassThrough();
  socket.on('data', (chunk: Buffer) => written.push(chunk));
  const writer = new FrameWriter(socket, key, 'request');
  writer.write({id: 1});
  writer.write({id: 2});
  socket.uncork();
  const [first = '', second = ''] = Buffer.concat(written)
    .toString()
    .split('\n');
  const read = (...frames: string[]): unknown[] => {
    const messages: unknown[] = [];
    const reader = new FrameReader(key, 'request', each => messages.push(each));
    reader.push(Buffer.from(`${frames.join('\n')}\n`));
    return messages;
  };
  assert.deepEqual(read(first, second), [{id: 1}, {id: 2}]);
  assert.throws(() => read(second), /wrong MAC/);
  assert.throws(() => read(first, first), /wrong MAC/);
  assert.throws(() => read(first.replace('"id":1', '"id":3')), /wrong MAC/);
  const back = new FrameReader(key, 'reply', () => undefined);
  assert.throws(() => back.push(Buffer.from(`${first}\n`)), /wrong MAC/);
});
