import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeIdleConnections} from '../open_connections.js';
import {closeServer, listen, parseAddress} from '../server.js';

/** More than the buffers of the kernel hold for a reader that has not begun. */
const BODY = Buffer.alloc(24 * 1024 * 1024, 'x');
const SETTLE_MS = 200;

interface Served {
  readonly server: Server;
  readonly address: string;
}

async function serve(t: TestContext, body: Buffer): Promise<Served> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, {'content-length': String(body.length)}).end(body);
  });
  const address = await listen(server, '127.0.0.1:0');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return {server, address};
}

/** Sends a request and reads nothing yet. */
async function ask({address}: Served): Promise<Socket> {
  const {host, port} = parseAddress(address);
  const socket = connect(port, host).pause();
  socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
  await sleep(SETTLE_MS);
  return socket;
}

/** Reads until the connection ends or nothing comes any more. */
async function readBytes(socket: Socket): Promise<number> {
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => (bytes += chunk.length)).resume();
  socket.on('error', () => undefined);
  const closed = new Promise(resolve => socket.once('close', resolve));
  await Promise.race([closed, sleep(SETTLE_MS * 10)]);
  socket.destroy();
  return bytes;
}

// Guards against a response that has ended but waits for a slow reader, and is
// cut because its connection counts as idle.
test('an undelivered response keeps its connection open', async t => {
  const served = await serve(t, BODY);
  const socket = await ask(served);
  closeIdleConnections(served.server);
  assert.ok((await readBytes(socket)) > BODY.length);
});

// Guards against the same as a server closes.
test('a server that closes delivers what it has answered', async t => {
  const served = await serve(t, BODY);
  const socket = await ask(served);
  const closed = closeServer(served.server);
  assert.ok((await readBytes(socket)) > BODY.length);
  await closed;
});

// Guards against connections that stay open without a request and keep their
// callers from other servers.
test('a connection without a request is closed', async t => {
  const served = await serve(t, Buffer.from('body'));
  const socket = await ask(served);
  let isClosed = false;
  socket.once('close', () => (isClosed = true)).resume();
  closeIdleConnections(served.server);
  await sleep(SETTLE_MS);
  assert.equal(isClosed, true);
});

// Guards against a request that is arriving and loses its connection.
test('a connection on which a request has begun stays open', async t => {
  const served = await serve(t, Buffer.from('body'));
  const socket = await ask(served);
  let isClosed = false;
  socket.once('close', () => (isClosed = true)).resume();
  socket.write('GET / HTTP/1.1\r\nHo');
  await sleep(SETTLE_MS);
  closeIdleConnections(served.server);
  await sleep(SETTLE_MS);
  assert.equal(isClosed, false);
  socket.destroy();
});
