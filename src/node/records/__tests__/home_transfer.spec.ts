import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {pauseClock} from '../../__tests__/support/clock.js';
import {
  checkCallHistory,
  type CallEvent,
} from '../../__tests__/support/history.js';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {wallNowMs} from '../../clock/clock.js';
import {
  asId,
  type AttemptId,
  type Digest,
  type DomainId,
  type IdempotencyKey,
  type MemberId,
} from '../../types/ids.js';
import type {WorkspaceHome, WorkspaceHomes} from '../home_transfer.js';
import type {RecordCommand} from '../record.js';
import {RecordStateMachine} from '../record_state_machine.js';
import {TestDomain, TestEntry, WORKSPACE} from './support/domain.js';
import {FakeNetwork, type Step} from './support/fakes.js';
import {flushPromises} from './support/utils.js';

const DOMAINS = ['centro', 'cuyo', 'patagonia'].map(name =>
  asId<DomainId>(name),
);
const [CENTRO] = DOMAINS;

/** Three domains and two entries; the home of the workspace changes. */
class MovingBench {
  readonly events: CallEvent[] = [];
  readonly network: FakeNetwork;
  readonly domains: readonly TestDomain[];
  readonly entries: readonly TestEntry[];
  private current: WorkspaceHome = {homeDomainId: CENTRO!, version: 1};
  /** The configuration that each process received last. */
  private readonly views = new Map<string, WorkspaceHome>();

  constructor(
    private readonly test: TestContext,
    step: Step = async () => undefined,
    /** An injected fault: the record groups are not told the homes. */
    private readonly hidesMoves = false,
  ) {
    this.network = new FakeNetwork(step);
    this.domains = DOMAINS.map(
      name =>
        new TestDomain(this.network, {
          name,
          domainId: name,
          home: () => this.view(name),
          homes: () => this.homes(name),
        }),
    );
    this.entries = ['entry-a', 'entry-b'].map(
      name =>
        new TestEntry(
          name,
          this.network,
          () => {
            const {homeDomainId} = this.view(name);
            return [0, 1, 2].map(index => `${homeDomainId}-${index}`);
          },
          this.events,
        ),
    );
    test.after(() => this.stop());
  }

  stop(): void {
    this.domains.forEach(domain => domain.stop());
  }

  /** Creates a configuration version with another home of the workspace. */
  move(to: string): void {
    const homeDomainId = asId<DomainId>(to);
    this.current = {homeDomainId, version: this.current.version + 1};
  }

  /** Distributes the current configuration to one process. */
  configure(name: string): void {
    this.views.set(name, this.current);
  }

  configureAll(): void {
    [...DOMAINS, 'entry-a', 'entry-b'].forEach(name => this.configure(name));
  }

  async advance(durationMs: number, stepMs = 100): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      await flushPromises();
      this.test.mock.timers.tick(stepMs);
    }
    await flushPromises();
  }

  async send(entry: number, callId: string, key: string): Promise<string> {
    const answer = this.entries[entry]!.send({callId, key});
    await this.advance(12_000);
    return answer;
  }

  private homes(name: string): WorkspaceHomes | undefined {
    if (this.hidesMoves) return undefined;
    const {version, homeDomainId} = this.view(name);
    return {version, homes: new Map([[WORKSPACE, homeDomainId]])};
  }

  private view(name: string): WorkspaceHome {
    return this.views.get(name) ?? {homeDomainId: CENTRO!, version: 1};
  }
}

function newKey(name: string): string {
  return `${wallNowMs()}-${name.padEnd(8, '_')}`;
}

// Guards against a second run after a change of home, and against a return of
// the workspace without the records that its other home added.
test('records follow a workspace to its new home and back', async t => {
  pauseClock(t);
  const bench = new MovingBench(t);
  await bench.advance(1_100);
  const keys = ['first', 'second'].map(newKey);
  const answers = [await bench.send(0, 'one', keys[0]!)];
  bench.move('cuyo');
  bench.configureAll();
  answers.push(await bench.send(1, 'two', keys[0]!));
  answers.push(await bench.send(1, 'three', keys[1]!));
  bench.move('centro');
  bench.configureAll();
  answers.push(await bench.send(0, 'four', keys[1]!));
  const views = bench.domains
    .slice(0, 2)
    .map(domain => domain.machines[0]!.viewWorkspace(WORKSPACE));
  assert.deepEqual(checkCallHistory(bench.events), []);
  matchSnapshot(import.meta.url, 'home and back', {answers, views});
});

