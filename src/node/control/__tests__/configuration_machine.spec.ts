import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {test} from 'node:test';
import fc from 'fast-check';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {playgroundAnswers} from '../../config/__tests__/playground.js';
import {generate} from '../../config/generate.js';
import type {JsonValue} from '../../replication/replicated_log.js';
import {asId, asNumber} from '../../types/ids.js';
import type {
  AcceptCommand,
  ControlCommand,
  ControlResult,
} from '../commands.js';
import {ConfigurationMachine} from '../configuration_machine.js';
import {MAX_STORED_ANSWERS} from '../constants.js';
import {pack} from '../packing.js';

const SEED = 20_261_204;
const ANSWERS = playgroundAnswers('trazo');
const PACKED_ANSWERS = pack(ANSWERS);
const PACKED_CONFIGURATION = pack(generate(ANSWERS));

function digestOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function accept(
  baseVersion: number,
  operationId: string,
  options: {operator?: string; key?: string; atMs?: number} = {},
): AcceptCommand {
  const operator = options.operator ?? 'lucia';
  return {
    kind: 'accept',
    baseVersion: asNumber(baseVersion),
    operationId: asId(operationId),
    operator,
    keyDigest: digestOf(options.key ?? `trazo-${operator}-key`),
    initialOperator: {name: 'lucia', keyDigest: digestOf('trazo-lucia-key')},
    answers: PACKED_ANSWERS,
    answersDigest: digestOf('answers'),
    configuration: PACKED_CONFIGURATION,
    atMs: options.atMs ?? 1_800_000_000_000,
  };
}

function copyOf(value: JsonValue): JsonValue {
  return JSON.parse(JSON.stringify(value)) as JsonValue;
}

test('each kind of result is returned and audited', () => {
  const machine = new ConfigurationMachine();
  const commands = [
    accept(0, 'stranger-1', {operator: 'mateo'}),
    accept(0, 'first-1'),
    accept(0, 'late-1', {operator: 'mateo'}),
    accept(0, 'first-1'),
    accept(1, 'first-1'),
    accept(1, 'wrong-key-1', {key: 'guess'}),
    accept(7, 'from-the-future-1'),
    accept(1, 'second-1', {operator: 'mateo'}),
  ];
  const results = commands.map((command, index) =>
    machine.apply(command, asNumber(index + 1)),
  );
  matchSnapshot(import.meta.url, 'results of changes', {
    results,
    audit: machine.audit(),
    history: machine.history(),
  });
});

interface Step {
  readonly operationId: string;
  readonly operator: string;
  readonly behind: number;
  readonly restores: boolean;
}

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    operationId: fc.constantFrom('op-a', 'op-b', 'op-c', 'op-d', 'op-e'),
    operator: fc.constantFrom('lucia', 'mateo'),
    behind: fc.integer({min: 0, max: 2}),
    restores: fc.boolean(),
  }),
  {maxLength: 30},
);

function acceptedBaseVersions(
  machine: ConfigurationMachine,
): readonly number[] {
  return machine.history().map(({baseVersion}) => baseVersion);
}

// Guards against two accepted changes of one base version, a version that
// decreases, a retry that gets another result or is applied again, and members
// whose state differs after one of them was restored from a snapshot.
test('concurrent and retried changes have one outcome on every member', () => {
  fc.assert(
    fc.property(steps, list => {
      const left = new ConfigurationMachine();
      let right = new ConfigurationMachine();
      const resultByChange = new Map<string, string>();
      list.forEach((step, index) => {
        const base = Math.max(0, left.version() - step.behind);
        const command = accept(base, step.operationId, step);
        const versionBefore = left.version();
        const auditBefore = left.audit().length;
        const result = left.apply(command, asNumber(index + 1));
        assert.deepEqual(right.apply(command, asNumber(index + 1)), result);
        const change = `${step.operationId} ${base} ${step.operator}`;
        const earlier = resultByChange.get(change);
        if (earlier !== undefined && result.status !== 'refused') {
          assert.equal(JSON.stringify(result), earlier);
          assert.equal(left.version(), versionBefore);
          assert.equal(left.audit().length, auditBefore);
        } else {
          assert.equal(left.audit().length, auditBefore + 1);
        }
        if (result.status !== 'refused') {
          resultByChange.set(change, JSON.stringify(result));
        }
        assert.ok(left.version() >= versionBefore);
        if (step.restores) {
          right = new ConfigurationMachine();
          right.restore(copyOf(left.snapshot()));
        }
        assert.deepEqual(right.snapshot(), left.snapshot());
      });
      assert.equal(
        new Set(acceptedBaseVersions(left)).size,
        acceptedBaseVersions(left).length,
      );
    }),
    {seed: SEED, numRuns: 300},
  );
});

// Guards against state that grows without bound with the number of changes.
test('stored answers are bounded while the history lists all versions', () => {
  const machine = new ConfigurationMachine();
  const commands: ControlCommand[] = Array.from({length: 40}, (_, index) =>
    accept(index, `operation-${index}`),
  );
  const results = commands.map((command, index): ControlResult =>
    machine.apply(command, asNumber(index + 1)),
  );
  assert.ok(results.every(({status}) => status === 'accepted'));
  const stored = commands.filter((_, index) =>
    machine.answersOf(asNumber(index + 1)),
  );
  assert.equal(stored.length, MAX_STORED_ANSWERS);
  assert.equal(machine.history().length, commands.length);
});
