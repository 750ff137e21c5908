/** Soaks the real programs: `npm run soak -- --seeds 50 --parallel 4`. */
import {join} from 'node:path';
import {tmpdir} from 'node:os';
import {mkdtempSync, rmSync} from 'node:fs';
import sade from 'sade';
import {wallNowMs} from '../src/node/clock/clock.js';
import type {SoakProfile} from './profile.js';
import {PROFILES, profileOf} from './profiles.js';
import {runSoak, type SoakResult} from './soak_run.js';

const SEED_LIMIT = 1_000_000_000;

interface SoakCommand {
  readonly seeds: number;
  readonly parallel: number;
  readonly seed?: number;
  /** Number of the first loopback network; soaks at the same time differ. */
  readonly slot: number;
  /** Name of the profile. */
  readonly profile: string;
}

async function soak(command: SoakCommand): Promise<void> {
  const first = command.seed ?? wallNowMs() % SEED_LIMIT;
  const seeds = Array.from(
    {length: command.seeds},
    (_, index) => first + index,
  );
  const failed: number[] = [];
  const profile = profileOf(command.profile);
  const lanes = Array.from({length: command.parallel}, async (_, lane) => {
    const own = seeds.filter((_, index) => index % command.parallel === lane);
    await own.reduce(
      (before, seed) =>
        before.then(async () => {
          const isKept = await runSeed(seed, command.slot + lane, profile);
          if (!isKept) failed.push(seed);
        }),
      Promise.resolve(),
    );
  });
  await Promise.all(lanes);
  console.log(
    `${seeds.length} seeds from ${first} on, ${failed.length} failed: ` +
      `${failed.sort().join(', ') || 'none'}`,
  );
  process.exit(failed.length === 0 ? 0 : 1);
}

/** Runs a seed and prints it; the folder of a failed one is kept. */
async function runSeed(
  seed: number,
  slot: number,
  profile: SoakProfile,
): Promise<boolean> {
  const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
  const result = await runSoak({seed, slot, folder, profile}).catch(
    (thrown: unknown): SoakResult => ({
      seed,
      faults: [],
      calls: 0,
      served: 0,
      problems: [thrown instanceof Error ? thrown.message : String(thrown)],
    }),
  );
  const {calls, served, problems, faults} = result;
  console.log(
    `seed ${seed}: ${served} of ${calls} calls served, ${problems.length} problems`,
  );
  if (problems.length === 0) {
    rmSync(folder, {recursive: true});
    return true;
  }
  problems.slice(0, 12).forEach(problem => console.log(`  ${problem}`));
  faults.forEach(fault => console.log(`  fault ${JSON.stringify(fault)}`));
  console.log(`  logs and disks: ${folder}`);
  return false;
}

/** The entry point of the command. */
export function main(argv: readonly string[]): void {
  sade('soak', true)
    .describe('Run the real programs under faults drawn from seeds.')
    .option('--seeds', 'How many seeds', 1)
    .option('--parallel', 'How many at the same time', 1)
    .option('--seed', 'The first seed; default: from the wall clock')
    .option('--slot', 'The first loopback network that is used', 0)
    .option(
      '--profile',
      `Kind of run: ${PROFILES.map(each => each.name).join(', ')}`,
      'mixed',
    )
    .action((command: SoakCommand) => {
      void soak(command);
    })
    .parse([...argv]);
}

if (process.argv[1]?.endsWith('soak/main.js') === true) main(process.argv);
