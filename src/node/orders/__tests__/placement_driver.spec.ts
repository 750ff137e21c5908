/**
 * Guards against unpaced loads from the weight store and orders without lease.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {okAsync} from 'neverthrow';
import {pauseClock} from '../../__tests__/support/clock.js';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import type {PlacementUpstream} from '../../decisions/placement/placement.js';
import {
  asId,
  asNumber,
  type FencingToken,
  type ModelId,
} from '../../types/ids.js';
import type {Order} from '../order_sink.js';
import {PlacementDriver} from '../placement_driver.js';

const A = asId<ModelId>('a');
const B = asId<ModelId>('b');

test('loads are paced, and none is ordered without the lease', async t => {
  pauseClock(t);
  const startMs = Date.now();
  const log: unknown[] = [];
  let hasLease = false;
  const upstreams: PlacementUpstream[] = [0, 1, 2].map(index => ({
    upstreamId: asId(`worker-${index}`),
    slotCount: 16,
    modelIds: [A, B],
    loaded: [A],
    maxLoaded: 1,
    leaving: false,
  }));
  const driver = new PlacementDriver({
    issuer: {
      token: () => (hasLease ? asNumber<FencingToken>(5) : undefined),
      send: (order: Omit<Order, 'token'>) => {
        const {upstreamId, action} = order;
        log.push({atMs: Date.now() - startMs, upstreamId, ...action});
        return okAsync(undefined);
      },
    },
    upstreams: () => upstreams,
    demand: () =>
      new Map([
        [A, 10],
        [B, 30],
      ]),
    weightsBytes: () => 40e9,
    bytesPerSecond: () => 1e9,
  });
  const run = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 5_000) {
      t.mock.timers.tick(5_000);
      await driver.advance();
    }
  };
  await run(120_000);
  assert.equal(log.length, 0, 'no order without the lease');
  hasLease = true;
  await run(200_000);
  matchSnapshot(import.meta.url, 'paced orders', log);
});
