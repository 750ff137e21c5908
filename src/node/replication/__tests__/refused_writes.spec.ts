/** Members whose disk is full, faulty or stalls. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {
  RefusingFileLayer,
  WRITING_CALLS,
  type DiskFault,
} from '../../__tests__/support/refusing_file_layer.js';
import {RpcRouter} from '../../rpc/rpc.js';
import {asId, type InstanceId} from '../../types/ids.js';
import {createGroupMember} from '../group_member.js';
import {FileReplicaStorage} from '../replica_storage.js';
import {
  founder,
  ListMachine,
  ReplicaGroup,
  type Node,
  type NodeOptions,
} from './replica_group.js';

const NAMES = ['a', 'b', 'c'];
const FULL: DiskFault = {calls: WRITING_CALLS, code: 'ENOSPC'};
const FAULTS: readonly (readonly [string, DiskFault])[] = [
  ['a full disk', FULL],
  ['a disk that fails all calls', {calls: WRITING_CALLS, code: 'EIO'}],
  ['a stalled disk', {calls: WRITING_CALLS}],
  ['a disk that refuses appends', {calls: ['append'], code: 'ENOSPC'}],
  ['a disk that fails to sync', {calls: ['sync'], code: 'EIO'}],
];

interface DiskGroup {
  readonly group: ReplicaGroup;
  readonly failures: string[];
  readonly diskOf: (node: Node) => RefusingFileLayer;
}

/** Three members with disks; `failures` names the members that ended. */
async function found(
  context: TestContext,
  options: NodeOptions = {},
): Promise<DiskGroup> {
  pauseClock(context);
  const failures: string[] = [];
  const group = new ReplicaGroup(context, new MemoryNetwork(), {
    onFailure: error => failures.push(error.message),
    ...options,
  });
  const disks = new Map(NAMES.map(name => [name, new RefusingFileLayer()]));
  disks.forEach((disk, name) => group.disks.set(name, disk));
  const members = NAMES.map(name => founder(name));
  for (const member of members) {
    await group.start(member, {startAs: 'voter', initialMembers: members});
  }
  const diskOf = ({member}: Node): RefusingFileLayer =>
    disks.get(member.address.slice(0, 1))!;
  return {group, failures, diskOf};
}

function nameOf({member}: Node): string {
  return member.address.slice(0, 1);
}

for (const [name, fault] of FAULTS) {
  // Guards against a leader that keeps its place, or a process that ends, while
  // its disk takes no writes.
  test(`${name} ends the leadership, and the member is back afterwards`, async context => {
    const {group, failures, diskOf} = await found(context);
    const first = await group.leader();
    assert.deepEqual(await group.propose(['c1']), ['c1']);
    diskOf(first).setFault(fault);
    const proposed = await group.wait(first.replica.propose('c2'));
    await group.until(() => group.leaders().some(each => each !== first));
    await group.until(() => first.replica.status().role !== 'leader');
    const second = await group.leader();
    assert.deepEqual(await group.propose(['c3']), ['c3']);
    // What only the failing member held was not acknowledged.
    const healthy = [...group.nodes.values()].filter(each => each !== first);
    if (proposed.isOk()) {
      assert.ok(healthy.every(each => each.machine.commands.includes('c2')));
    }
    // The member follows, and answers reads that the leader confirms.
    assert.ok((await group.wait(first.replica.readBarrier())).isOk());
    assert.deepEqual(first.machine.commands, second.machine.commands);
    assert.equal(first.replica.status().isWritable, false);
    diskOf(first).setFault(undefined);
    await group.until(() => first.replica.status().isWritable === true);
    await group.advance(1_000);
    assert.deepEqual(failures, []);
    // Its disk counts again: it and one other member are a quorum.
    const other = healthy.find(each => each !== second)!;
    group.crash(nameOf(other));
    assert.deepEqual(await group.propose(['c4']), ['c4']);
    const {member} = first;
    group.crash(nameOf(first));
    const restarted = await group.restart(member);
    assert.deepEqual(await group.propose(['c5']), ['c5']);
    await group.advance(1_000);
    assert.deepEqual(
      restarted.machine.commands.filter(each => each !== 'c2'),
      ['c1', 'c3', 'c4', 'c5'],
    );
  });
}

