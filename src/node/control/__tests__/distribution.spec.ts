import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {start, stop} from 'nact';
import {advanceClock} from '../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {playgroundAnswers} from '../../config/__tests__/playground.js';
import type {VersionedConfiguration} from '../../config/configuration.js';
import {generate} from '../../config/generate.js';
import {RpcRouter, type RpcClient} from '../../rpc/rpc.js';
import {FileLayer} from '../../storage/file_layer.js';
import {asId, asNumber} from '../../types/ids.js';
import {ConfigurationHolder} from '../configuration_holder.js';
import {
  applyReceived,
  loadInitialConfiguration,
  fetchFromPeer,
  PeerConfigurationStore,
  registerConfigurationPeer,
  type DomainPeer,
} from '../configuration_peers.js';
import {FileConfigurationStore} from '../configuration_store.js';
import {ConfigurationWatcher} from '../configuration_watcher.js';
import {watchParamsSchema} from '../methods.js';
import {pack} from '../packing.js';

const SEED = 20_261_204;
const CONFIGURATION = generate(playgroundAnswers('zsaner'));
const PACKED = pack(CONFIGURATION);

function versioned(version: number): VersionedConfiguration {
  return {version: asNumber(version), configuration: CONFIGURATION};
}

/** One file in memory; a write may crash before or after it is durable. */
class CrashingFiles extends FileLayer {
  crash: 'none' | 'before' | 'after' = 'none';
  private file: Uint8Array | undefined;

  override read(): Promise<Uint8Array | undefined> {
    return Promise.resolve(this.file);
  }
  override async writeAtomic(_name: string, bytes: Uint8Array): Promise<void> {
    await Promise.resolve();
    if (this.crash !== 'before') this.file = bytes;
    if (this.crash !== 'none') throw new Error('the process crashed');
  }
  override append(): Promise<void> {
    return Promise.resolve();
  }
  override sync(): Promise<void> {
    return Promise.resolve();
  }
  override truncate(): Promise<void> {
    return Promise.resolve();
  }
  override list(): Promise<readonly string[]> {
    return Promise.resolve([]);
  }
  override remove(): Promise<void> {
    return Promise.resolve();
  }
  override close(): Promise<void> {
    return Promise.resolve();
  }
}

const writes = fc.array(
  fc.record({
    version: fc.integer({min: 1, max: 12}),
    crash: fc.constantFrom('none', 'none', 'before', 'after'),
  }),
  {maxLength: 25},
);

// Guards against an instance that serves an older version after a restart than
// before it, and against a stale version that replaces a newer one.
test('the version never decreases across crashes and restarts', async () => {
  await fc.assert(
    fc.asyncProperty(writes, async list => {
      const files = new CrashingFiles();
      let system = start();
      let holder = new ConfigurationHolder(
        system,
        new FileConfigurationStore(files),
      );
      let served = 0;
      for (const {version, crash} of list) {
        files.crash = crash as CrashingFiles['crash'];
        const before = holder.version();
        const isInForce = await holder
          .apply(versioned(version))
          .catch(() => 'crashed');
        assert.ok(isInForce === 'crashed' || isInForce === version > before);
        served = Math.max(served, holder.version());
        if (isInForce !== 'crashed') continue;
        stop(system);
        files.crash = 'none';
        system = start();
        holder = new ConfigurationHolder(
          system,
          new FileConfigurationStore(files),
        );
        await holder.load();
        assert.ok(holder.version() >= served);
        served = holder.version();
      }
      assert.equal(holder.version(), served);
      stop(system);
    }),
    {seed: SEED, numRuns: 200},
  );
});

// Guards against serving a truncated or altered file.
test('a corrupt file is treated as missing', async () => {
  const files = new CrashingFiles();
  const store = new FileConfigurationStore(files);
  await store.store(versioned(3));
  const bytes = (await files.read()) ?? new Uint8Array();
  assert.equal((await store.load())?.version, 3);
  const altered = Buffer.from(bytes).toString().replace('18001', '18009');
  await files.writeAtomic('', Buffer.from(altered));
  assert.equal(await store.load(), undefined);
  await files.writeAtomic('', bytes.slice(0, 100));
  assert.equal(await store.load(), undefined);
});

// Guards against a full or failing disk that crashes an entry.
test('a version that cannot be stored is reported and not served', async t => {
  const files = new CrashingFiles();
  const failures: unknown[] = [];
  const system = start();
  t.after(() => stop(system));
  const holder = new ConfigurationHolder(
    system,
    new FileConfigurationStore(files),
    thrown => failures.push(thrown),
  );
  files.crash = 'before';
  const received = {version: versioned(2).version, packed: PACKED};
  assert.equal(await applyReceived(holder, received), false);
  assert.equal(holder.version(), 0);
  assert.equal(failures.length, 1);
  files.crash = 'none';
  assert.equal(await applyReceived(holder, received), true);
});

