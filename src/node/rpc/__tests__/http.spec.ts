import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {test, type TestContext} from 'node:test';
import {z} from 'zod';
import {closeServer, listen} from '../../http/server.js';
import {GatewayError} from '../../types/errors.js';
import {asId, type InstanceId} from '../../types/ids.js';
import {HttpRpcClient} from '../http_client.js';
import {InnerServer} from '../http_server.js';
import {RpcRouter} from '../rpc.js';

const SECRET = 'a secret of the cluster';
const ANY_PORT = '127.0.0.1:0';

function createClient(t: TestContext, clusterSecret = SECRET): HttpRpcClient {
  const self = asId<InstanceId>('centro-1');
  const client = new HttpRpcClient({self, clusterSecret});
  t.after(() => client.close());
  return client;
}

async function startServer(t: TestContext, router: RpcRouter): Promise<string> {
  const server = new InnerServer({
    address: ANY_PORT,
    clusterSecret: SECRET,
    router,
  });
  const address = await server.start();
  t.after(() => server.stop());
  return address;
}

async function codeOf(
  client: HttpRpcClient,
  address: string,
  timeoutMs = 1_000,
): Promise<string> {
  const result = await client.call(address, 'echo', {text: 'a'}, timeoutMs);
  return result.isOk() ? 'ok' : result.error.code;
}

test('a call carries parameters, the sender and the result', async t => {
  const router = new RpcRouter();
  router.register(
    'echo',
    z.strictObject({text: z.string()}),
    ({text}, {sender}) => `${text} from ${sender}`,
  );
  const address = await startServer(t, router);
  const result = await createClient(t).call(
    address,
    'echo',
    {text: 'a'},
    1_000,
  );
  assert.equal(result._unsafeUnwrap(), 'a from centro-1');
});

// Guards against peer errors that lose their code, step or leader in transit.
test('an error thrown by the peer keeps its code, step and leader', async t => {
  const router = new RpcRouter();
  router.register('echo', z.unknown(), () => {
    throw new GatewayError({
      code: 'not_leader',
      message: 'another member leads',
      step: 'records.begin',
      peer: 'self',
      leader: 'centro-2#1',
    });
  });
  const address = await startServer(t, router);
  const error = (
    await createClient(t).call(address, 'echo', {}, 1_000)
  )._unsafeUnwrapErr();
  assert.deepEqual(
    [error.code, error.step, error.leader],
    ['not_leader', 'records.begin', 'centro-2#1'],
  );
});

// Guards against transport errors that the JSON-RPC library turns into
// `internal`, so that callers cannot tell whether the call may have been sent.
test('refused connections, timeouts and wrong secrets have distinct codes', async t => {
  const router = new RpcRouter();
  router.register('echo', z.unknown(), () => 'ok');
  const address = await startServer(t, router);
  const unresponsive = createServer(() => undefined);
  const unresponsiveAddress = await listen(unresponsive, ANY_PORT);
  const closed = createServer();
  const closedAddress = await listen(closed, ANY_PORT);
  await closeServer(closed);
  t.after(() => {
    unresponsive.closeAllConnections();
    unresponsive.close();
  });
  const client = createClient(t);
  assert.equal(await codeOf(client, closedAddress), 'unreachable');
  assert.equal(await codeOf(client, unresponsiveAddress, 50), 'timeout');
  assert.equal(await codeOf(client, address, 1_000.5), 'ok');
  const unauthorized = createClient(t, 'another secret');
  assert.equal(await codeOf(unauthorized, address), 'unauthorized');
});