// Guards against a commit that counts what a member could not store, and against a
// vote for it.
test('a member whose disk is full counts neither in commits nor in elections', async context => {
  const {group, diskOf} = await found(context);
  const leader = await group.leader();
  const [full, third] = [...group.nodes.values()].filter(
    each => each !== leader,
  );
  group.crash(nameOf(third!));
  diskOf(full!).setFault(FULL);
  const result = await group.wait(leader.replica.propose('c1'));
  assert.ok(result.isErr());
  assert.equal(result.error.work, 'unknown');
  assert.equal(leader.machine.commands.length, 0);
  const {member} = leader;
  group.crash(nameOf(leader));
  await group.restart(third!.member);
  await group.advance(10_000);
  assert.deepEqual(group.leaders(), []);
  diskOf(full!).setFault(undefined);
  await group.restart(member);
  assert.deepEqual(await group.propose(['c2']), ['c2']);
});

// Guards against a snapshot that needs room for a second copy of the state and
// stops the log if there is none.
test('a refused snapshot costs neither the leadership nor the log', async context => {
  const {group, failures, diskOf} = await found(context, {
    snapshotEveryEntries: 4,
    keepEntries: 1,
  });
  const leader = await group.leader();
  const disk = diskOf(leader);
  for (const nameSuffix of ['log/snapshot', 'log/log']) {
    disk.setFault({calls: ['writeAtomic'], code: 'ENOSPC', nameSuffix});
    for (let n = 1; n <= 12; n++) await group.propose([`${nameSuffix}${n}`]);
    assert.ok(disk.hits > 0);
    assert.equal((await group.leader()).member, leader.member);
    disk.setFault(undefined);
  }
  const expected = [...leader.machine.commands];
  assert.equal(expected.length, 24);
  group.crash(nameOf(leader));
  const restarted = await group.restart(leader.member);
  await group.propose(['last']);
  await group.advance(1_000);
  assert.deepEqual(restarted.machine.commands, [...expected, 'last']);
  assert.deepEqual(failures, []);
});

// Guards against a planned stop that waits for room on the disk.
test('a member whose disk is full or stalls can be stopped', async context => {
  for (const fault of [FULL, {calls: WRITING_CALLS}]) {
    const {group, diskOf} = await found(context);
    const leader = await group.leader();
    diskOf(leader).setFault(fault);
    await group.wait(leader.replica.propose('c1'));
    await group.wait(leader.replica.stop());
    assert.equal(leader.replica.status().role, 'stopped');
    group.crashAll();
    context.mock.timers.reset();
  }
});

// Guards against a process that ends, again and again, as its disk is full when it
// starts.
test('a member that starts with a full disk waits for room', async context => {
  pauseClock(context);
  const group = new ReplicaGroup(context);
  const disk = new RefusingFileLayer();
  disk.setFault(FULL);
  const router = new RpcRouter();
  const changes: boolean[] = [];
  let isStarted = false;
  const starting = createGroupMember<string, number>({
    instance: asId<InstanceId>('a'),
    address: 'a:1',
    founders: [{instance: asId<InstanceId>('a'), address: 'a:1', weight: 1}],
    methodPrefix: 'test.raft',
    stateMachine: new ListMachine(),
    storage: new FileReplicaStorage(disk, 'log'),
    client: group.network.attach('a:1', 'a', router),
    router,
    onStorageChange: ({isWritable}) => changes.push(isWritable),
  }).then(member => {
    isStarted = true;
    return member;
  });
  await group.advance(3_000);
  assert.deepEqual([isStarted, changes], [false, [false]]);
  disk.setFault(undefined);
  const member = await group.wait(starting);
  assert.deepEqual(changes, [false, true]);
  assert.ok((await group.wait(member.replica.propose('c1'))).isOk());
  await group.wait(member.stop());
});
