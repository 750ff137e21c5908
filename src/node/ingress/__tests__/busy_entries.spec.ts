import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {LoadShedding} from '../../decisions/admission/load_shedding.js';
import type {QuotaGate} from '../../quotas/quota_gate.js';
import {RouteMatcher} from '../../routes/route_matcher.js';
import type {RouteTable} from '../../routes/route_table.js';
import {IngressServer} from '../ingress_server.js';
import {PlannedStop} from '../planned_stop.js';
import type {RequestRunContext} from '../request_context.js';

const REQUESTS = 40;

// Guards against a flood that takes all processor time of an entry, and against an
// answer that does not say that the request has not run.
test('a busy entry refuses before it asks for an upstream', async t => {
  const shedding = new LoadShedding();
  Array.from({length: 60}).forEach(() =>
    shedding.noteSample({delayMs: 500, utilization: 1}),
  );
  const rejections: string[] = [];
  const context = {
    protocol: {requestTraits: () => ({attemptId: 'attempt'})},
    log: {
      rejected: (_id: string, reason: string) => rejections.push(reason),
      crashed: () => undefined,
    },
  } as unknown as RequestRunContext;
  const table = {
    version: 1,
    routes: [{host: 'shop.example', pathPrefix: '/', priority: 3}],
    services: [],
    limits: {maxHeaderBytes: 16_384, maxBodyBytes: 1_000},
  } as unknown as RouteTable;
  const matcher = new RouteMatcher(table);
  const server = new IngressServer({
    address: '127.0.0.1:0',
    context,
    matcher: () => matcher,
    waitForTable: () => Promise.resolve(),
    plannedStop: new PlannedStop(8_000),
    quotas: {} as QuotaGate,
    shedding,
  });
  const address = await server.start();
  t.after(() => server.close());
  const send = async (): Promise<readonly [number, number, string]> => {
    const {statusCode, headers, body} = await request(`http://${address}/x`, {
      method: 'POST',
      headers: {host: 'shop.example'},
      body: 'x',
    });
    const retryAfterMs = Number(headers['retry-after']) * 1_000;
    return [statusCode, retryAfterMs, await body.text()];
  };
  const answers = await Promise.all(Array.from({length: REQUESTS}, send));
  const refused = answers.filter(([status]) => status === 503);
  assert.ok(refused.length >= 0.9 * REQUESTS, `${refused.length} refused`);
  assert.ok(refused.every(([, retryAfterMs]) => retryAfterMs >= 4_000));
  assert.ok(refused.every(([, , text]) => text.includes('not_run')));
  assert.equal(refused.length, rejections.length);
  assert.deepEqual(new Set(rejections), new Set(['busy']));
});