// Guards against a new home that opens while the old one is unreachable.
test('a new home rejects calls until the old one is reachable', async t => {
  pauseClock(t);
  const bench = new MovingBench(t);
  await bench.advance(1_100);
  const key = newKey('first');
  const first = await bench.send(0, 'one', key);
  bench.network.cutOff.add('cuyo-0').add('cuyo-1').add('cuyo-2');
  bench.network.cutOff.add('entry-b');
  bench.move('cuyo');
  bench.configureAll();
  const refused = await bench.send(1, 'two', key);
  bench.network.cutOff.clear();
  const resent = await bench.send(1, 'three', key);
  matchSnapshot(import.meta.url, 'old home cut off', [first, refused, resent]);
});

// Guards against two domains that each wait for an import from the other.
test('a workspace that returns before it was imported opens again', async t => {
  pauseClock(t);
  const bench = new MovingBench(t);
  await bench.advance(1_100);
  ['cuyo-0', 'cuyo-1', 'cuyo-2'].forEach(name =>
    bench.network.cutOff.add(name),
  );
  bench.move('cuyo');
  bench.configure('cuyo');
  await bench.advance(2_000);
  bench.move('centro');
  bench.configureAll();
  bench.network.cutOff.clear();
  assert.match(await bench.send(0, 'one', newKey('first')), /^200/);
});

// Guards against a stray command that makes an unknown workspace look open, so
// that a later import of its records would be skipped.
test('commands for an unknown workspace do not open it', () => {
  const machine = new RecordStateMachine();
  const page = {records: [], expiredBeforeMs: 0, unknownBeforeMs: 0};
  const call = {workspaceId: WORKSPACE, version: 2};
  const key = asId<IdempotencyKey>(newKey('first'));
  const attempt = {
    workspaceId: WORKSPACE,
    key,
    digest: asId<Digest>('0'.repeat(64)),
    attemptId: asId<AttemptId>('a'),
    owner: asId<MemberId>('entry-a#1'),
  };
  const commands: RecordCommand[] = [
    {kind: 'start_generation', nowMs: wallNowMs(), unknownBeforeMs: 0},
    {kind: 'import', ...call, page},
    {kind: 'open_workspace', ...call, unknownBeforeMs: 0},
    {kind: 'finish', ...attempt, outcome: {kind: 'unknown'}},
    {kind: 'await_import', ...call, fromDomainId: CENTRO!},
  ];
  commands.forEach(command => machine.apply(command));
  assert.equal(machine.viewWorkspace(WORKSPACE)?.status, 'importing');
});

// Guards against the loss of an outcome that is reported during a move.
test('an attempt that runs during the move is finished at the new home', async t => {
  pauseClock(t);
  const bench = new MovingBench(t);
  await bench.advance(1_100);
  const key = newKey('first');
  const {service} = bench.entries[0]!;
  const dispatch = service.dispatch.bind(service);
  service.dispatch = async (target, request) => {
    await new Promise(resolve => setTimeout(resolve, 3_000));
    return dispatch(target, request);
  };
  const running = bench.entries[0]!.send({callId: 'one', key});
  await bench.advance(1_000);
  bench.move('cuyo');
  bench.configureAll();
  const joined = await bench.send(1, 'two', key);
  assert.deepEqual(checkCallHistory(bench.events), []);
  matchSnapshot(import.meta.url, 'running move', [await running, joined]);
});

// Guards against a page that is lost when the new home loses its leader.
test('an import of several pages survives a change of leader', async t => {
  pauseClock(t);
  const pages = {count: 0};
  const bench: MovingBench = new MovingBench(t, async label => {
    if (label !== 'commit import') return;
    pages.count += 1;
    if (pages.count === 2) {
      bench.network.down.add('cuyo-0');
      bench.domains[1]!.group.elect();
    }
  });
  const centro = bench.domains[0]!;
  const first = await bench.send(0, 'one', newKey('first'));
  const machine = centro.machines[0]!;
  const template = centro.group.commands.find(({kind}) => kind === 'begin')!;
  Array.from({length: 3_200}, (_, index) => newKey(`many${index}`)).forEach(
    key =>
      centro.group.commit(centro.group.members[0]!, {
        ...template,
        key,
      } as typeof template),
  );
  bench.move('cuyo');
  bench.configureAll();
  await bench.advance(12_000);
  const view = bench.domains[1]!.machines[1]!.viewWorkspace(WORKSPACE);
  assert.equal(machine.viewWorkspace(WORKSPACE)?.status, 'closed');
  matchSnapshot(import.meta.url, 'pages', [first, view, pages.count > 3]);
});

