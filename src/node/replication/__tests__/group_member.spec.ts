import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import type {ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {pauseClock} from '../../__tests__/support/clock.js';
import {FaultFileLayer} from '../../__tests__/support/fault_file_layer.js';
import {settle} from '../../__tests__/support/advance_clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {RpcRouter} from '../../rpc/rpc.js';
import type {GatewayError} from '../../types/errors.js';
import {asId, type InstanceId} from '../../types/ids.js';
import {createForwarder} from '../forwarding.js';
import {createGroupMember, type GroupMember} from '../group_member.js';
import {FileReplicaStorage, MemoryReplicaStorage} from '../replica_storage.js';
import {ListMachine, ReplicaGroup} from './replica_group.js';

interface RunningMember {
  readonly member: GroupMember<string, number>;
  readonly machine: ListMachine;
  readonly forward: (command: string) => ResultAsync<number, GatewayError>;
}

/** Instances that decide by themselves how to start, with or without disks. */
class Deployment {
  readonly group: ReplicaGroup;
  readonly running = new Map<string, RunningMember>();
  readonly disks = new Map<string, FaultFileLayer>();

  constructor(
    context: TestContext,
    private readonly weights: Readonly<Record<string, number>>,
    private readonly withDisk: readonly string[],
  ) {
    this.group = new ReplicaGroup(context, new MemoryNetwork({delayMs: 1}));
    context.after(() =>
      this.running.forEach(({member}) => member.replica.abort()),
    );
  }

  /** Starts a process; it is added to `running` once its replica has started. */
  async start(name: string): Promise<void> {
    const router = new RpcRouter();
    const address = `${name}:1`;
    const client = this.group.network.attach(address, name, router);
    const machine = new ListMachine();
    if (this.withDisk.includes(name) && !this.disks.has(name)) {
      this.disks.set(name, new FaultFileLayer());
    }
    const disk = this.disks.get(name);
    disk?.restart();
    const member = await createGroupMember<string, number>({
      instance: asId<InstanceId>(name),
      address,
      founders: Object.entries(this.weights).map(([instance, weight]) => ({
        instance: asId<InstanceId>(instance),
        address: `${instance}:1`,
        weight,
      })),
      methodPrefix: 'test.raft',
      client,
      router,
      stateMachine: machine,
      storage: disk
        ? new FileReplicaStorage(disk, 'log')
        : new MemoryReplicaStorage(),
    });
    const forward = createForwarder<string, number>({
      log: member.replica,
      methodPrefix: 'test.raft',
      client,
      router,
      commandSchema: z.string(),
    });
    this.running.set(name, {member, machine, forward});
  }

  async startAll(): Promise<void> {
    Object.keys(this.weights).forEach(name => void this.start(name));
    await settle(this.group.context);
    await this.leader();
  }

  /** Crashes a process and, if `emptyDisk` is set, erases its disk. */
  crash(name: string, emptyDisk = false): void {
    this.running.get(name)?.member.replica.abort();
    this.running.delete(name);
    this.group.network.detach(`${name}:1`);
    this.disks.get(name)?.crash();
    if (emptyDisk) this.disks.get(name)?.empty();
  }

  async leader(): Promise<RunningMember> {
    const find = (): RunningMember | undefined =>
      [...this.running.values()].find(
        ({member}) => member.replica.status().role === 'leader',
      );
    await this.group.until(() => find() !== undefined);
    return find() as RunningMember;
  }

  /** Identities with votes according to the leader. */
  async voters(): Promise<readonly string[]> {
    const {member} = await this.leader();
    return member.replica
      .status()
      .members.filter(({weight}) => weight > 0)
      .map(({memberId}) => memberId as string)
      .sort();
  }

  async propose(command: string): Promise<boolean> {
    const {member} = await this.leader();
    return (await this.group.wait(member.replica.propose(command))).isOk();
  }
}

test('a second crash right after the recovery of an erased disk loses no command', async context => {
  // Guards against the loss of acknowledged commands: a member with an erased
  // disk becomes a voter before it has received them, and another then crashes.
  pauseClock(context);
  const deployment = new Deployment(context, {a: 1, b: 1, c: 1}, [
    'a',
    'b',
    'c',
  ]);
  const {group} = deployment;
  await deployment.startAll();
  const before = await deployment.voters();
  const acknowledged: string[] = [];
  for (const command of ['x1', 'x2', 'x3']) {
    if (await deployment.propose(command)) acknowledged.push(command);
  }
  deployment.crash('c', true);
  await deployment.start('c');
  await group.until(
    () =>
      deployment.running.get('c')?.member.replica.status().role === 'follower',
  );
  const after = await deployment.voters();
  assert.equal(after.length, 3);
  assert.notDeepEqual(after, before);
  const {member} = await deployment.leader();
  deployment.crash(member.replica.status().memberId.slice(0, 1));
  assert.ok(await deployment.propose('x4'));
  const {machine} = await deployment.leader();
  assert.deepEqual(machine.commands, [...acknowledged, 'x4']);
});

test('a member that lost its memory or disk never votes under its old identity', async context => {
  // Guards against a second vote in a term after the record of the first one
  // was lost.
  pauseClock(context);
  const deployment = new Deployment(context, {a: 1, b: 1, c: 1}, ['a', 'b']);
  await deployment.startAll();
  await deployment.propose('x1');
  const before = await deployment.voters();
  for (const name of ['c', 'b']) {
    deployment.crash(name, true);
    await deployment.start(name);
    const id = (): string =>
      deployment.running.get(name)?.member.replica.status().memberId ?? '';
    assert.ok(!before.includes(id()), `${id()} was used before`);
    await deployment.group.advance(4000);
    assert.ok((await deployment.voters()).includes(id()));
    assert.equal((await deployment.voters()).length, 3);
  }
});

test('a founder whose disk was erased forms no second group', async context => {
  // Guards against a first founder that starts over and so loses the commands of
  // the existing group.
  pauseClock(context);
  const deployment = new Deployment(context, {a: 1, b: 1, c: 1}, [
    'a',
    'b',
    'c',
  ]);
  await deployment.startAll();
  await deployment.propose('x1');
  deployment.crash('a', true);
  deployment.crash('b');
  deployment.crash('c');
  void deployment.start('a');
  await deployment.group.advance(20_000, 50);
  assert.equal(deployment.running.get('a'), undefined);
  await deployment.start('b');
  await deployment.group.advance(20_000, 50);
  const {replica} = deployment.running.get('a')!.member;
  assert.equal(replica.status().role, 'learner');
  await deployment.start('c');
  assert.ok(await deployment.propose('x2'));
  assert.deepEqual((await deployment.leader()).machine.commands, ['x1', 'x2']);
});

test('a group without disks starts over only when all members restart', async context => {
  // Guards against a group that is abandoned while a member still has its state,
  // and against one that never forms again.
  pauseClock(context);
  const deployment = new Deployment(context, {a: 1, b: 1, c: 1}, []);
  await deployment.startAll();
  assert.ok(await deployment.propose('x1'));
  deployment.crash('a');
  void deployment.start('a');
  await deployment.group.advance(5000);
  assert.equal((await deployment.voters()).length, 3);
  assert.deepEqual(deployment.running.get('a')?.machine.commands, ['x1']);
  ['a', 'b', 'c'].forEach(name => deployment.crash(name));
  await deployment.startAll();
  assert.ok(await deployment.propose('x2'));
  assert.deepEqual((await deployment.leader()).machine.commands, ['x2']);
});

test('founders without disks that restart before the first election still form the group', async context => {
  // Guards against a first founder that waits for votes of identities which its
  // founders no longer use.
  pauseClock(context);
  const deployment = new Deployment(context, {a: 2, b: 1, c: 1}, ['a']);
  ['a', 'b', 'c'].forEach(name => void deployment.start(name));
  // Long enough for the replies, too short for an election.
  await deployment.group.advance(700);
  for (const name of ['b', 'c']) {
    deployment.crash(name);
    await deployment.start(name);
  }
  await deployment.leader();
  assert.ok(await deployment.propose('x1'));
  assert.equal((await deployment.voters()).length, 3);
});

test('the only member with a disk, of weight 2, is part of every quorum', async context => {
  // Guards against commands that are stored only by members without a disk.
  pauseClock(context);
  const deployment = new Deployment(context, {a: 2, b: 1, c: 1}, ['a']);
  await deployment.startAll();
  assert.ok(await deployment.propose('x1'));
  deployment.crash('a');
  const diskless = [...deployment.running.values()];
  await deployment.group.advance(10_000, 50);
  diskless.forEach(({member}) =>
    assert.notEqual(member.replica.status().role, 'leader'),
  );
  await deployment.start('a');
  assert.ok(await deployment.propose('x2'));
});

test('a follower forwards proposals to the leader', async context => {
  // Guards against callers that must know the leader themselves.
  pauseClock(context);
  const deployment = new Deployment(context, {a: 1, b: 1, c: 1}, ['a']);
  await deployment.startAll();
  // A member learns the leader's address from its first message.
  await deployment.group.advance(300);
  for (const {forward} of deployment.running.values()) {
    const result = await deployment.group.wait(forward('x'));
    assert.equal(result.isErr() ? result.error.message : '', '');
  }
});