interface Entry {
  readonly holder: ConfigurationHolder;
  readonly rpc: RpcClient;
  readonly address: string;
}

const NAMES = ['disk', 'memory-1', 'memory-2'];

function createDomain(t: TestContext): {
  network: MemoryNetwork;
  startEntry: (name: string) => Entry;
  peersOf: (name: string) => DomainPeer[];
} {
  pauseClock(t);
  const network = new MemoryNetwork({delayMs: 1});
  const disk = new CrashingFiles();
  const peersOf = (name: string): DomainPeer[] =>
    NAMES.filter(other => other !== name).map(other => ({
      address: `${other}:1`,
      hasDisk: other === 'disk',
    }));
  const startEntry = (name: string): Entry => {
    const address = `${name}:1`;
    const router = new RpcRouter();
    const rpc = network.attach(address, name, router);
    const hasDisk = name === 'disk';
    const store = hasDisk
      ? new FileConfigurationStore(disk)
      : new PeerConfigurationStore(rpc, () => peersOf(name));
    const system = start();
    t.after(() => stop(system));
    const holder = new ConfigurationHolder(system, store);
    registerConfigurationPeer(router, holder, {
      instanceId: asId(name),
      hasDisk,
    });
    return {holder, rpc, address};
  };
  return {network, startEntry, peersOf};
}

async function whileAdvancing<Result>(
  t: TestContext,
  durationMs: number,
  work: Promise<Result>,
): Promise<Result> {
  await advanceClock(t, durationMs, 5);
  return work;
}

// Guards against a version that is only in memory and is lost when the whole
// domain restarts while it is cut off from the control members.
test('a cut-off domain restarts with the latest version it served', async t => {
  const {network, startEntry, peersOf} = createDomain(t);
  const [disk, first, second] = NAMES.map(startEntry);
  await whileAdvancing(
    t,
    50,
    first?.holder.apply(versioned(4)) ?? Promise.resolve(),
  );
  assert.equal(first?.holder.version(), 4);
  assert.equal(disk?.holder.version(), 4);
  const fetched = fetchFromPeer(
    second?.rpc as RpcClient,
    second?.holder as ConfigurationHolder,
    'memory-1:1',
  );
  assert.equal(await whileAdvancing(t, 50, fetched), true);
  NAMES.forEach(name => network.detach(`${name}:1`));
  const restarted = NAMES.map(startEntry);
  for (const [index, {holder, rpc}] of restarted.entries()) {
    const started = loadInitialConfiguration({
      rpc,
      holder,
      peerAddresses: peersOf(NAMES[index] ?? '').map(({address}) => address),
      controlAddresses: ['control:1'],
    });
    assert.equal(await whileAdvancing(t, 1_500, started), true);
    assert.equal(holder.version(), 4);
  }
});

// Guards against two diskless instances that wait for each other, and against
// an instance without reachable peers that never serves.
test('a domain whose disk is unreachable stores versions in peers', async t => {
  const {network, startEntry} = createDomain(t);
  const [, first, second] = NAMES.map(startEntry);
  network.isolate('disk:1');
  const both = Promise.all([
    first?.holder.apply(versioned(2)),
    second?.holder.apply(versioned(3)),
  ]);
  await whileAdvancing(t, 4_000, both);
  assert.equal(second?.holder.version(), 3);
  assert.equal(first?.holder.latest()?.version, 3);
  network.isolate('memory-1:1');
  const alone = first?.holder.apply(versioned(5));
  assert.equal(await whileAdvancing(t, 4_000, alone as Promise<boolean>), true);
});

// Guards against a watcher that stays with a control member that is
// unresponsive, or that is cut off from its leader and sends corrupt bodies,
// while others have the next version. The requirement is 8 s.
test('a version arrives in time although two members are faulty', async t => {
  const {network, startEntry} = createDomain(t);
  const {holder, rpc} = startEntry('disk');
  const serve = (name: string, answer: () => object): void => {
    const router = new RpcRouter();
    router.register('config.watch', watchParamsSchema, answer);
    network.attach(`${name}:1`, name, router);
  };
  let version = 1;
  serve('good', () => ({version, packed: PACKED, hasLeader: true}));
  serve('behind', () => ({version: 9, packed: 'AAAA', hasLeader: false}));
  serve('silent', () => ({}));
  network.isolate('silent:1');
  const watcher = new ConfigurationWatcher({
    rpc,
    holder,
    controlAddresses: () => ['silent:1', 'behind:1', 'good:1'],
    isWatcher: () => true,
  });
  watcher.start();
  t.after(() => watcher.stop());
  await advanceClock(t, 8_000, 5);
  assert.equal(holder.version(), 1);
  version = 2;
  await advanceClock(t, 8_000, 5);
  assert.equal(holder.version(), 2);
});
