import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {FaultFileLayer} from '../../__tests__/support/fault_file_layer.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {GatewayError} from '../../types/errors.js';
import {FileReplicaStorage} from '../replica_storage.js';
import {instanceOf} from '../peer_transport.js';
import {founder, ReplicaGroup, type NodeOptions} from './replica_group.js';

// Short timeouts, since each crash costs the simulated time of an election.
const OPTIONS: NodeOptions = {
  snapshotEveryEntries: 4,
  keepEntries: 1,
  electionMinMs: 100,
  electionMaxMs: 200,
  heartbeatMs: 20,
};

/** The default of `electionMinMs`. */
const ELECTION_MIN_MS = 1_000;

/**
 * Forms a group in which the disk of `a` crashes at one of its operations,
 * restarts all members and returns the acknowledged commands that are lost, or
 * `undefined` if the disk did not crash.
 */
async function lostAfterCrash(
  context: TestContext,
  names: readonly string[],
  crashAt: number,
  tornShare: number,
): Promise<readonly string[] | undefined> {
  const members = names.map(name => founder(name));
  const group = new ReplicaGroup(context, new MemoryNetwork(), OPTIONS);
  members.forEach(({address}) =>
    group.disks.set(address.slice(0, 1), new FaultFileLayer()),
  );
  const disk = group.disks.get('a')!;
  disk.setFaults({crashAt, tornShare});
  const acknowledged: string[] = [];
  const startAll = async (): Promise<void> => {
    for (const member of members) {
      await group.start(member, {startAs: 'voter', initialMembers: members});
    }
  };
  await startAll().catch(() => undefined);
  for (let n = 1; n <= 12 && !disk.isCrashed; n++) {
    await group.until(() => disk.isCrashed || group.leaders().length > 0);
    const [leader] = group.leaders();
    if (leader === undefined) break;
    const result = await group.wait(leader.replica.propose(`c${n}`));
    if (result.isOk()) acknowledged.push(`c${n}`);
  }
  if (!disk.isCrashed) return undefined;
  group.crashAll();
  group.disks.forEach(files => files.restart());
  await startAll();
  const {machine, replica} = await group.leader();
  await group.wait(replica.propose('last'));
  group.crashAll();
  return acknowledged.filter(command => !machine.commands.includes(command));
}

for (const names of [['a'], ['a', 'b', 'c']]) {
  test(`${names.length} members keep acknowledged commands after a crash at every disk operation`, async context => {
    // Guards against acknowledgements before the sync, and against snapshots
    // and compaction that leave inconsistent files after a crash.
    pauseClock(context);
    let crashes = 0;
    for (const tornShare of [0, 0.5, 1]) {
      for (let crashAt = 1; ; crashAt++) {
        const lost = await lostAfterCrash(context, names, crashAt, tornShare);
        if (lost === undefined) break;
        assert.deepEqual(lost, [], `crash at ${crashAt}, torn ${tornShare}`);
        crashes++;
      }
    }
    assert.ok(crashes > 100, `${crashes} crashes`);
  });
}

test('the crash test detects a disk that does not sync', async context => {
  // Guards against a crash test that cannot fail: this disk acknowledges syncs
  // without performing them, so a crash loses an acknowledged command.
  pauseClock(context);
  class UnsyncedFileLayer extends FaultFileLayer {
    override sync(): Promise<void> {
      return Promise.resolve();
    }
  }
  const disk = new UnsyncedFileLayer();
  const group = new ReplicaGroup(context);
  group.disks.set('a', disk);
  const member = founder('a');
  const start = {startAs: 'voter', initialMembers: [member]} as const;
  await group.start(member, start);
  assert.deepEqual(await group.propose(['c1']), ['c1']);
  group.crash('a');
  const {machine} = await group.restart(member, start);
  await group.leader();
  await group.advance(100);
  assert.ok(!machine.commands.includes('c1'));
});

test('corruption in the middle of a log stops the member with storage_damaged', async context => {
  // Guards against a member that drops acknowledged entries after the damage.
  pauseClock(context);
  const group = new ReplicaGroup(context);
  const member = founder('a');
  await group.found([member]);
  await group.propose(['c1', 'c2']);
  await group.propose(['c3']);
  group.crash('a');
  group.disks.get('a')?.corrupt('log/log', 100);
  await assert.rejects(
    group.restart(member),
    (thrown: unknown) =>
      thrown instanceof GatewayError &&
      thrown.code === 'storage_damaged' &&
      thrown.message.includes('log/log'),
  );
});

test('a missing state, snapshot or log file is reported as damage', async context => {
  // Guards against a member that takes one missing file for a first start and
  // votes twice in a term.
  pauseClock(context);
  for (const name of ['state', 'snapshot', 'log']) {
    const group = new ReplicaGroup(context, new MemoryNetwork(), OPTIONS);
    const member = founder('a');
    await group.found([member]);
    for (let n = 1; n <= 8; n++) await group.propose([`c${n}`]);
    group.crash('a');
    const disk = group.disks.get('a')!;
    disk.restart();
    await disk.remove(`log/${name}`);
    await assert.rejects(
      new FileReplicaStorage(disk, 'log').load(),
      (thrown: unknown) =>
        thrown instanceof GatewayError && thrown.code === 'storage_damaged',
      name,
    );
  }
});

// Guards against a group that has no leader for a full election timeout after
// all members lost power.
test('a group whose members all restart elects a leader within the minimum election timeout', async context => {
  pauseClock(context);
  const group = new ReplicaGroup(context);
  const members = ['a', 'b', 'c'].map(name => founder(name));
  await group.found(members);
  assert.deepEqual(await group.propose(['c1']), ['c1']);
  group.crashAll();
  await Promise.all(members.map(member => group.restart(member)));
  // Shorter than the shortest election timeout of a member without a log.
  await group.advance(ELECTION_MIN_MS * 0.95);
  assert.equal(group.leaders().length, 1);
  assert.deepEqual(await group.propose(['c2']), ['c2']);
});

// Guards against a restarting member that deposes a working leader.
test('a member that restarts does not depose the leader', async context => {
  pauseClock(context);
  const group = new ReplicaGroup(context);
  const members = ['a', 'b', 'c'].map(name => founder(name));
  await group.found(members);
  const {replica} = await group.leader();
  const before = replica.status();
  const other = members.find(each => each.memberId !== before.leader)!;
  group.crash(instanceOf(other.memberId));
  await group.restart(other);
  await group.advance(5 * ELECTION_MIN_MS);
  const after = (await group.leader()).replica.status();
  assert.deepEqual([after.leader, after.term], [before.leader, before.term]);
});
