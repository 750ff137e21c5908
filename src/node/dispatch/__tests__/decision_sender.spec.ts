import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {FleetMembers} from '../../fleet/fleet_members.js';
import type {EntryInstance} from '../../fleet/messages.js';
import type {Decision} from '../../scheduling/types.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
  type RequestId,
} from '../../types/ids.js';
import {RpcRouter} from '../../rpc/rpc.js';
import {DecisionSender} from '../decision_sender.js';

const SELF = asId<InstanceId>('self');
const PEER = asId<InstanceId>('peer');

function entry(instanceId: InstanceId): EntryInstance {
  return {
    instanceId,
    innerAddress: `${instanceId}:1`,
    callersAddress: `${instanceId}:2`,
    region: asId<RegionId>('home'),
    domain: asId<DomainId>('home-a'),
    incarnation: 1,
    isReady: true,
    isStopping: false,
    isScheduling: false,
  };
}

function refusal(name: string, to: InstanceId): Decision {
  return {
    kind: 'refuse',
    requestId: asId<RequestId>(name),
    entry: to,
    reason: 'overloaded',
    retryAfterMs: 300,
    predictedWaitMs: 700,
    usableUpstreams: 1,
    queueLength: 9,
    closedForMs: 0,
    decisionAgeMs: 0,
  };
}

function createSender() {
  const here: string[] = [];
  const lost: string[] = [];
  const sender = new DecisionSender({
    self: SELF,
    members: new FleetMembers(() => entry(SELF)),
    client: new MemoryNetwork().attach('self:1', SELF, new RpcRouter()),
    deliverHere: decisions =>
      here.push(...decisions.map(each => each.requestId)),
    onLost: decisions => lost.push(...decisions.map(each => each.requestId)),
  });
  return {sender, here, lost};
}

// Guards against a separate call for each decision: in a large region these
// calls would take more CPU time than the decisions.
test('decisions made while a reply is open are sent in it', async () => {
  const {sender, here, lost} = createSender();
  const decisions = await sender.collect(PEER, () => {
    sender.send(refusal('a', PEER));
    sender.send(refusal('b', SELF));
    return Promise.resolve();
  });
  sender.send(refusal('late', PEER));
  assert.deepEqual(
    [decisions.map(each => each.requestId), here, lost],
    [['a'], ['b'], ['late']],
  );
});

// Guards against adding a decision to a reply that has already been sent.
test('each of two open replies carries its own decisions', async () => {
  const {sender} = createSender();
  let endFirst = (): void => undefined;
  const first = sender.collect(PEER, () => {
    sender.send(refusal('a', PEER));
    return new Promise(resolve => {
      endFirst = resolve;
    });
  });
  const second = await sender.collect(PEER, () => {
    sender.send(refusal('b', PEER));
    return Promise.resolve();
  });
  sender.send(refusal('c', PEER));
  endFirst();
  assert.deepEqual(
    [await first, second].map(each => each.map(({requestId}) => requestId)),
    [['a', 'c'], ['b']],
  );
});
