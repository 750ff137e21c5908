/**
 * Measures slopes on this machine, writes them to `docs/results/slopes.json`
 * and rewrites the tables of `docs/CAPACITY.md`. Arguments name the parts to
 * measure; the others keep their figures. Run it with
 * `npm run measure:slopes [-- part...]`; `tables` only rewrites the page.
 */
import {execFile} from 'node:child_process';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {cpus, totalmem} from 'node:os';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {wallNowMs} from '../clock/clock.js';
import {measureRecords} from '../records/measure.js';
import {
  measureBaselines,
  measureChanges,
  measureControlGroups,
  measureDomainMembers,
  measurePolls,
} from './control_slopes.js';
import {measureFleetView} from './fleet_view_slopes.js';
import {rewritePage} from './page.js';
import type {Results} from './results.js';
import {measureRpc} from './rpc_slopes.js';
import {
  measureBookings,
  measureMemory,
  measureRequests,
  measureRequestsByEngines,
  measureWorkspaces,
} from './serving_slopes.js';

const RESULTS = 'docs/results/slopes.json';
const PAGE = 'docs/CAPACITY.md';
const GIB = 2 ** 30;
const run = promisify(execFile);

/** Runs one of the other measurements in a process of its own. */
async function program(path: string, args: readonly string[] = []) {
  const file = fileURLToPath(new URL(path, import.meta.url));
  const {stdout} = await run(process.execPath, [file, ...args]);
  return stdout;
}

const parts: Readonly<Record<string, () => Promise<unknown>>> = {
  baselines: measureBaselines,
  rpc: measureRpc,
  polls: measurePolls,
  domainMembers: measureDomainMembers,
  controlGroups: measureControlGroups,
  changes: measureChanges,
  requests: measureRequests,
  requestsByEngines: measureRequestsByEngines,
  fleetView: () => Promise.resolve(measureFleetView()),
  bookings: measureBookings,
  memory: measureMemory,
  workspaces: measureWorkspaces,
  records: () => Promise.resolve(measureRecords()),
  replication: async () =>
    JSON.parse(await program('../replication/measure.js')) as unknown,
  membership: async () =>
    (await program('../membership/measure.js', ['96', '360']))
      .trim()
      .split('\n')
      .map(line => JSON.parse(line) as unknown),
};

function readResults(): Record<string, unknown> {
  if (!existsSync(RESULTS)) return {};
  return JSON.parse(readFileSync(RESULTS, 'utf8')) as Record<string, unknown>;
}

async function main(): Promise<void> {
  const wanted = process.argv.slice(2);
  const names = Object.keys(parts).filter(
    name => wanted.length === 0 || wanted.includes(name),
  );
  for (const name of names) {
    const startMs = performance.now();
    const figures = await parts[name]?.();
    const measured = {
      at: new Date(wallNowMs()).toISOString(),
      seconds: Math.round((performance.now() - startMs) / 1_000),
      cores: cpus().length,
      memoryGib: Math.round(totalmem() / GIB),
      node: process.version,
    };
    const results = {...readResults(), [name]: {measured, figures}};
    writeFileSync(RESULTS, `${JSON.stringify(results, null, 2)}\n`);
    console.log(`${name}: ${measured.seconds} s`);
  }
  if (existsSync(PAGE)) {
    writeFileSync(
      PAGE,
      await rewritePage(
        readFileSync(PAGE, 'utf8'),
        readResults() as unknown as Results,
      ),
    );
  }
  process.exit(0);
}

await main();
