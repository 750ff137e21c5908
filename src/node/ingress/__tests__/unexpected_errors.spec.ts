import assert from 'node:assert/strict';
import {request} from 'undici';
import {test, type TestContext} from 'node:test';
import type {GatewayError} from '../../types/errors.js';
import {ConnectionPools} from '../connections.js';
import {exchangeWith, type ExchangeEnd} from '../exchange.js';
import {IngressServer} from '../ingress_server.js';
import {LoadShedding} from '../../decisions/admission/load_shedding.js';
import type {QuotaGate} from '../../quotas/quota_gate.js';
import {PlannedStop} from '../planned_stop.js';
import type {RequestRunContext} from '../request_context.js';

async function endOfExchange(
  t: TestContext,
  address: string,
): Promise<ExchangeEnd['kind']> {
  const connections = new ConnectionPools();
  t.after(() => connections.close());
  const {kind} = await exchangeWith(
    connections,
    {address},
    {method: 'GET', path: '/', headers: [], body: Buffer.alloc(0)},
    {onHead: () => undefined, onData: () => true},
    new AbortController().signal,
  );
  return kind;
}

// Guards against an address that the HTTP client rejects with an exception: it
// ended the entry with all its requests.
test('a request to an unreadable address has not been sent', async t => {
  const addresses = ['10.0.0.1:65536', '\uFFFD\uFFFD.1:80', 'a b:80'];
  const ends = await Promise.all(
    addresses.map(address => endOfExchange(t, address)),
  );
  assert.deepEqual(ends, ['not_sent', 'not_sent', 'not_sent']);
});

// Guards against an error in the handling of one request that ends the process,
// and against a caller that waits for an answer in vain.
test('an error in the handling of one request is answered by 502', async t => {
  const crashes: string[] = [];
  const context = {
    protocol: {requestTraits: () => ({attemptId: 'attempt'})},
    log: {
      crashed: (_id: string, error: GatewayError, status: number) =>
        crashes.push(`${error.message}: ${status}`),
    },
  } as unknown as RequestRunContext;
  const server = new IngressServer({
    address: '127.0.0.1:0',
    context,
    matcher: () => {
      throw new Error('broken matcher');
    },
    waitForTable: () => Promise.resolve(),
    plannedStop: new PlannedStop(8_000),
    quotas: {} as QuotaGate,
    shedding: new LoadShedding(),
  });
  const address = await server.start();
  t.after(() => server.close());
  const answer = async (): Promise<number> => {
    const response = await request(`http://${address}/`);
    await response.body.dump();
    return response.statusCode;
  };
  assert.deepEqual([await answer(), await answer()], [502, 502]);
  assert.deepEqual(crashes, ['broken matcher: 502', 'broken matcher: 502']);
});
