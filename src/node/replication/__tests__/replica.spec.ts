import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {founder, ReplicaGroup, type Node} from './replica_group.js';

const FOUNDERS = ['a', 'b', 'c'].map(name => founder(name));
// The default of `electionMaxMs`.
const ELECTION_MAX_MS = 2000;
const HOUR_MS = 3_600_000;

function commands(from: number, count: number): readonly string[] {
  return Array.from({length: count}, (_, offset) => `c${from + offset}`);
}

function others(group: ReplicaGroup, node: Node): readonly Node[] {
  return [...group.nodes.values()].filter(other => other !== node);
}

function assertEqualLogs(
  group: ReplicaGroup,
  expected: readonly string[],
): void {
  for (const {machine} of group.nodes.values()) {
    assert.deepEqual(machine.commands, expected);
  }
}

test('three members elect a leader and replicate commands', async context => {
  // Guards against a group that never commits, or that applies commands out of
  // order.
  pauseClock(context);
  const group = new ReplicaGroup(context);
  await group.found(FOUNDERS);
  const leader = await group.leader();
  const acknowledged = await group.propose(commands(1, 20));
  assert.equal(acknowledged.length, 20);
  await group.advance(400);
  assertEqualLogs(group, acknowledged);
  const [follower] = others(group, leader) as [Node];
  const refused = await group.wait(follower.replica.propose('x'));
  assert.equal(refused._unsafeUnwrapErr().code, 'not_leader');
  assert.equal(refused._unsafeUnwrapErr().leader, leader.member.memberId);
});

test('a read barrier sees every command acknowledged before', async context => {
  // Guards against stale reads on followers and on a leader that is cut off.
  pauseClock(context);
  const group = new ReplicaGroup(context);
  await group.found(FOUNDERS);
  const leader = await group.leader();
  await group.propose(commands(1, 3));
  const [follower] = others(group, leader) as [Node];
  assert.ok((await group.wait(follower.replica.readBarrier())).isOk());
  assert.deepEqual(follower.machine.commands, commands(1, 3));
  group.network.isolate(leader.member.address);
  const stale = await group.wait(leader.replica.readBarrier());
  assert.equal(stale._unsafeUnwrapErr().code, 'not_leader');
});

test('a leader cut off for an hour steps down and reverts no commands', async context => {
  // Guards against a leader that commits without a quorum, or that reverts
  // commands on its return which the others committed in the meantime.
  pauseClock(context);
  const group = new ReplicaGroup(context);
  await group.found(FOUNDERS);
  const old = await group.leader();
  await group.propose(commands(1, 3));
  group.network.isolate(old.member.address);
  const lost = old.replica.propose('lost');
  await group.advance(ELECTION_MAX_MS);
  assert.equal(old.replica.status().role, 'follower');
  assert.equal((await group.wait(lost))._unsafeUnwrapErr().work, 'unknown');
  const refused = await group.wait(old.replica.propose('refused'));
  assert.equal(refused._unsafeUnwrapErr().code, 'no_quorum');
  const term = (await group.leader()).replica.status().term;
  await group.propose(commands(4, 3));
  await group.advance(HOUR_MS, 100);
  assert.deepEqual(old.machine.commands, commands(1, 3));
  group.network.healAll();
  await group.advance(3000);
  // Because of pre-vote, the returning member does not force an election.
  assert.equal((await group.leader()).replica.status().term, term);
  assertEqualLogs(group, commands(1, 6));
});

test('a restart after 500 commands loads a snapshot and the log after it', async context => {
  // Guards against recovery that replays the complete history.
  pauseClock(context);
  const group = new ReplicaGroup(context, new MemoryNetwork(), {
    snapshotEveryEntries: 200,
    keepEntries: 50,
  });
  await group.found(FOUNDERS);
  for (let from = 1; from <= 500; from += 50) {
    await group.propose(commands(from, 50));
  }
  await group.advance(400);
  group.crash('b');
  const {replica, machine} = await group.restart(FOUNDERS[1]!);
  const restored = replica.status().appliedIndex;
  assert.ok(restored >= 400, `only ${restored} entries were in the snapshot`);
  await group.advance(3000);
  assert.deepEqual(machine.commands, commands(1, 500));
});

