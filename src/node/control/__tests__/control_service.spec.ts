import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {test, type TestContext} from 'node:test';
import {advanceClock, settle} from '../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {playgroundAnswers} from '../../config/__tests__/playground.js';
import {RpcRouter, type RpcClient} from '../../rpc/rpc.js';
import type {GatewayError} from '../../types/errors.js';
import {asId} from '../../types/ids.js';
import type {AuditEntry, ControlResult} from '../commands.js';
import {ControlService} from '../control_service.js';
import type {MemberResult, WatchResult} from '../methods.js';
import {FakeGroup, type FakeLog} from './fake_log.js';

const ANSWERS = playgroundAnswers('trazo');
const TIMEOUT_MS = 10_000;

interface Cluster {
  readonly group: FakeGroup;
  readonly logs: readonly FakeLog[];
  readonly network: MemoryNetwork;
  readonly operator: RpcClient;
  readonly addMember: (name: string) => FakeLog;
}

function addressOf(name: string): string {
  return `127.0.0.${name.charCodeAt(0) - 96}:7000`;
}

function createCluster(t: TestContext): Cluster {
  pauseClock(t);
  const network = new MemoryNetwork();
  const group = new FakeGroup();
  const addMember = (name: string, isJoining = true): FakeLog => {
    const router = new RpcRouter();
    const rpc = network.attach(addressOf(name), name, router);
    const log = group.add(name, addressOf(name));
    if (isJoining) group.members.pop();
    const service = new ControlService({
      instanceId: asId(name),
      selfAddress: addressOf(name),
      log,
      machine: log.machine,
      rpc,
      router,
      initialOperator: {
        name: 'lucia',
        keyDigest: createHash('sha256').update('trazo-lucia-key').digest('hex'),
      },
    });
    t.after(() => service.stop());
    return log;
  };
  const logs = ['a', 'b', 'c'].map(name => addMember(name, false));
  const operator = network.attach('operator:1', 'operator', new RpcRouter());
  return {group, logs, network, operator, addMember};
}

async function accept(
  t: TestContext,
  {operator}: Cluster,
  member: string,
  baseVersion: number,
  operationId: string,
  options: {name?: string; key?: string; answers?: unknown} = {},
): Promise<ControlResult | {error: string; leader?: string}> {
  const name = options.name ?? 'lucia';
  const call = operator.call<ControlResult>(
    addressOf(member),
    'config.accept',
    {
      operator: name,
      operatorKey: options.key ?? `trazo-${name}-key`,
      operationId,
      baseVersion,
      answers: options.answers ?? ANSWERS,
    },
    TIMEOUT_MS,
  );
  await settle(t, 10);
  const result = await call;
  return result.match<ControlResult | {error: string; leader?: string}>(
    value => value,
    ({code, leader}) => ({error: code, ...(leader && {leader})}),
  );
}

// Guards against two concurrent changes that are both reported as accepted.
test('only one of two changes with the same base version is accepted', async t => {
  const cluster = createCluster(t);
  await accept(t, cluster, 'b', 0, 'bootstrap-1');
  const results = await Promise.all([
    accept(t, cluster, 'b', 1, 'change-lucia'),
    accept(t, cluster, 'c', 1, 'change-mateo', {name: 'mateo'}),
  ]);
  matchSnapshot(import.meta.url, 'race', {
    results,
    audit: cluster.logs[2]?.machine.audit(),
  });
});

// Guards against a change that is applied twice because its response was lost
// and the operator retried it.
test('a retry after a lost response returns the first result', async t => {
  const cluster = createCluster(t);
  cluster.group.losesNextAnswer = true;
  const lost = await accept(t, cluster, 'b', 0, 'operation-1');
  const retried = await accept(t, cluster, 'c', 0, 'operation-1');
  assert.deepEqual(lost, {error: 'outcome_unknown'});
  assert.equal('status' in retried && retried.status, 'accepted');
  assert.equal(cluster.logs[0]?.machine.version(), 1);
  assert.equal(cluster.logs[0]?.machine.audit().length, 1);
});

