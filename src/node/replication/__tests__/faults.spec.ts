import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {seededRandom} from '../../__tests__/support/random.js';
import {memberIdOf} from '../peer_transport.js';
import type {ReplicaMember} from '../replicated_log.js';
import {weightOf} from '../core/quorum.js';
import {founder, ReplicaGroup, type Node} from './replica_group.js';

const FOUNDERS = ['a', 'b', 'c'].map(name => founder(name));
const ROUNDS = 60;
// The default of `electionMinMs`.
const ELECTION_MIN_MS = 1000;

/** An acknowledged command with the logical start and end time of its call. */
interface AcknowledgedCall {
  readonly command: string;
  readonly begin: number;
  readonly end: number;
}

interface History {
  readonly acknowledged: AcknowledgedCall[];
  /** Commands that were rejected before they were appended. */
  readonly refused: string[];
}

/**
 * Violations of linearizability in a sequence of applied commands: an
 * acknowledged command is missing, a command was applied twice, or one was
 * applied before another whose call had ended before its own began.
 */
function violations(
  applied: readonly string[],
  acknowledged: readonly AcknowledgedCall[],
): readonly string[] {
  const positions = new Map(applied.map((command, at) => [command, at]));
  const positioned = acknowledged.map(span => ({
    ...span,
    position: positions.get(span.command) ?? -1,
  }));
  const missing = positioned.filter(span => span.position < 0);
  const found = positioned.filter(span => span.position >= 0);
  const misordered = found.filter(span =>
    found.some(
      other => other.end < span.begin && other.position > span.position,
    ),
  );
  return [
    ...missing.map(({command}) => `${command} is missing`),
    ...misordered.map(({command}) => `${command} is applied too early`),
    ...(positions.size < applied.length ? ['a command is applied twice'] : []),
  ];
}

/** Cuts, heals, crashes and restarts members at random under load. */
async function runFaults(group: ReplicaGroup, seed: number): Promise<History> {
  const random = seededRandom(seed);
  const pick = <Item>(items: readonly Item[]): Item =>
    items[Math.floor(random() * items.length)] as Item;
  const history: History = {acknowledged: [], refused: []};
  let logicalTime = 0;
  const propose = async (node: Node, command: string): Promise<void> => {
    const begin = ++logicalTime;
    const result = await node.replica.propose(command);
    const end = ++logicalTime;
    if (result.isOk()) history.acknowledged.push({command, begin, end});
    else if (result.error.work === 'not_run') history.refused.push(command);
  };
  const actions = [
    () => group.network.cut(pick(FOUNDERS).address, pick(FOUNDERS).address),
    () => group.network.isolate(pick(FOUNDERS).address),
    () => group.network.healAll(),
    () => group.network.healAll(),
    () => group.nodes.size === 3 && group.crash(pick(['a', 'b', 'c'])),
  ];
  for (let round = 0; round < ROUNDS; round++) {
    if (random() < 0.4) pick(actions)();
    const crashed = FOUNDERS.find(m => !group.nodes.has(m.address.slice(0, 1)));
    if (crashed !== undefined && random() < 0.4) await group.restart(crashed);
    [...group.nodes.values()].forEach(
      node => void propose(node, `${node.member.memberId}-${round}`),
    );
    await group.advance(Math.floor(random() * 1000), 20);
  }
  group.network.healAll();
  for (const member of FOUNDERS) {
    const isUp = group.nodes.has(member.address.slice(0, 1));
    if (!isUp) await group.restart(member);
  }
  await group.advance(10_000, 20);
  return history;
}

[1, 2, 3, 4].forEach(seed =>
  test(`random cuts and crashes keep the history linearizable (seed ${seed})`, async context => {
    // Guards against lost or duplicate commands, against commands that were
    // reported as rejected but ran, and against members whose states diverge.
    pauseClock(context);
    const network = new MemoryNetwork({seed, delayMs: 2, jitterMs: 30});
    network.setDefaults({lossShare: 0.02});
    const group = new ReplicaGroup(context, network, {
      snapshotEveryEntries: 20,
      keepEntries: 5,
    });
    await group.found(FOUNDERS);
    const {acknowledged, refused} = await runFaults(group, seed);
    const applied = group.node('a').machine.commands;
    ['b', 'c'].forEach(name =>
      assert.deepEqual(group.node(name).machine.commands, applied),
    );
    assert.ok(acknowledged.length >= 10, `${acknowledged.length} commands`);
    assert.deepEqual(violations(applied, acknowledged), []);
    assert.deepEqual(
      refused.filter(command => applied.includes(command)),
      [],
    );
  }),
);