test('a log of large entries is compacted by size and sent in batches', async context => {
  // Guards against logs, retained entries and messages that exceed memory and
  // body limits although their entries are few.
  pauseClock(context);
  const network = new MemoryNetwork();
  const group = new ReplicaGroup(context, network, {
    maxLogChars: 100_000,
    keepChars: 20_000,
    maxBatchChars: 30_000,
  });
  await group.found(FOUNDERS);
  const [slow] = others(group, await group.leader()) as [Node];
  const large = 'x'.repeat(10_000);
  network.isolate(slow.member.address);
  for (let n = 0; n < 5; n++) await group.propose([large + n]);
  network.healAll();
  await group.advance(3000);
  assert.equal(slow.machine.commands.length, 5);
  for (let n = 5; n < 45; n++) await group.propose([large + n]);
  await group.advance(1000);
  assert.equal(slow.machine.commands.length, 45);
  const {largestBytes} = network.counters;
  assert.ok(largestBytes < 40_000, `message of ${largestBytes} bytes`);
  const logBytes = group.disks.get('a')?.sizeBytes('log/log') ?? 0;
  assert.ok(logBytes < 150_000, `log of ${logBytes} bytes`);
});

test('a member far behind receives a snapshot in chunks', async context => {
  // Guards against a member that cannot catch up because the entries it needs
  // were compacted.
  pauseClock(context);
  const group = new ReplicaGroup(context, new MemoryNetwork(), {
    snapshotEveryEntries: 20,
    keepEntries: 5,
    snapshotChunkChars: 100,
  });
  await group.found(FOUNDERS);
  const leader = await group.leader();
  const [slow] = others(group, leader) as [Node];
  const name = slow.member.address.slice(0, 1);
  group.crash(name);
  await group.propose(commands(1, 100));
  await group.restart(slow.member);
  await group.advance(2000);
  await group.propose(commands(101, 1));
  await group.advance(400);
  assertEqualLogs(group, commands(1, 101));
});

test('a leader transfers leadership before it stops', async context => {
  // Guards against planned stops after which the group waits for an election
  // timeout.
  pauseClock(context);
  const group = new ReplicaGroup(context);
  await group.found(FOUNDERS);
  const leader = await group.leader();
  await group.propose(commands(1, 3));
  await group.wait(leader.replica.stop());
  await group.advance(100);
  assert.equal(leader.replica.status().role, 'stopped');
  assert.equal(group.leaders().length, 1);
  const refused = await group.wait(leader.replica.propose('x'));
  assert.equal(refused._unsafeUnwrapErr().code, 'stopping');
});

test('commands survive message loss, reordering and delay', async context => {
  // Guards against retransmission that loses, duplicates or reorders entries.
  pauseClock(context);
  const network = new MemoryNetwork({
    seed: 3,
    delayMs: 5,
    jitterMs: 40,
    lossShare: 0.1,
  });
  const group = new ReplicaGroup(context, network);
  await group.found(FOUNDERS);
  const acknowledged: string[] = [];
  for (let from = 1; from <= 100; from += 5) {
    acknowledged.push(...(await group.propose(commands(from, 5))));
  }
  network.setDefaults({lossShare: 0, jitterMs: 0});
  await group.advance(5000);
  const {machine} = await group.leader();
  assertEqualLogs(group, machine.commands);
  assert.ok(acknowledged.length > 50, `${acknowledged.length} acknowledged`);
  assert.deepEqual(
    machine.commands.filter(command => acknowledged.includes(command)),
    acknowledged,
  );
});

test('a storage failure stops the member', async context => {
  // Guards against a member that continues after a failed sync, when the
  // content of its files is undefined.
  pauseClock(context);
  const failures: string[] = [];
  const group = new ReplicaGroup(context, new MemoryNetwork(), {
    onFailure: error => failures.push(error.step),
  });
  await group.found(FOUNDERS);
  const leader = await group.leader();
  const name = leader.member.address.slice(0, 1);
  group.disks.get(name)?.crash();
  const result = await group.wait(leader.replica.propose('x'));
  assert.ok(result.isErr());
  assert.equal(leader.replica.status().role, 'stopped');
  assert.deepEqual(failures, ['storage.write']);
});
