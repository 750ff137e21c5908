import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {
  asId,
  type AttemptId,
  type Digest,
  type IdempotencyKey,
  type MemberId,
  type WorkspaceId,
} from '../../types/ids.js';
import {
  classifyKeyTime,
  createIdempotencyKey,
  parseIdempotencyKey,
} from '../idempotency_key.js';
import type {
  BeginCommand,
  BeginResult,
  FinishCommand,
  Outcome,
  RecordCommand,
} from '../record.js';
import {RecordStateMachine} from '../record_state_machine.js';
import {sha256} from './support/utils.js';

const WORKSPACE = asId<WorkspaceId>('stand-1');
const OWNER = asId<MemberId>('entry-a#1');
const NOW_MS = 1_800_000_000_000;
const RETENTION_MS = 1_000_000;
const GRACE_MS = 5_000;
const ANSWERED = {
  kind: 'answered',
  answer: {
    status: 201,
    headers: {},
    bodyDigest: asId<Digest>(sha256('sitting 7')),
    bodySizeBytes: 9,
    body: Buffer.from('sitting 7').toString('base64'),
  },
} satisfies Outcome;

function begin(attempt: string, changes: Partial<BeginCommand> = {}) {
  return {
    kind: 'begin',
    workspaceId: WORKSPACE,
    key: asId<IdempotencyKey>(`${NOW_MS}-aaaaaaaa`),
    digest: asId<Digest>(sha256('a sitting')),
    attemptId: asId<AttemptId>(attempt),
    owner: OWNER,
    fresh: false,
    timeoutMs: 10_000,
    nowMs: NOW_MS,
    retentionMs: RETENTION_MS,
    maxRecords: 3,
    ...changes,
  } satisfies BeginCommand;
}

function finish(
  attempt: string,
  outcome: Outcome,
  changes: Partial<FinishCommand> = {},
) {
  const {workspaceId, key, digest, attemptId, owner} = begin(attempt);
  return {
    kind: 'finish',
    workspaceId,
    key,
    digest,
    attemptId,
    owner,
    outcome,
    ...changes,
  } satisfies FinishCommand;
}

function expire(nowMs: number): RecordCommand {
  return {kind: 'expire', nowMs, retentionMs: RETENTION_MS, graceMs: GRACE_MS};
}

function startedMachine(unknownBeforeMs = 0): RecordStateMachine {
  const machine = new RecordStateMachine();
  machine.apply({kind: 'start_generation', nowMs: NOW_MS, unknownBeforeMs});
  return machine;
}

const OTHER_BODY = {digest: asId<Digest>(sha256('another sitting'))};
const key = (ageMs: number) => ({
  key: asId<IdempotencyKey>(`${NOW_MS - ageMs}-aaaaaaaa`),
});
const namedKey = (name: string) => ({
  key: asId<IdempotencyKey>(`${NOW_MS}-${name.repeat(8)}`),
});

/** Each scenario names the failure that it guards against. */
const SCENARIOS: Readonly<Record<string, readonly RecordCommand[]>> = {
  'a lost reply to begin': [begin('a'), begin('a'), finish('a', ANSWERED)],
  'a concurrent duplicate and a resend': [
    begin('a'),
    begin('b'),
    finish('b', ANSWERED),
    finish('a', ANSWERED),
    finish('a', ANSWERED),
    begin('b'),
  ],
  'the same key with another body': [begin('a'), begin('b', OTHER_BODY)],
  'a resend after not_run': [
    begin('a'),
    finish('a', {kind: 'not_run'}),
    begin('b'),
    finish('a', ANSWERED),
    finish('b', ANSWERED),
  ],
  'a delayed copy of begin after not_run': [
    begin('a'),
    finish('a', {kind: 'not_run'}),
    begin('a'),
    begin('b'),
    begin('a'),
  ],
  'a begin that arrives after its attempt gave up': [
    finish('a', {kind: 'not_run'}),
    begin('a'),
    begin('b'),
    finish('c', {kind: 'not_run'}),
    finish('b', {kind: 'not_run'}),
    begin('c'),
  ],
  'a late finish after expire': [
    begin('a'),
    expire(NOW_MS + 15_000),
    expire(NOW_MS + 15_001),
    begin('b'),
    finish('a', ANSWERED),
    begin('b'),
    finish('a', {kind: 'unknown'}),
    finish('a', {kind: 'not_run'}),
  ],
  'keys outside the retention': [
    begin('a', key(RETENTION_MS)),
    begin('a', key(RETENTION_MS - 1)),
    begin('b', key(-300_001)),
    begin('b', key(-300_000)),
  ],
  'a leader whose clock is behind or whose retention grows': [
    begin('a'),
    finish('a', ANSWERED),
    expire(NOW_MS + RETENTION_MS + 60_000),
    begin('b'),
    begin('b', {nowMs: NOW_MS - 1}),
    begin('b', {retentionMs: 10 * RETENTION_MS}),
    finish('b', {kind: 'not_run'}),
    begin('c'),
  ],
  'a workspace that is full': [
    begin('a', namedKey('a')),
    begin('b', namedKey('b')),
    begin('c', namedKey('c')),
    begin('d', namedKey('d')),
    finish('a', {kind: 'not_run'}, namedKey('a')),
    begin('e', namedKey('a')),
  ],
};

