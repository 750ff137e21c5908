/**
 * Benchmarks a group of three members in one process over the in-memory
 * network and prints JSON: appends per second with and without slow syncs,
 * entries per sync (group commit), bytes and CPU time per append, the cost of
 * heartbeats, and the recovery time after 500 changes. CPU time covers all
 * three members and the network between them. Run it with
 * `node dist/node/replication/measure.js`.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {FaultFileLayer} from '../__tests__/support/fault_file_layer.js';
import {MemoryNetwork} from '../__tests__/support/memory_network.js';
import {monotonicNowMs} from '../clock/clock.js';
import {RpcRouter} from '../rpc/rpc.js';
import type {FileLayer} from '../storage/file_layer.js';
import {NodeFileLayer} from '../storage/node_file_layer.js';
import {createReplica} from './create_replica.js';
import {instanceOf, memberIdOf} from './peer_transport.js';
import type {Replica} from './replica.js';
import {FileReplicaStorage} from './replica_storage.js';
import {
  StateMachine,
  type JsonValue,
  type ReplicaMember,
} from './replicated_log.js';

const DURATION_MS = 2000;
const CONCURRENCIES = [1, 16, 128];
const IDLE_MS = 5000;
const SLOW_SYNC_MS = 5;
const CHANGES_BEFORE_RECOVERY = 500;
const SNAPSHOT_EVERY = 200;
const POLL_MS = 1;
/** Approximate size of the record of a non-idempotent call. */
const COMMAND_CHARS = 200;

class CountingMachine extends StateMachine<string, number> {
  count = 0;

  override apply(): number {
    return ++this.count;
  }

  override snapshot(): JsonValue {
    return this.count;
  }

  override restore(snapshot: JsonValue): void {
    this.count = Number(snapshot);
  }
}

type Member = Replica<string, number>;

interface Group {
  readonly network: MemoryNetwork;
  readonly members: Member[];
  readonly start: (member: ReplicaMember) => Promise<Member>;
}

const MEMBERS: readonly ReplicaMember[] = ['a', 'b', 'c'].map(name => ({
  memberId: memberIdOf(name, '1'),
  address: `${name}:1`,
  weight: 1,
}));

async function createGroup(
  filesOf: (name: string) => FileLayer,
): Promise<Group> {
  const network = new MemoryNetwork();
  const start = (member: ReplicaMember): Promise<Member> => {
    const instance = instanceOf(member.memberId);
    const router = new RpcRouter();
    return createReplica<string, number>({
      memberId: member.memberId,
      methodPrefix: 'measure.raft',
      stateMachine: new CountingMachine(),
      storage: new FileReplicaStorage(filesOf(instance), 'log'),
      client: network.attach(member.address, instance, router),
      router,
      startAs: 'voter',
      initialMembers: MEMBERS,
      snapshotEveryEntries: SNAPSHOT_EVERY,
    });
  };
  const members = await Promise.all(MEMBERS.map(start));
  return {network, members, start};
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, POLL_MS));
}

async function leaderOf(group: Group): Promise<Member> {
  const find = (): Member | undefined =>
    group.members.find(member => member.status().role === 'leader');
  await waitUntil(() => find() !== undefined);
  return find() as Member;
}

async function crash(member: Member): Promise<void> {
  member.abort();
  await member.stop();
}

