import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {quorumsOverlap, isQuorum} from '../core/quorum.js';
import {weightSteps} from '../weight_steps.js';
import {createInitialState, step} from '../core/step.js';
import {changedMembers} from '../core/membership.js';
import {CoreSimulation, SETTINGS, type Choice} from './core_simulation.js';
import type {Checker, SeededFault} from './core_simulation_faults.js';
import {founder} from './replica_group.js';

const RUNS = 500;

function choices(
  minLength: number,
  maxLength: number,
): fc.Arbitrary<readonly Choice[]> {
  const choice = fc.tuple(fc.nat(99), fc.nat(999));
  return fc.array(choice, {minLength, maxLength, size: 'max'});
}

test('the safety properties of Raft hold in any order of events', () => {
  // Guards against two leaders in a term, logs that differ below a common
  // entry, lost committed entries and members that apply different commands.
  // Messages are lost and reordered, members crash, and disks are emptied.
  let committed = 0;
  let leaders = 0;
  const counted = fc.property(choices(500, 3000), sequence => {
    const run = new CoreSimulation();
    sequence.forEach(choice => run.run(choice));
    committed += run.committed.size;
    leaders += run.leaders.size;
  });
  fc.assert(counted, {seed: 3, numRuns: RUNS, endOnFailure: true});
  // Without enough commits and leaders the runs would check nothing.
  assert.ok(committed > RUNS * 5, `${committed} entries committed`);
  assert.ok(leaders > RUNS, `${leaders} leaders elected`);
});

test('a single voter becomes leader only after its vote is synced', () => {
  // Guards against two different entries with the same index and term: a voter
  // that became leader before the sync could lead the same term again after a
  // crash.
  const context = {nowMs: 0, random: 0.5};
  const members = [founder('a')];
  const settings = {...SETTINGS, memberId: founder('a').memberId};
  const start = createInitialState(settings, {members}, context);
  const asked = step(start, {kind: 'tick'}, {...context, nowMs: 2000});
  assert.equal(asked.state.role, 'candidate');
  assert.deepEqual(
    asked.effects.map(effect => effect.kind),
    ['save_hard_state'],
  );
  const saved = step(asked.state, {kind: 'vote_saved', term: 1}, context);
  assert.equal(saved.state.role, 'leader');
});

// Guards against a vote, for itself or another member, that would be forgotten.
test('a member that cannot write neither votes nor stands for election', () => {
  const [self, other] = [founder('a'), founder('b')];
  const context = {nowMs: 0, random: 0.5};
  const settings = {...SETTINGS, memberId: self.memberId};
  const start = createInitialState(settings, {members: [self, other]}, context);
  const refused = {kind: 'storage', isWritable: false} as const;
  const {state} = step(start, refused, context);
  const asked = step(state, {kind: 'tick'}, {...context, nowMs: 9_000});
  assert.deepEqual([asked.state.term, asked.effects], [0, []]);
  (['pre_vote', 'vote'] as const).forEach(kind => {
    const request = {kind, term: 1, lastIndex: 0, lastTerm: 0, transfer: true};
    const event = {kind: 'request', from: other.memberId, callId: 1, request};
    const {effects} = step(state, event as never, {...context, nowMs: 9_000});
    const replies = effects.filter(effect => effect.kind === 'reply');
    assert.deepEqual(
      replies.map(({reply}) => 'granted' in reply && reply.granted),
      [false],
    );
  });
});

const FAULTS: readonly (readonly [Checker, SeededFault])[] = [
  ['election safety', 'lost_vote'],
  ['leader completeness', 'reused_identity'],
  ['log matching', 'ignored_mismatch'],
  ['leader completeness', 'lost_sync'],
  ['state machine safety', 'false_acknowledgement'],
];

FAULTS.forEach(([checker, fault]) =>
  test(`the ${checker} checker detects the fault ${fault}`, () => {
    // Guards against a checker that never fails.
    const property = fc.property(choices(200, 1200), sequence => {
      const run = new CoreSimulation(fault, checker);
      try {
        sequence.forEach(choice => run.run(choice));
      } catch (thrown) {
        // The core may detect the fault itself and throw; that ends the run.
        if (thrown instanceof assert.AssertionError) throw thrown;
      }
    });
    const options = {seed: 41, numRuns: 1000, endOnFailure: true};
    const result = fc.check(property, options);
    assert.match(String(result.errorInstance), new RegExp(checker));
  }),
);

const weightedMembers = fc
  .array(fc.nat(3), {minLength: 1, maxLength: 6})
  .map(weights =>
    weights.map((weight, position) => founder(`n${position}`, weight)),
  );

test('quorums overlap before and after each step of a weight change', () => {
  // Guards against two disjoint quorums, hence two leaders, during a change.
  const property = fc.property(
    weightedMembers,
    fc.nat(5),
    fc.nat(4),
    (members, position, weight) => {
      const {memberId} = members[position % members.length]!;
      const steps = weightSteps(members, {
        kind: 'set_weight',
        memberId,
        weight,
      });
      steps.reduce((before, part) => {
        const after = changedMembers(before, part);
        assert.ok(quorumsOverlap(before, after));
        assert.ok(!hasDisjointQuorums(before, after));
        return [...after];
      }, members);
    },
  );
  fc.assert(property, {seed: 41});
  const two = [founder('a', 2), founder('b', 1)];
  assert.ok(!quorumsOverlap(two, [founder('a', 2), founder('b', 3)]));
});

type Members = readonly ReturnType<typeof founder>[];

function hasDisjointQuorums(before: Members, after: Members): boolean {
  const subsets = 1 << before.length;
  return Array.from({length: subsets}, (_, bits) => bits).some(bits => {
    const inSubset = (id: string): boolean =>
      ((bits >> before.findIndex(m => m.memberId === id)) & 1) === 1;
    return isQuorum(before, inSubset) && isQuorum(after, id => !inSubset(id));
  });
}
