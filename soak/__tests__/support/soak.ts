/** Runs of the soak inside tests. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import type {SoakProfile} from '../../profile.js';
import {runSoak} from '../../soak_run.js';

const CALLS_PER_S = 30;
/** A comparison of many long lines takes minutes. */
const SHOWN_PROBLEMS = 10;

/** The first problems that a seed shows; its folder is kept if there are any. */
export async function problemsOfSoak(
  t: TestContext,
  seed: number,
  slot: number,
  profile: SoakProfile,
): Promise<readonly string[]> {
  const folder = mkdtempSync(join(tmpdir(), `soak-spec-${seed}-`));
  const result = await runSoak({
    seed,
    slot,
    folder,
    callsPerS: CALLS_PER_S,
    profile,
  });
  t.diagnostic(`${result.served} of ${result.calls} calls served`);
  if (result.problems.length === 0) rmSync(folder, {recursive: true});
  else t.diagnostic(JSON.stringify(result.faults));
  return result.problems.slice(0, SHOWN_PROBLEMS);
}
