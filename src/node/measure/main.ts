/**
 * The experiment tool: `node dist/node/measure/main.js --deployment trazo
 * --scenario flood --seed 1`. It prints one table and writes one JSON result.
 * Exit codes: 0 success, 2 wrong usage.
 */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import sade from 'sade';
import {compare} from './compare.js';
import {createDeployment, DEPLOYMENT_NAMES} from './deployments.js';
import {formatTable, type MeasureResult} from './report.js';
import {measure} from './run.js';
import {SCENARIOS} from './scenarios.js';

const WRONG_USAGE = 2;

interface MainOptions {
  readonly deployment: string;
  readonly scenario: string;
  readonly seed: number;
  readonly out: string;
  readonly name: string;
  readonly baseline?: string;
}

function resultFile(options: MainOptions, name: string): string {
  const {out, deployment, scenario, seed} = options;
  return join(out, `${name}-${deployment}-${scenario}-${seed}.json`);
}

/** Adds the gateway of a stored result as one more strategy. */
function withBaseline(
  result: MeasureResult,
  options: MainOptions,
): MeasureResult {
  const {baseline} = options;
  if (baseline === undefined) return result;
  const text = readFileSync(resultFile(options, baseline), 'utf8');
  const stored = JSON.parse(text) as MeasureResult;
  const earlier = stored.strategies
    .filter(each => each.strategy === 'gateway')
    .map(each => ({...each, strategy: baseline}));
  const strategies = [...result.strategies, ...earlier];
  return {
    ...result,
    strategies,
    comparisons: compare(result.deployment, strategies),
  };
}

function usageError(message: string): never {
  console.error(message);
  process.exit(WRONG_USAGE);
}

function main(options: MainOptions): void {
  const configuration = createDeployment(options.deployment);
  if (configuration === undefined) {
    usageError(`unknown deployment; known: ${DEPLOYMENT_NAMES.join(', ')}`);
  }
  const scenarios = SCENARIOS.filter(
    each => options.scenario === 'all' || each.name === options.scenario,
  );
  if (scenarios.length === 0) {
    const known = SCENARIOS.map(each => each.name).join(', ');
    usageError(`unknown scenario; known: all, ${known}`);
  }
  mkdirSync(options.out, {recursive: true});
  scenarios.forEach(scenario => {
    const ofScenario = {...options, scenario: scenario.name};
    const result = measure(configuration, scenario, Number(options.seed));
    const file = resultFile(ofScenario, options.name);
    writeFileSync(file, `${JSON.stringify(result, null, 2)}\n`);
    console.log(`${formatTable(withBaseline(result, ofScenario))}\n`);
  });
}

sade('measure', true)
  .describe('Measure the serving decisions against baselines.')
  .option('--deployment', 'trazo or zsaner', 'trazo')
  .option('--scenario', 'Name of a scenario, or all', 'all')
  .option('--seed', 'Seed of the load and of the platform', 1)
  .option('--out', 'Folder of results', 'data/measures')
  .option('--name', 'Name under which the result is stored', 'latest')
  .option('--baseline', 'Name of a stored result to compare with')
  .action(main)
  .parse(process.argv);
