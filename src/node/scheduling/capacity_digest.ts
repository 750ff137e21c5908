/** Builds the capacity digest that a scheduler sends to other domains. */
import type {DomainId, RegionId, ServiceId} from '../types/ids.js';
import {queueWaitMs} from './forecast.js';
import type {HotParts} from './hot_parts.js';
import type {LoadForecast} from './load_forecast.js';
import {poolUseOf} from './pool_use.js';
import type {CapacityDigest} from './types.js';
import type {UpstreamPool} from './upstream_pool.js';
import type {WorkQueue} from './work_queue.js';

/** The scheduler that a digest describes. */
export interface DigestSource {
  readonly region: RegionId;
  readonly domain: DomainId;
  readonly service: ServiceId;
  readonly pool: UpstreamPool;
  readonly queue: WorkQueue;
  readonly loadForecast: LoadForecast;
  readonly hotParts: HotParts;
}

/** A request of this priority overtakes the whole queue. */
const MORE_URGENT_THAN_ALL = -1;

/** Upstreams that get few requests a second are no capacity for others. */
export function digestOf(
  {region, domain, service, pool, queue, loadForecast, hotParts}: DigestSource,
  nowMs: number,
): CapacityDigest {
  const all = pool.usable(nowMs);
  const usable = all.filter(each => each.startsPerS(nowMs) === undefined);
  const freeSlots = usable.reduce((sum, each) => sum + each.freeSlots, 0);
  const load = loadForecast.foreseen(
    poolUseOf(usable, nowMs),
    queue.ahead(),
    nowMs,
  );
  const versions = all.flatMap(each => each.softwareVersion ?? []);
  return {
    region,
    domain,
    service,
    upstreams: usable.length,
    softwareVersions: [...new Set(versions)],
    freeSlots: freeSlots - queue.size,
    loads: [MORE_URGENT_THAN_ALL, ...queue.priorities()].map(priority => {
      const ahead = queue.ahead(priority);
      const waitMs = queueWaitMs(ahead, usable, nowMs);
      return {priority, queued: ahead.requests, waitMs};
    }),
    slotsFreedPerMs: usable.reduce(
      (sum, each) => sum + each.slotsFreedPerMs,
      0,
    ),
    freeTokens: usable.reduce((sum, each) => sum + each.freeTokens, 0),
    waitMs: queueWaitMs(queue.ahead(), usable, nowMs),
    readShare: load.prefill,
    slots: usable.reduce((sum, each) => sum + each.listed.slots, 0),
    load,
    heldParts: hotParts.keys(part => all.some(each => each.cache.has(part))),
  };
}