// Guards against a refused change without an audit entry, and against a change
// by someone without a valid key.
test('refused changes are audited with their reason', async t => {
  const cluster = createCluster(t);
  const invalidAnswers = {...ANSWERS, priority: 'fastest'};
  const results = [
    await accept(t, cluster, 'a', 0, 'operation-1', {answers: invalidAnswers}),
    await accept(t, cluster, 'a', 0, 'operation-2', {key: 'guess'}),
    await accept(t, cluster, 'a', 0, 'operation-3', {
      answers: invalidAnswers,
      key: 'guess',
    }),
    await accept(t, cluster, 'a', 0, 'operation-4', {name: 'mateo'}),
  ];
  const audit = cluster.logs[1]?.machine.audit() as readonly AuditEntry[];
  assert.equal(cluster.logs[0]?.machine.version(), 0);
  matchSnapshot(import.meta.url, 'refusals', {results, audit});
});

// Guards against a forwarding loop between members that each consider the other
// the leader, and against a cut-off leader that accepts a change.
test('a call is forwarded once and a cut-off leader rejects it', async t => {
  const cluster = createCluster(t);
  const [a, b] = cluster.logs;
  cluster.group.leader = undefined;
  const leaderless = await accept(t, cluster, 'b', 0, 'operation-1');
  cluster.group.leader = b?.status().memberId;
  if (b !== undefined) b.isCutOff = true;
  const cutOff = await accept(t, cluster, 'a', 0, 'operation-1');
  cluster.group.leader = a?.status().memberId;
  const elected = await accept(t, cluster, 'c', 0, 'operation-1');
  assert.deepEqual(leaderless, {error: 'not_leader'});
  assert.deepEqual(cutOff, {error: 'no_quorum'});
  assert.equal('status' in elected && elected.status, 'accepted');
  const watch = await cluster.operator.call<WatchResult>(
    addressOf('b'),
    'config.watch',
    {haveVersion: 0, waitMs: 2_500},
    TIMEOUT_MS,
  );
  assert.deepEqual(watch._unsafeUnwrap(), {version: 0, hasLeader: false});
});

// Guards against a change that keeps waiting for an unresponsive leader
// although another member has become leader.
test('a call to an unresponsive leader is retried on the next one', async t => {
  const cluster = createCluster(t);
  const [, b] = cluster.logs;
  cluster.network.cutBoth(addressOf('a'), addressOf('c'));
  const waiting = accept(t, cluster, 'c', 0, 'operation-1');
  await advanceClock(t, 1_000, 100);
  cluster.group.leader = b?.status().memberId;
  await advanceClock(t, 200, 100);
  const result = await waiting;
  assert.equal('status' in result && result.status, 'accepted');
});

test('a watch returns at the next version or at its timeout', async t => {
  const cluster = createCluster(t);
  const watch = (haveVersion: number) =>
    cluster.operator
      .call<WatchResult>(
        addressOf('c'),
        'config.watch',
        {haveVersion, waitMs: 60_000},
        TIMEOUT_MS,
      )
      .map(({version, packed}) => ({
        version,
        hasBody: packed !== undefined,
      }));
  const first = watch(0);
  await settle(t, 10);
  await accept(t, cluster, 'a', 0, 'operation-1');
  const second = watch(1);
  await settle(t, 10);
  await advanceClock(t, 2_500, 100);
  assert.deepEqual((await first)._unsafeUnwrap(), {version: 1, hasBody: true});
  assert.deepEqual((await second)._unsafeUnwrap(), {
    version: 1,
    hasBody: false,
  });
});

test('member changes are idempotent and audited', async t => {
  const cluster = createCluster(t);
  cluster.addMember('d');
  const change = async (method: string, params: object): Promise<unknown> => {
    const call = cluster.operator.call<MemberResult>(
      addressOf('b'),
      method,
      {
        operator: 'lucia',
        operatorKey: 'trazo-lucia-key',
        operationId: `${method}-1`,
        ...params,
      },
      TIMEOUT_MS,
    );
    await settle(t, 20);
    return (await call).match<unknown>(
      value => value,
      (error: GatewayError) => error.code,
    );
  };
  const results = [
    await change('member.add', {address: addressOf('d')}),
    await change('member.add', {address: addressOf('e')}),
    await change('member.remove', {memberId: 'c#1'}),
    await change('member.remove', {memberId: 'c#1'}),
    await change('member.remove', {memberId: 'b#1', operatorKey: 'guess'}),
  ];
  matchSnapshot(import.meta.url, 'member changes', {
    results,
    members: cluster.group.members,
    audit: cluster.logs[0]?.machine.audit(),
  });
});