const STEPS = [
  'time',
  'time',
  'move centro',
  'move cuyo',
  'move patagonia',
  'configure centro',
  'configure cuyo',
  'configure patagonia',
  'configure entry-a',
  'configure entry-b',
  'elect',
] as const;

type MoveStep = (typeof STEPS)[number];
type SentCall = readonly [entry: number, key: number];

const calls = fc.array(fc.tuple(fc.nat({max: 1}), fc.nat({max: 1})), {
  minLength: 2,
  maxLength: 5,
});
const steps = fc.array(fc.constantFrom(...STEPS), {maxLength: 25});

async function applyStep(
  t: TestContext,
  bench: MovingBench,
  step: MoveStep,
): Promise<void> {
  const group = bench.domains[0]!.group;
  if (step === 'time') t.mock.timers.tick(700);
  else if (step.startsWith('move ')) bench.move(step.slice(5));
  else if (step === 'elect') {
    group.leader = group.members[1];
    group.leader?.catchUp();
  } else bench.configure(step.slice('configure '.length));
  await flushPromises();
}

/** Runs calls and steps in the scheduler's order, then resends each key. */
async function runMoves(
  t: TestContext,
  scheduler: fc.Scheduler,
  sent: readonly SentCall[],
  order: readonly MoveStep[],
  hidesMoves = false,
): Promise<string[]> {
  const isImmediate = {value: false};
  const step: Step = label =>
    isImmediate.value
      ? Promise.resolve()
      : scheduler.schedule(Promise.resolve(), label);
  const bench = new MovingBench(t, step, hidesMoves);
  // The groups observe the initial homes before the first move.
  isImmediate.value = true;
  await bench.advance(1_100);
  isImmediate.value = false;
  const keys = ['first', 'second'].map(newKey);
  const send = (entry: number, callId: string, key: number) =>
    bench.entries[entry]!.send({callId, key: keys[key]!});
  void scheduler.scheduleSequence(
    sent.map(([entry, key], index) => ({
      label: 'call',
      builder: async () => void send(entry, `${index}`, key),
    })),
  );
  void scheduler.scheduleSequence(
    order.map(item => ({
      label: item,
      builder: () => applyStep(t, bench, item),
    })),
  );
  await flushPromises();
  while (scheduler.count() > 0) {
    await scheduler.waitOne();
    await flushPromises();
  }
  isImmediate.value = true;
  bench.configureAll();
  await bench.advance(20_000, 500);
  const resends = keys.map((_key, index) => send(1, `resend ${index}`, index));
  await bench.advance(15_000, 200);
  const answers = await Promise.all(resends);
  bench.stop();
  return [
    ...checkCallHistory(bench.events),
    ...answers.filter(answer => !answer.startsWith('200')),
  ];
}

// Guards against a second run under any order of a move, the distribution of
// the configuration, messages and calls.
test('a key runs at most once under any order of moves and messages', async t => {
  pauseClock(t);
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      calls,
      steps,
      async (scheduler, sent, order) => {
        assert.deepEqual(await runMoves(t, scheduler, sent, order), []);
      },
    ),
    {seed: 20_260_103, numRuns: 200},
  );
});

// Guards against a property test that passes although moves are ignored.
test('the history check detects a new home that does not import', async t => {
  pauseClock(t);
  const found = await fc.check(
    fc.asyncProperty(
      fc.scheduler(),
      calls,
      steps,
      async (scheduler, sent, order) => {
        const problems = await runMoves(t, scheduler, sent, order, true);
        return !problems.some(problem => problem.includes('was executed 2'));
      },
    ),
    {seed: 20_260_103, numRuns: 200, endOnFailure: true},
  );
  assert.equal(found.failed, true);
});
