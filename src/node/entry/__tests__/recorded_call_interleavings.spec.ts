import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {pauseClock} from '../../__tests__/support/clock.js';
import {checkCallHistory} from '../../__tests__/support/history.js';
import {
  TestBench,
  type DomainOptions,
} from '../../records/__tests__/support/domain.js';
import type {ServiceFault} from '../../records/__tests__/support/fakes.js';
import {flushPromises} from '../../records/__tests__/support/utils.js';
import type {RecordCommand} from '../../records/record.js';
import {RecordStateMachine} from '../../records/record_state_machine.js';

const SEED = 20_260_102;

/** A fault or another event that is injected while calls are in flight. */
type Disturbance =
  | 'time'
  | 'elect'
  | 'cut_leader'
  | 'cut_entry'
  | 'heal'
  | 'kill_entry'
  | 'kill_member'
  | 'restart_group'
  | 'lose_replies'
  | 'keep_replies';

interface Plan {
  readonly calls: readonly {entry: number; key: number; timeoutMs: number}[];
  readonly faults: readonly ServiceFault[];
  readonly disturbances: readonly Disturbance[];
}

const plans: fc.Arbitrary<Plan> = fc.record({
  calls: fc.array(
    fc.record({
      entry: fc.nat({max: 1}),
      key: fc.nat({max: 1}),
      timeoutMs: fc.constantFrom(500, 3_000, 12_000),
    }),
    {minLength: 2, maxLength: 6},
  ),
  faults: fc.array(
    fc.constantFrom<ServiceFault>(
      'none',
      'refuse',
      'lose_request',
      'lose_answer',
      'hang',
    ),
    {maxLength: 4},
  ),
  disturbances: fc.array(
    fc.constantFrom<Disturbance>(
      'time',
      'time',
      'time',
      'elect',
      'cut_leader',
      'cut_entry',
      'heal',
      'kill_entry',
      'kill_member',
      'restart_group',
      'lose_replies',
      'keep_replies',
    ),
    {maxLength: 20},
  ),
});

async function disturb(
  t: TestContext,
  bench: TestBench,
  disturbance: Disturbance,
  options: DomainOptions,
): Promise<void> {
  const {network, domain} = bench;
  switch (disturbance) {
    case 'time':
      t.mock.timers.tick(700);
      break;
    case 'elect':
      domain.group.elect();
      break;
    case 'cut_leader':
      network.cutOff.add(domain.group.leader?.name ?? 'centro-0');
      break;
    case 'cut_entry':
      network.cutOff.add('entry-b');
      break;
    case 'heal':
      network.cutOff.clear();
      network.down.delete('centro-1');
      break;
    case 'kill_entry':
      network.down.add('entry-a');
      break;
    case 'kill_member':
      network.down.add('centro-1');
      break;
    case 'restart_group':
      domain.restart(options.hasDiskMember !== false);
      break;
    case 'lose_replies':
      network.lostReplies.add('records.begin').add('records.finish');
      break;
    case 'keep_replies':
      network.lostReplies.clear();
      break;
  }
  await flushPromises();
}

/**
 * Runs a plan in the scheduler's order, then heals all faults, except that one
 * entry stays down, and resends every key.
 */
async function runPlan(
  t: TestContext,
  scheduler: fc.Scheduler,
  plan: Plan,
  options: DomainOptions = {},
): Promise<string[]> {
  const schedule = {isBypassed: false};
  const bench = new TestBench(t, options, label =>
    schedule.isBypassed
      ? Promise.resolve()
      : scheduler.schedule(Promise.resolve(), label),
  );
  bench.entries.forEach(entry => (entry.service.faults = [...plan.faults]));
  const keys = ['first', 'second'].map(name => bench.key(name));
  const calls = plan.calls.map(({entry, key, timeoutMs}, index) =>
    bench.send(entry, {callId: `${index}`, key: keys[key]!, timeoutMs}),
  );
  void scheduler.scheduleSequence(
    plan.disturbances.map(disturbance => ({
      label: disturbance,
      builder: () => disturb(t, bench, disturbance, options),
    })),
  );
  await flushPromises();
  while (scheduler.count() > 0) {
    await scheduler.waitOne();
    await flushPromises();
  }
  schedule.isBypassed = true;
  bench.network.cutOff.clear();
  bench.network.lostReplies.clear();
  bench.network.down.clear();
  bench.network.down.add('entry-a');
  bench.domain.group.elect();
  await bench.advance(30_000, 1_000);
  bench.entries.forEach(entry => (entry.service.faults = []));
  const resends = keys.map((key, index) =>
    bench.sendAndWait(1, {callId: `resend ${index}`, key}),
  );
  const answers = await Promise.all(resends);
  void calls;
  bench.domain.stop();
  const open = answers.filter(answer => !/^200 |^outcome_unknown/.test(answer));
  return [
    ...checkCallHistory(bench.events),
    ...open.map(answer => `a resend after all faults got ${answer}`),
  ];
}

// Guards against a double execution, a wrong `not_run` and the answer of another
// call under any order of messages, commits, elections, partitions, crashes and
// lost replies.
test('any order of messages and faults runs a key at most once', async t => {
  pauseClock(t);
  await fc.assert(
    fc.asyncProperty(fc.scheduler(), plans, async (scheduler, plan) => {
      assert.deepEqual(await runPlan(t, scheduler, plan), []);
    }),
    {seed: SEED, numRuns: 300},
  );
});

// Guards against a second execution of a key whose record was lost when the
// members' memory was lost.
test('a group without disks runs a key at most once', async t => {
  pauseClock(t);
  await fc.assert(
    fc.asyncProperty(fc.scheduler(), plans, async (scheduler, plan) => {
      const options = {hasDiskMember: false};
      const problems = await runPlan(t, scheduler, plan, options);
      assert.deepEqual(problems, []);
    }),
    {seed: SEED, numRuns: 200},
  );
});

/** An injected bug: a key that is running or unknown is granted again. */
class DoubleGrantingMachine extends RecordStateMachine {
  override apply(command: RecordCommand) {
    const result = super.apply(command);
    return result.kind === 'running' || result.kind === 'unknown'
      ? ({kind: 'granted'} as const)
      : result;
  }
}

/** An injected bug: an attempt that ends as unknown is recorded as not run. */
class ForgettingMachine extends RecordStateMachine {
  override apply(command: RecordCommand) {
    if (command.kind === 'finish' && command.outcome.kind === 'unknown') {
      return super.apply({...command, outcome: {kind: 'not_run'}});
    }
    return super.apply(command);
  }
}

for (const Machine of [DoubleGrantingMachine, ForgettingMachine]) {
  test(`the checker notices a ${Machine.name}`, async t => {
    pauseClock(t);
    const found = await fc.check(
      fc.asyncProperty(fc.scheduler(), plans, async (scheduler, plan) => {
        const options = {createMachine: () => new Machine()};
        const problems = await runPlan(t, scheduler, plan, options);
        return !problems.some(problem => problem.includes('was executed 2'));
      }),
      {seed: SEED, numRuns: 300, endOnFailure: true},
    );
    assert.equal(found.failed, true);
  });
}
