/** Runs a scenario with every strategy on the same jobs. */
import type {Configuration} from '../config/configuration.js';
import {BaselineStrategy} from './baselines.js';
import {GatewayStrategy} from './gateway_strategy.js';
import {generateJobs} from './load_generator.js';
import {compare} from './compare.js';
import type {Figures} from './recorder.js';
import type {MeasureResult} from './report.js';
import type {Scenario} from './scenarios.js';
import {World, type Strategy} from './world.js';

const STRATEGIES: readonly ((world: World) => Strategy)[] = [
  world => new GatewayStrategy(world),
  world => new BaselineStrategy(world, 'round_robin'),
  world => new BaselineStrategy(world, 'least_outstanding'),
  world => new BaselineStrategy(world, 'home_only'),
];

/** Measures all strategies in one scenario. */
export function measure(
  configuration: Configuration,
  scenario: Scenario,
  seed: number,
): MeasureResult {
  const jobs = generateJobs(configuration, scenario, seed);
  const strategies = STRATEGIES.map((create): Figures => {
    const world = new World(configuration, scenario, seed);
    const strategy = create(world);
    world.run(jobs, strategy);
    return world.recorder.figures(strategy.name);
  });
  return {
    deployment: configuration.deployment,
    scenario: scenario.name,
    seed,
    strategies,
    comparisons: compare(configuration.deployment, strategies),
  };
}
