import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FaultFileLayer} from '../../__tests__/support/fault_file_layer.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {RpcRouter} from '../../rpc/rpc.js';
import {asId, type InstanceId, type MemberId} from '../../types/ids.js';
import {registerFormationMethod} from '../group_formation.js';
import {isGroupLost} from '../lost_group.js';
import {FileReplicaStorage, MemoryReplicaStorage} from '../replica_storage.js';
import type {ReplicaStatus} from '../replicated_log.js';

interface Case {
  readonly name: string;
  readonly self: string;
  readonly hasDisk?: boolean;
  /** Weights of the founders, first founder first. */
  readonly founders: Readonly<Record<string, number>>;
  /** Weights by identity in the list of members of `self`. */
  readonly members: Readonly<Record<string, number>>;
  /** Identities of the others that reply, and whether they are in a group. */
  readonly replies: Readonly<Record<string, boolean>>;
  readonly isLost: boolean;
}

const ONE_DISK_WEIGHTS = {a: 2, b: 1, c: 1};
const MEMBER_WEIGHTS = {'a#1': 2, 'b#1': 1, 'c#1': 1};

const CASES: readonly Case[] = [
  {
    name: 'the only disk was erased and both others reply',
    self: 'b',
    founders: ONE_DISK_WEIGHTS,
    members: MEMBER_WEIGHTS,
    replies: {'a#2': false, 'c#1': true},
    isLost: true,
  },
  {
    name: 'the instance with the disk does not reply',
    self: 'b',
    founders: ONE_DISK_WEIGHTS,
    members: MEMBER_WEIGHTS,
    replies: {'c#1': true},
    isLost: false,
  },
  {
    name: 'the disk was preserved',
    self: 'b',
    founders: ONE_DISK_WEIGHTS,
    members: MEMBER_WEIGHTS,
    replies: {'a#1': true, 'c#1': true},
    isLost: false,
  },
  {
    name: 'another instance belongs to a later group',
    self: 'b',
    founders: ONE_DISK_WEIGHTS,
    members: MEMBER_WEIGHTS,
    replies: {'a#2': true, 'c#2': true},
    isLost: false,
  },
  {
    name: 'the remaining voters of equal weight are a quorum',
    self: 'c',
    founders: {a: 1, b: 1, c: 1},
    members: {'a#1': 1, 'b#1': 1, 'c#1': 1},
    replies: {'a#2': false, 'b#1': true},
    isLost: false,
  },
  {
    name: 'a voter that is not a founder may still be running',
    self: 'b',
    founders: {a: 1, b: 1},
    members: {'a#1': 1, 'b#1': 1, 'd#1': 1},
    replies: {'a#2': false},
    isLost: false,
  },
  {
    name: 'a member with a disk never discards its state',
    self: 'b',
    hasDisk: true,
    founders: ONE_DISK_WEIGHTS,
    members: MEMBER_WEIGHTS,
    replies: {'a#2': false, 'c#1': true},
    isLost: false,
  },
  {
    name: 'neither the first founder nor the others are in a group',
    self: 'a',
    hasDisk: true,
    founders: ONE_DISK_WEIGHTS,
    members: {},
    replies: {'b#2': false, 'c#2': false},
    isLost: true,
  },
  {
    name: 'the first founder is in no group but another founder is',
    self: 'a',
    hasDisk: true,
    founders: ONE_DISK_WEIGHTS,
    members: {},
    replies: {'b#2': false, 'c#1': true},
    isLost: false,
  },
  {
    name: 'another founder without a group waits for the first founder',
    self: 'b',
    founders: ONE_DISK_WEIGHTS,
    members: {},
    replies: {'a#2': false, 'c#2': false},
    isLost: false,
  },
];

async function runCase(each: Case): Promise<boolean> {
  const network = new MemoryNetwork();
  const router = new RpcRouter();
  const client = network.attach(`${each.self}:1`, each.self, router);
  Object.entries(each.replies).forEach(([id, isFormed]) => {
    const [name = ''] = id.split('#');
    const other = new RpcRouter();
    network.attach(`${name}:1`, name, other);
    registerFormationMethod(
      other,
      'test.raft',
      asId<MemberId>(id),
      () => isFormed,
    );
  });
  const status = {
    memberId: asId<MemberId>(`${each.self}#1`),
    members: Object.entries(each.members).map(([id, weight]) => ({
      memberId: asId<MemberId>(id),
      address: '',
      weight,
    })),
  } as unknown as ReplicaStatus;
  return isGroupLost(
    {
      instance: asId<InstanceId>(each.self),
      founders: Object.entries(each.founders).map(([name, weight]) => ({
        instance: asId<InstanceId>(name),
        address: `${name}:1`,
        weight,
      })),
      methodPrefix: 'test.raft',
      client,
      router,
      storage: each.hasDisk
        ? new FileReplicaStorage(new FaultFileLayer(), 'log')
        : new MemoryReplicaStorage(),
    },
    status,
  );
}

// Guards against a domain that never takes calls again after its only disk was
// lost, and against members that abandon a group which may still recover.
test('a group is lost only when its voters can never be a quorum again', async context => {
  for (const each of CASES) {
    await context.test(each.name, async () => {
      assert.equal(await runCase(each), each.isLost);
    });
  }
});
