/** Draws new seeds until the time is over: `npm run scenario:soak -- --minutes M`. */
import sade from 'sade';
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import {readAnswers} from '../config/answers.js';
import {formatProblems} from '../config/settings.js';
import {deploymentOf, runSeed} from './double_faults.js';
import {printResult} from './main.js';
import type {ScenarioResult} from './runner.js';

const MS_PER_MINUTE = 60_000;
const SEED_LIMIT = 1_000_000_000;

/** Runs the scenario of one seed over the answers of its deployment. */
export async function runDoubleFaults(seed: number): Promise<ScenarioResult> {
  const file = `playground/${deploymentOf(seed)}/answers.yaml`;
  const answers = readAnswers(file);
  if (answers.isErr()) throw new Error(formatProblems(answers.error));
  return runSeed(seed, answers.value);
}

async function soak(options: {
  readonly minutes: number;
  readonly seed?: number;
}): Promise<void> {
  const untilMs = monotonicNowMs() + options.minutes * MS_PER_MINUTE;
  const first = options.seed ?? wallNowMs() % SEED_LIMIT;
  const failed: number[] = [];
  let seed = first;
  do {
    const result = await runDoubleFaults(seed);
    if (result.failures.length > 0) {
      failed.push(seed);
      printResult(result);
    }
    seed += 1;
  } while (monotonicNowMs() < untilMs);
  const count = seed - first;
  console.log(
    `${count} seeds from ${first} on, ${failed.length} failed: ${failed.join(', ') || 'none'}`,
  );
  process.exit(failed.length === 0 ? 0 : 1);
}

/** The entry point of the command. */
export function main(argv: readonly string[]): void {
  sade('soak', true)
    .describe('Run scenarios with overlapping faults, drawn from new seeds.')
    .option('--minutes', 'How long new seeds are drawn', 1)
    .option('--seed', 'The first seed; default: from the wall clock')
    .action((options: {minutes: number; seed?: number}) => {
      void soak(options);
    })
    .parse([...argv]);
}

if (process.argv[1]?.endsWith('scenario/soak.js') === true) main(process.argv);