test('the history checker detects each kind of violation', () => {
  // Guards against a checker that accepts every history.
  const spans = [
    {command: 'x', begin: 1, end: 2},
    {command: 'y', begin: 3, end: 4},
  ];
  assert.deepEqual(violations(['x', 'y'], spans), []);
  assert.deepEqual(violations(['x'], spans), ['y is missing']);
  assert.deepEqual(violations(['y', 'x'], spans), ['y is applied too early']);
  assert.deepEqual(violations(['x', 'x', 'y'], spans), [
    'a command is applied twice',
  ]);
});

test('a leader that receives no replies steps down and another is elected', async context => {
  // Guards against a leader without a quorum that stays in office because links
  // are cut one way: its heartbeats arrive, but the replies do not.
  pauseClock(context);
  const group = new ReplicaGroup(context);
  await group.found(FOUNDERS);
  const isolated = await group.leader();
  FOUNDERS.filter(({address}) => address !== isolated.member.address).forEach(
    ({address}) => group.network.cut(address, isolated.member.address),
  );
  await group.advance(6000);
  const leader = await group.leader();
  assert.notEqual(leader, isolated);
  assert.ok((await group.wait(leader.replica.propose('x'))).isOk());
});

test('members that request votes at the same time elect one of them', async context => {
  // Guards against split votes that repeat forever: all members draw the same
  // election timeouts here.
  pauseClock(context);
  const network = new MemoryNetwork({delayMs: 55});
  const group = new ReplicaGroup(context, network, {random: () => 0.5});
  await group.found(FOUNDERS);
  await group.advance(2000);
  const leader = await group.leader();
  group.crash(leader.member.address.slice(0, 1));
  await group.advance(2000);
  assert.equal(group.leaders().length, 1);
});

test('a leader stays leader when its connections stall', async context => {
  // Guards against an election caused by stalled connections, which only need to
  // be reopened.
  pauseClock(context);
  const group = new ReplicaGroup(context);
  await group.found(FOUNDERS);
  const {member, replica} = await group.leader();
  const {term} = replica.status();
  FOUNDERS.forEach(({address}) => {
    group.network.silenceConnections(member.address, address);
    group.network.silenceConnections(address, member.address);
  });
  const beginMs = Date.now();
  const result = await group.wait(replica.propose('x'));
  assert.ok(result.isOk());
  const elapsedMs = Date.now() - beginMs;
  assert.ok(elapsedMs < ELECTION_MIN_MS, `${elapsedMs} ms`);
  await group.advance(5000);
  assert.equal((await group.leader()).replica.status().term, term);
});

test('a learner is promoted under load, but not before it has caught up', async context => {
  // Guards against promotion that never completes while new commands arrive.
  pauseClock(context);
  const group = new ReplicaGroup(context, new MemoryNetwork({delayMs: 3}));
  await group.found(FOUNDERS);
  await group.propose(['x1', 'x2']);
  const {replica} = await group.leader();
  const member: ReplicaMember = {
    memberId: memberIdOf('d', '1'),
    address: 'd:1',
    weight: 0,
  };
  const {memberId} = member;
  await group.wait(replica.changeMembership({kind: 'add_learner', member}));
  const change = {kind: 'set_weight', memberId, weight: 1} as const;
  const early = await group.wait(replica.changeMembership(change));
  assert.equal(early._unsafeUnwrapErr().code, 'not_ready');
  await group.start(member);
  let isLoaded = true;
  const load = async (): Promise<void> => {
    while (isLoaded) await replica.propose('load');
  };
  const loads = [load(), load(), load()];
  const promoted = await group.wait(replica.changeMembership(change));
  isLoaded = false;
  await group.wait(Promise.all(loads));
  assert.ok(promoted.isOk());
  assert.equal(weightOf(replica.status().members, memberId), 1);
});

test('two logs with different method prefixes run in the same processes', async context => {
  // Guards against messages of one log that are delivered to the other.
  pauseClock(context);
  const network = new MemoryNetwork();
  const first = new ReplicaGroup(context, network);
  await first.found(FOUNDERS);
  const second = new ReplicaGroup(context, network, {
    methodPrefix: 'other.raft',
  });
  for (const member of FOUNDERS) {
    const {router} = first.node(member.address.slice(0, 1));
    const founding = {startAs: 'voter', initialMembers: FOUNDERS} as const;
    await second.start(member, {...founding, router});
    network.attach(member.address, member.address.slice(0, 1), router);
  }
  await first.propose(['first']);
  await second.propose(['second']);
  await first.advance(500);
  assert.deepEqual(first.node('a').machine.commands, ['first']);
  assert.deepEqual(second.node('a').machine.commands, ['second']);
});
