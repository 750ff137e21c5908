import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Answers} from '../../config/answers.js';
import {playgroundAnswers} from '../../config/__tests__/playground.js';
import {DEFAULT_TOLERANCE, poolLimits} from '../../quotas/limits.js';
import type {HistoryEvent} from '../history.js';
import {ScenarioRunner, type ScenarioResult} from '../runner.js';
import {scenarioSchema} from '../schema.js';

const SEED = 20_261_206;
const QUOTA = {unit: 'requests', ratePerS: 10, burst: 10} as const;
const OVER = 'lago-caricaturas';
const BELOW = 'plaza-retratos';
const FREE = 'mendoza-trazos';
const DURATION_MS = 12_000;
/** Leases that a former leader may have given have expired by then. */
const RECOVERED_MS = 12_000;

function withQuota(...names: readonly string[]): Answers {
  const answers = playgroundAnswers('trazo');
  return {
    ...answers,
    workspaces: answers.workspaces.map(each =>
      names.includes(each.id) ? {...each, quota: QUOTA} : each,
    ),
  };
}

function load(workspace: string, at: string, everyMs: number) {
  return {
    id: `${workspace} at ${at}`,
    workspace,
    workload: 'chat',
    at,
    fromMs: RECOVERED_MS,
    untilMs: RECOVERED_MS + DURATION_MS,
    everyMs,
    tokens: 1,
  };
}

function run(
  answers: Answers,
  loads: readonly ReturnType<typeof load>[],
  events: readonly object[] = [],
): Promise<ScenarioResult> {
  const scenario = scenarioSchema.parse({
    name: 'quotas',
    about: 'quotas of the configuration',
    deployment: 'trazo',
    durationMs: RECOVERED_MS + DURATION_MS,
    load: loads,
    events,
  });
  return new ScenarioRunner(scenario, answers, SEED).run();
}

/** When each call of a workspace ran first, in order. */
function startsOf(
  history: readonly HistoryEvent[],
  workspace: string,
): readonly number[] {
  const calls = new Set(
    history.flatMap(event =>
      event.kind === 'invoked' && event.loadId.startsWith(workspace)
        ? [event.callId]
        : [],
    ),
  );
  const executed = history.filter(event => event.kind === 'executed');
  return [...calls]
    .flatMap(
      callId => executed.find(each => each.callId === callId)?.atMs ?? [],
    )
    .sort((left, right) => left - right);
}

/** By how much the fullest window exceeds what may run in it; at most 0. */
function excessOf(startsMs: readonly number[]): number {
  const {capacityUnits} = poolLimits(
    {...QUOTA, plainTokens: 0},
    DEFAULT_TOLERANCE,
  );
  const excesses = startsMs.flatMap((fromMs, first) =>
    startsMs.slice(first).map((toMs, later) => {
      const allowed =
        capacityUnits + (QUOTA.ratePerS * (toMs - fromMs)) / 1_000;
      return later + 1 - allowed;
    }),
  );
  return Math.max(...excesses);
}

// Guards against a quota in the configuration that no entry obeys, or that each entry
// obeys by itself, and against one that touches workspaces below theirs or without one.
test('entries of two regions keep to the quotas of the configuration', async () => {
  const result = await run(withQuota(OVER, BELOW), [
    load(OVER, 'patagonia', 50),
    load(OVER, 'cuyo', 50),
    load(BELOW, 'centro', 500),
    load(BELOW, 'cuyo', 500),
    load(FREE, 'cuyo', 100),
  ]);
  const starts = startsOf(result.history, OVER);
  assert.ok(excessOf(starts) <= 1, `${starts.length} ran`);
  const used = starts.length / ((QUOTA.ratePerS * DURATION_MS) / 1_000);
  assert.ok(used > 0.9, `${starts.length} ran: ${used} of the rate`);
  const {outcomes} = result;
  const others = Object.entries(outcomes).filter(
    ([key]) => !key.includes(OVER),
  );
  assert.deepEqual(Object.fromEntries(others), {
    [`${BELOW} at centro ok`]: 24,
    [`${BELOW} at cuyo ok`]: 24,
    [`${FREE} at cuyo ok`]: 120,
  });
  assert.deepEqual(result.failures, []);
});

// Guards against a bound that falls with one process.
test('quotas hold while control members and entries are killed', async () => {
  const killed = ['control-centro-1', 'cuyo-1'];
  const events = killed.flatMap((process, index) => [
    {atMs: RECOVERED_MS + 3_000 + index * 500, do: 'kill', process},
    {atMs: RECOVERED_MS + 5_000 + index * 500, do: 'restart', process},
  ]);
  const result = await run(
    withQuota(OVER),
    [load(OVER, 'patagonia', 50), load(OVER, 'cuyo', 50)],
    events,
  );
  const starts = startsOf(result.history, OVER);
  assert.ok(excessOf(starts) <= 1, `${starts.length} ran`);
  assert.ok(starts.length > 0);
});
