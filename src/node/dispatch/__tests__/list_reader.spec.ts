import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pino} from 'pino';
import {z} from 'zod';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {monotonicNowMs, setMonotonicSource} from '../../clock/clock.js';
import {FleetMembers} from '../../fleet/fleet_members.js';
import type {EntryInstance} from '../../fleet/messages.js';
import {MetricsRegistry} from '../../metrics/registry.js';
import {RpcRouter} from '../../rpc/rpc.js';
import type {ListedUpstream} from '../../scheduling/types.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {ListReader} from '../list_reader.js';
import {
  READ_LIST_METHOD,
  READ_REGION_METHOD,
  readListSchema,
} from '../messages.js';
import {
  UpstreamFeed,
  type HealthResult,
  type Liveness,
} from '../upstream_feed.js';

const REGION = asId<RegionId>('home');
const CONTROL = asId<InstanceId>('control');
const NAMES = ['e1', 'e2', 'e3', 'e4'];

class CountingFeed extends UpstreamFeed {
  override readonly lagMs = 100;
  calls = 0;
  isLost = false;

  override list(): Promise<readonly ListedUpstream[]> {
    this.calls += 1;
    return this.isLost
      ? Promise.reject(new Error('the list is lost'))
      : Promise.resolve([]);
  }

  override health(): Promise<HealthResult> {
    return Promise.resolve({kind: 'unhealthy'});
  }

  override liveness(): Promise<Liveness> {
    return Promise.resolve({kind: 'unknown'});
  }

  override canConnect(): Promise<boolean> {
    return Promise.resolve(false);
  }
}

function entry(name: string): EntryInstance {
  return {
    instanceId: asId<InstanceId>(name),
    innerAddress: `${name}:1`,
    callersAddress: `${name}:2`,
    region: REGION,
    domain: asId<DomainId>('home-a'),
    incarnation: 1,
    isReady: true,
    isStopping: false,
    isScheduling: false,
  };
}

/** Starts a reader whose membership view holds the given entries. */
function startReader(
  network: MemoryNetwork,
  self: EntryInstance,
  entries: readonly EntryInstance[],
  feed: CountingFeed,
): ListReader {
  const members = new FleetMembers(() => self);
  const view = {viewId: 'v', entries, controlMembers: []};
  members.updateView(CONTROL, {view}, monotonicNowMs());
  const router = new RpcRouter();
  const client = network.attach(self.innerAddress, self.instanceId, router);
  const reader = new ListReader({
    region: REGION,
    domains: [asId<DomainId>('home-a')],
    self: self.instanceId,
    members,
    feed,
    client,
    bulkClient: client,
    logger: pino({level: 'silent'}),
    metrics: new MetricsRegistry(),
  });
  router.register(READ_REGION_METHOD, z.object({}), () => reader.share());
  return reader;
}

function startEntries(network: MemoryNetwork) {
  const feed = new CountingFeed();
  const entries = NAMES.map(entry);
  const readers = entries.map(self =>
    startReader(network, self, entries, feed),
  );
  return {feed, readers};
}

// Guards against a call to the platform by each entry of a region.
test('the entries of a region share one reading', async () => {
  const {feed, readers} = startEntries(new MemoryNetwork());
  const readings = await Promise.all(readers.map(each => each.read()));
  assert.equal(feed.calls, 1);
  assert.ok(readings.every(each => each !== undefined));
});

// Guards against a region that loses the list when its reader entry fails.
test('entries read the list themselves without the reader entry', async () => {
  const network = new MemoryNetwork();
  const {feed, readers} = startEntries(network);
  NAMES.forEach(name => network.isolate(`${name}:1`));
  const readings = await Promise.all(readers.map(each => each.read()));
  assert.equal(feed.calls, NAMES.length);
  assert.ok(readings.every(each => each !== undefined));
});

// Guards against an age that is reported too low: an old reading could mark an
// upstream as warm that was found cold meanwhile.
test('a shared reading is never taken for younger than it is', async t => {
  let nowMs = 10_000;
  const {restore} = setMonotonicSource(() => nowMs);
  t.after(restore);
  const {feed, readers} = startEntries(new MemoryNetwork());
  const first = await Promise.all(readers.map(each => each.read()));
  nowMs += 20;
  const later = await Promise.all(readers.map(each => each.read()));
  assert.equal(feed.calls, 1);
  const readAtMs = [...first, ...later].map(each => each?.readAtMs);
  assert.deepEqual(new Set(readAtMs), new Set([10_000]));
});

// Guards against a region that keeps using an old list while a partition cuts
// it off from the platform but not from the other regions.
test('a region cut off from the list reads it through another', async () => {
  const network = new MemoryNetwork();
  const {feed, readers} = startEntries(network);
  feed.isLost = true;
  const [reader] = readers;
  assert.equal(await reader?.read(), undefined);
  const peer = {...entry('far'), region: asId<RegionId>('away')};
  const router = new RpcRouter();
  const asked: string[] = [];
  router.register(READ_LIST_METHOD, readListSchema, ({domain}) => {
    asked.push(domain);
    return [];
  });
  network.attach(peer.innerAddress, peer.instanceId, router);
  const alone = startReader(network, entry('e9'), [peer], feed);
  const reading = await alone.read();
  assert.deepEqual([reading?.upstreams, asked], [[], ['home-a']]);
});