test('each scenario of commands returns the specified results', () => {
  const results = Object.entries(SCENARIOS).map(([name, commands]) => {
    const machine = startedMachine();
    return [name, commands.map(command => machine.apply(command).kind)];
  });
  matchSnapshot(import.meta.url, 'scenarios', Object.fromEntries(results));
});

// Guards against a second run of keys that were used before the records were
// lost, also through a closed attempt, which would allow another grant.
test('a group that lost its records does not grant earlier keys', () => {
  const machine = new RecordStateMachine();
  const results = [
    finish('a', {kind: 'not_run'}),
    begin('a'),
    {kind: 'start_generation', nowMs: NOW_MS, unknownBeforeMs: NOW_MS + 1},
    begin('a'),
    finish('a', {kind: 'not_run'}),
    begin('b'),
    begin('c', {fresh: true}),
    begin('d', {key: asId<IdempotencyKey>(`${NOW_MS + 1}-aaaaaaaa`)}),
    {kind: 'start_generation', nowMs: NOW_MS, unknownBeforeMs: 0},
  ] satisfies RecordCommand[];
  assert.deepEqual(
    results.map(command => machine.apply(command).kind),
    [
      'missing',
      'not_ready',
      'changed',
      'unknown',
      'missing',
      'unknown',
      'granted',
      'granted',
      'unchanged',
    ],
  );
});

// Guards against unbounded memory use by stored bodies, and against members
// that evict different bodies after one restored a snapshot.
test('the oldest bodies of a workspace are evicted above a limit', () => {
  const body = Buffer.alloc(16 * 1024, 'x').toString('base64');
  const outcome: Outcome = {
    kind: 'answered',
    answer: {...ANSWERED.answer, body},
  };
  const ages = Array.from({length: 500}, (_, index) => 500_000 - index * 1_000);
  const commands = ages.flatMap(ageMs => [
    begin('a', {...key(ageMs), maxRecords: 1_000}),
    finish('a', outcome, key(ageMs)),
  ]);
  const machine = startedMachine();
  commands.slice(0, 900).forEach(command => machine.apply(command));
  const copy = new RecordStateMachine();
  copy.restore(JSON.parse(JSON.stringify(machine.snapshot())));
  commands.slice(900).forEach(command => {
    machine.apply(command);
    copy.apply(command);
  });
  const recordStates = ages.map(ageMs => {
    const record = machine.findRecord(WORKSPACE, key(ageMs).key);
    return [record?.phase, record?.answer?.body === body];
  });
  const firstWithBody = recordStates.findIndex(([, hasBody]) => hasBody);
  assert.ok(firstWithBody > 0 && firstWithBody < 200, `${firstWithBody}`);
  assert.ok(recordStates.slice(firstWithBody).every(([, hasBody]) => hasBody));
  assert.ok(recordStates.every(([phase]) => phase === 'answered'));
  assert.deepEqual(copy.snapshot(), machine.snapshot());
});