async function stopAll(group: Group): Promise<void> {
  await Promise.all(group.members.map(crash));
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Measures appends by `concurrency` callers that never pause. */
async function measureAppends(group: Group, concurrency: number) {
  const leader = await leaderOf(group);
  const command = 'x'.repeat(COMMAND_CHARS);
  const before = {...group.network.counters, ...leader.storageCounters};
  const cpuBefore = process.cpuUsage();
  const startMs = monotonicNowMs();
  const latenciesMs: number[] = [];
  const call = async (): Promise<void> => {
    while (monotonicNowMs() - startMs < DURATION_MS) {
      const sentMs = monotonicNowMs();
      const result = await leader.propose(command);
      if (result.isErr()) throw result.error;
      latenciesMs.push(monotonicNowMs() - sentMs);
    }
  };
  await Promise.all(Array.from({length: concurrency}, call));
  const elapsedMs = monotonicNowMs() - startMs;
  const cpu = process.cpuUsage(cpuBefore);
  const after = {...group.network.counters, ...leader.storageCounters};
  const appends = latenciesMs.length;
  latenciesMs.sort((left, right) => left - right);
  return {
    concurrency,
    appends,
    appendsPerSecond: round((1000 * appends) / elapsedMs),
    latencyP50Ms: round(latenciesMs[Math.floor(appends * 0.5)] ?? 0),
    latencyP99Ms: round(latenciesMs[Math.floor(appends * 0.99)] ?? 0),
    entriesPerSync: round(
      (after.entries - before.entries) / (after.batches - before.batches),
    ),
    networkBytesPerAppend: round((after.bytes - before.bytes) / appends),
    logBytesPerAppend: round((after.logBytes - before.logBytes) / appends),
    cpuMicrosPerAppend: round((cpu.user + cpu.system) / appends),
  };
}

async function measureAllAppends(filesOf: (name: string) => FileLayer) {
  const group = await createGroup(filesOf);
  const results = [];
  for (const concurrency of CONCURRENCIES) {
    results.push(await measureAppends(group, concurrency));
  }
  await stopAll(group);
  return results;
}

/** Measures the cost of heartbeats in an idle group. */
async function measureIdle(filesOf: (name: string) => FileLayer) {
  const group = await createGroup(filesOf);
  await leaderOf(group);
  const before = {...group.network.counters};
  const cpuBefore = process.cpuUsage();
  await new Promise(done => setTimeout(done, IDLE_MS));
  const cpu = process.cpuUsage(cpuBefore);
  const {messages, bytes} = group.network.counters;
  await stopAll(group);
  const seconds = IDLE_MS / 1000;
  return {
    messagesPerSecond: round((messages - before.messages) / seconds),
    bytesPerSecond: round((bytes - before.bytes) / seconds),
    cpuPercentOfCore: round((cpu.user + cpu.system) / (IDLE_MS * 10)),
  };
}

/** Measures the recovery of a follower that restarts after 500 changes. */
async function measureRecovery(filesOf: (name: string) => FileLayer) {
  const group = await createGroup(filesOf);
  const leader = await leaderOf(group);
  for (let change = 0; change < CHANGES_BEFORE_RECOVERY; change++) {
    const result = await leader.propose('x'.repeat(COMMAND_CHARS));
    if (result.isErr()) throw result.error;
  }
  const position = group.members.findIndex(member => member !== leader);
  const member = MEMBERS[position] as ReplicaMember;
  await crash(group.members[position] as Member);
  const startMs = monotonicNowMs();
  const restarted = await group.start(member);
  const loadMs = monotonicNowMs() - startMs;
  const loadedIndex = restarted.status().appliedIndex;
  group.members[position] = restarted;
  const target = leader.status().commitIndex;
  await waitUntil(() => restarted.status().appliedIndex >= target);
  const caughtUpMs = monotonicNowMs() - startMs;
  await stopAll(group);
  return {
    changes: CHANGES_BEFORE_RECOVERY,
    loadMs: round(loadMs),
    appliedFromSnapshot: loadedIndex,
    caughtUpMs: round(caughtUpMs),
  };
}

async function main(): Promise<void> {
  const root = await mkdtemp(join(tmpdir(), 'cyclamenfall-measure-'));
  const onDisk =
    (folder: string) =>
    (name: string): FileLayer =>
      new NodeFileLayer(join(root, folder, name));
  try {
    const report = {
      appendsOnDisk: await measureAllAppends(onDisk('appends')),
      slowSyncMs: SLOW_SYNC_MS,
      appendsWithSlowSync: await measureAllAppends(
        () => new FaultFileLayer({syncDelayMs: SLOW_SYNC_MS}),
      ),
      idle: await measureIdle(onDisk('idle')),
      recovery: await measureRecovery(onDisk('recovery')),
    };
    console.log(JSON.stringify(report, null, 2));
  } finally {
    await rm(root, {recursive: true});
  }
}

await main();
