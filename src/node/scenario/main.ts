/** Runs scenario files: `npm run scenario -- FILE [--seed N]`. */
import {readAnswers} from '../config/answers.js';
import {formatProblems} from '../config/settings.js';
import sade from 'sade';
import {ofKind} from './history.js';
import {ScenarioRunner, type ScenarioResult} from './runner.js';
import {readScenario} from './schema.js';

const SHOWN_EVENTS = 40;

/** Runs one file and returns what was found. */
export async function runScenarioFile(
  file: string,
  seed?: number,
): Promise<ScenarioResult> {
  const scenario = readScenario(file);
  if (scenario.isErr()) throw new Error(formatProblems(scenario.error));
  const answersFile = `playground/${scenario.value.deployment}/answers.yaml`;
  const answers = readAnswers(answersFile);
  if (answers.isErr()) throw new Error(formatProblems(answers.error));
  const runner = new ScenarioRunner(
    scenario.value,
    answers.value,
    seed ?? scenario.value.seed,
  );
  return runner.run();
}

/** Prints a result and, if something broke, the events that led to it. */
export function printResult(result: ScenarioResult): void {
  const {name, seed, failures, outcomes, history} = result;
  const verdict = failures.length === 0 ? 'ok  ' : 'FAIL';
  console.log(`${verdict}  ${name} (seed ${seed})`);
  Object.entries(outcomes)
    .sort()
    .forEach(([key, count]) => console.log(`      ${key}: ${count}`));
  if (failures.length === 0) return;
  failures.forEach(failure => console.log(`      broken: ${failure}`));
  console.log('      what was done:');
  ofKind(history, 'event')
    .slice(0, SHOWN_EVENTS)
    .forEach(event => console.log(`        ${event.atMs} ms ${event.text}`));
}

async function runFiles(
  first: string,
  options: {seed?: number; _: readonly string[]},
): Promise<void> {
  const files = [first, ...options._];
  let failed = 0;
  for (const file of files) {
    const result = await runScenarioFile(file, options.seed);
    printResult(result);
    failed += result.failures.length > 0 ? 1 : 0;
  }
  process.exit(failed === 0 ? 0 : 1);
}

/** The entry point of the command. */
export function main(argv: readonly string[]): void {
  sade('scenario <file>', true)
    .describe('Run scenario files on paused time and check what they record.')
    .option('--seed', 'Seed of the run; default: the one in the file')
    .action((file: string, options: {seed?: number; _: string[]}) => {
      void runFiles(file, options);
    })
    .parse([...argv]);
}

if (process.argv[1]?.endsWith('scenario/main.js') === true) main(process.argv);
