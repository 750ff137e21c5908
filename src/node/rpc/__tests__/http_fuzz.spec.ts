import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {z} from 'zod';
import {
  innerClient,
  listenOnFreePort,
  refusingAddress,
} from '../../entry/__tests__/support/http_entry.js';
import {asId} from '../../types/ids.js';
import {AUTHENTICATION_HEADER, createCredentials} from '../authentication.js';
import {RPC_PATH} from '../http_client.js';
import {InnerServer} from '../http_server.js';
import {RpcRouter} from '../rpc.js';

const SECRET = 'a secret of this test only';
const MAX_REPLY_BYTES = 8_192;
const RUNS = {seed: 20261204, numRuns: 400};

async function startServer(t: TestContext): Promise<string> {
  const router = new RpcRouter();
  router.register(
    'add',
    z.strictObject({left: z.number(), right: z.number()}),
    ({left, right}) => left + right,
  );
  router.register('fail', z.unknown(), () => {
    throw new Error('thrown by a handler');
  });
  const server = new InnerServer({
    address: '127.0.0.1:0',
    clusterSecret: SECRET,
    router,
  });
  const address = await server.start();
  t.after(() => server.stop());
  return address;
}

async function post(address: string, text: string): Promise<unknown> {
  const body = Buffer.from(text);
  const sender = asId<never>('entry-2');
  const credentials = createCredentials(SECRET, sender, RPC_PATH, body);
  const answer = await fetch(`http://${address}${RPC_PATH}`, {
    method: 'POST',
    body,
    headers: {[AUTHENTICATION_HEADER]: credentials},
  });
  const reply = await answer.text();
  assert.equal(answer.status, 200, `${answer.status} for ${text}`);
  return JSON.parse(reply);
}

interface Reply {
  readonly jsonrpc: string;
  readonly result?: unknown;
  readonly error?: {readonly code: number; readonly message: string};
}

function assertValidReply(reply: unknown, text: string): void {
  const replies = (Array.isArray(reply) ? reply : [reply]) as Reply[];
  replies.forEach(each => {
    const shown = `${JSON.stringify(each)} for ${text.slice(0, 200)}`;
    assert.equal(each.jsonrpc, '2.0', shown);
    const hasResult = 'result' in each;
    assert.notEqual(hasResult, each.error !== undefined, shown);
    if (each.error === undefined) return;
    assert.equal(typeof each.error.code, 'number', shown);
    assert.ok(each.error.message.length > 0, shown);
    assert.ok(JSON.stringify(each).length < MAX_REPLY_BYTES, shown);
  });
}

const method = fc.oneof(
  fc.constantFrom(
    'add',
    'fail',
    'constructor',
    '__proto__',
    'toString',
    'hasOwnProperty',
  ),
  fc.string(),
  fc.string({minLength: 20_000, maxLength: 40_000}),
  fc.jsonValue(),
);
const call = fc.record(
  {
    jsonrpc: fc.oneof(fc.constant('2.0'), fc.jsonValue()),
    id: fc.oneof(fc.integer(), fc.string(), fc.jsonValue()),
    method,
    params: fc.oneof(
      fc.record({left: fc.jsonValue(), right: fc.jsonValue()}),
      fc.record({left: fc.double(), right: fc.double()}),
      fc.jsonValue(),
    ),
  },
  {requiredKeys: []},
);
const wellFormed = fc
  .tuple(fc.integer(), method, fc.jsonValue())
  .map(([id, name, params]) => ({jsonrpc: '2.0', id, method: name, params}));
const body = fc.oneof(
  fc.string(),
  fc.json(),
  call.map(value => JSON.stringify(value)),
  wellFormed.map(value => JSON.stringify(value)),
  fc.array(call, {maxLength: 4}).map(value => JSON.stringify(value)),
);

test('invalid calls get a JSON-RPC error and never stop or block the inner listener', async t => {
  const address = await startServer(t);
  await fc.assert(
    fc.asyncProperty(body, async text => {
      const reply = await post(address, text);
      // Calls without an id are notifications, which have no response.
      if (reply === null) return;
      assertValidReply(reply, text);
    }),
    RUNS,
  );
  const client = innerClient(SECRET);
  t.after(() => client.close());
  const params = {left: 1, right: 2};
  const result = await client.call(address, 'add', params, 1_000);
  assert.equal(result._unsafeUnwrap(), 3);
});

test('each call of a batch gets a result, including the first call of its method', async t => {
  const address = await startServer(t);
  const params = {left: 1, right: 2};
  const calls = [1, 2].map(id => ({jsonrpc: '2.0', id, method: 'add', params}));
  const replies = (await post(address, JSON.stringify(calls))) as Reply[];
  assert.deepEqual(
    replies.map(reply => reply.result),
    [3, 3],
  );
});

test('invalid credentials of any form are rejected with 401', async t => {
  const address = await startServer(t);
  const part = fc.stringMatching(/^[!-~]{0,80}$/);
  const header = fc
    .array(fc.oneof(part, fc.constant(String(Date.now()))), {maxLength: 6})
    .map(parts => parts.join(' '));
  await fc.assert(
    fc.asyncProperty(header, async value => {
      const answer = await fetch(`http://${address}${RPC_PATH}`, {
        method: 'POST',
        body: '{}',
        headers: {[AUTHENTICATION_HEADER]: value},
      });
      await answer.text();
      assert.equal(answer.status, 401);
    }),
    {...RUNS, numRuns: 100},
  );
});

test('unresponsive connections time out; reset and refused ones are unreachable', async t => {
  const client = innerClient(SECRET);
  t.after(() => client.close());
  const sockets: Array<{destroy: () => void}> = [];
  const unresponsive = createServer(socket => void sockets.push(socket));
  const breaking = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.destroy());
  });
  const invalidJson = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () =>
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'),
    );
  });
  t.after(() => {
    sockets.forEach(socket => socket.destroy());
    [unresponsive, breaking, invalidJson].forEach(server => server.close());
  });
  const codeOf = async (address: string): Promise<string> => {
    const result = await client.call(address, 'add', {}, 200);
    return result.isErr() ? result.error.code : 'ok';
  };
  assert.equal(await codeOf(await listenOnFreePort(unresponsive)), 'timeout');
  assert.equal(await codeOf(await refusingAddress()), 'unreachable');
  assert.equal(await codeOf(await listenOnFreePort(breaking)), 'unreachable');
  assert.equal(
    await codeOf(await listenOnFreePort(invalidJson)),
    'unreachable',
  );
});