test('only keys of the documented form are parsed', () => {
  const texts = [
    '1800000000000-abcdefgh',
    `1800000000000-${'a'.repeat(64)}`,
    '0-ABC_def-',
    '',
    '1800000000000',
    '1800000000000-abcdefg',
    `1800000000000-${'a'.repeat(65)}`,
    '01800000000000-abcdefgh',
    '-1-abcdefgh',
    '1800000000000-abcdefg!',
    ' 1800000000000-abcdefgh',
    '1800000000000-abcdefgh\n',
  ];
  const parsed = texts.map(text => [text, parseIdempotencyKey(text) ?? null]);
  matchSnapshot(import.meta.url, 'keys', parsed);
  const made = createIdempotencyKey(NOW_MS + 0.5);
  assert.equal(parseIdempotencyKey(made)?.keyTimeMs, NOW_MS);
  assert.equal(classifyKeyTime(NOW_MS, NOW_MS, NOW_MS - 1), 'valid');
});

const attempt = fc.constantFrom('a', 'b', 'c');
const keyChange = fc.constantFrom(key(0), key(500_000));
const anyCommand: fc.Arbitrary<RecordCommand> = fc.oneof(
  fc
    .tuple(attempt, keyChange, fc.integer({min: -2_000_000, max: 2_000_000}))
    .map(([id, change, shiftMs]) =>
      begin(id, {...change, nowMs: NOW_MS + Math.trunc(shiftMs / 4)}),
    ),
  fc
    .tuple(
      attempt,
      keyChange,
      fc.constantFrom<Outcome>(ANSWERED, {kind: 'not_run'}, {kind: 'unknown'}),
    )
    .map(([id, change, outcome]) => finish(id, outcome, change)),
  fc
    .integer({min: -1_000_000, max: 2_000_000})
    .map(shiftMs => expire(NOW_MS + shiftMs)),
);

/**
 * Applies commands and returns violations of the rule that a key is granted to
 * another attempt only after the previous one was closed as `not_run`.
 */
function findDoubleGrants(
  machine: RecordStateMachine,
  commands: readonly RecordCommand[],
): string[] {
  const holders = new Map<string, string>();
  return commands.flatMap(command => {
    const result = machine.apply(command);
    if (command.kind === 'finish') {
      const closes =
        result.kind === 'recorded' && command.outcome.kind === 'not_run';
      const holds = holders.get(command.key) === command.attemptId;
      if (closes && holds) holders.delete(command.key);
    }
    if (command.kind !== 'begin' || result.kind !== 'granted') return [];
    const holder = holders.get(command.key) ?? command.attemptId;
    holders.set(command.key, command.attemptId);
    return holder === command.attemptId ? [] : [`${holder} ${command.key}`];
  });
}

// Guards against a second grant under any order of commands, clocks that go
// backwards, and a snapshot restored at any point.
test('any sequence of commands grants a key to one attempt at a time', () => {
  fc.assert(
    fc.property(
      fc.array(anyCommand, {maxLength: 40}),
      fc.nat({max: 40}),
      (commands, cut) => {
        const machine = startedMachine();
        assert.deepEqual(findDoubleGrants(machine, commands), []);
        const first = startedMachine();
        commands.slice(0, cut).forEach(command => first.apply(command));
        const copy = new RecordStateMachine();
        copy.restore(JSON.parse(JSON.stringify(first.snapshot())));
        const rest = commands.slice(cut);
        assert.deepEqual(
          rest.map(command => copy.apply(command)),
          rest.map(command => first.apply(command)),
        );
        assert.deepEqual(copy.snapshot(), machine.snapshot());
      },
    ),
    {seed: 20_260_101, numRuns: 1_000},
  );
});

/** An injected fault: `running` is answered as `granted`. */
class DoubleGrantingMachine extends RecordStateMachine {
  override apply(command: RecordCommand) {
    const result = super.apply(command);
    const granted: BeginResult = {kind: 'granted'};
    return result.kind === 'running' ? granted : result;
  }
}

// Guards against a check of double grants that accepts one.
test('the check detects a state machine that grants a key twice', () => {
  const machine = new DoubleGrantingMachine();
  machine.apply({kind: 'start_generation', nowMs: NOW_MS, unknownBeforeMs: 0});
  assert.deepEqual(findDoubleGrants(machine, [begin('a'), begin('b')]), [
    `a ${NOW_MS}-aaaaaaaa`,
  ]);
});
