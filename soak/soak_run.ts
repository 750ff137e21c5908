/** One run of the soak: start, traffic with faults, calm, checks. */
import {setTimeout as sleep} from 'node:timers/promises';
import {seededRandom} from '../src/node/__tests__/support/random.js';
import {checkHistory} from './checks.js';
import type {Fault} from './fault_plan.js';
import {runFaults} from './fault_runner.js';
import {Fleet} from './fleet.js';
import type {History} from './history.js';
import {REGIONS, type Layout, type ProcessPlace} from './layout.js';
import {Operator} from './operator.js';
import {MixedFaults, type SoakProfile} from './profile.js';
import {RouteProbes} from './route_probes.js';
import {Traffic} from './traffic.js';

const START_LIMIT_MS = 20_000;
const START_CHECK_MS = 200;
/** Callers may send in pulses. */
const SERVED_LIMIT_MS = 30_000;
const SERVED_CHECK_MS = 20;
/** Settling, and some seconds in which everything must be served. */
const CALM_MS = 10_000;
const READ_ATTEMPTS = 20;
/** The newest versions are probed, also those that have just been replaced. */
const PROBED_VERSIONS = 4;
/** The last version has to be in force within 3 s. */
const LAST_VERSION_MS = 5_000;

export interface SoakOptions {
  readonly seed: number;
  /** Runs at the same time need different slots. */
  readonly slot: number;
  /** For settings, disks and logs. */
  readonly folder: string;
  /** @default 40 */
  readonly callsPerS?: number;
  /** @default mixed faults */
  readonly profile?: SoakProfile;
}

/** What one run showed. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly calls: number;
  readonly served: number;
  readonly problems: readonly string[];
}

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {seed, slot, folder} = options;
  const profile = options.profile ?? new MixedFaults();
  const fleet = new Fleet(slot, folder, profile);
  const {processes} = fleet.layout;
  const controls = processes.filter(each => each.role === 'control');
  const entries = processes.filter(each => each.role === 'entry');
  const operator = new Operator(
    controls.map(each => each.operatorProxyAddress),
    seededRandom(seed + 1),
    version => profile.workspacesOf(version),
  );
  const traffics = trafficsOf(options, profile, entries, operator);
  const stopTraffic = async (): Promise<void> => {
    await Promise.all(traffics.map(each => each.stop()));
  };
  const probes = new RouteProbes(
    entries.map(each => each.mainAddress),
    () => operator.confirmedVersions.slice(-PROBED_VERSIONS),
  );
  try {
    await fleet.start();
    await untilServed(
      operator,
      entries.map(each => each.sideAddress),
    );
    const faults = profile.faultsOf(seed, fleet.layout);
    traffics.forEach(each => each.start());
    operator.start();
    await untilAllServed(traffics);
    await runFaults(faults, fleet, operator);
    const calmAtMs = performance.now();
    await keepCalm(operator, probes);
    operator.stop();
    await stopTraffic();
    await readAtTheEnd(operator, READ_ATTEMPTS);
    const history = {
      ...historyOf(fleet, operator, calmAtMs),
      ...promisesOf(profile, faults, fleet.layout),
      calls: traffics.flatMap(each => each.calls),
      probes: probes.probes,
      texts: profile.keepsTexts ? await fleet.texts() : [],
    };
    const {calls} = history;
    const served = calls.filter(each => each.status === 200).length;
    const problems = checkHistory(history);
    return {seed, faults, calls: calls.length, served, problems};
  } finally {
    operator.stop();
    probes.stop();
    await stopTraffic();
    await fleet.stop();
  }
}

/** The traffic of each kind of callers. */
function trafficsOf(
  {seed, callsPerS = 40}: SoakOptions,
  profile: SoakProfile,
  places: readonly ProcessPlace[],
  operator: Operator,
): readonly Traffic[] {
  const entries = new Map(
    REGIONS.map(region => [
      region,
      places
        .filter(each => each.region === region)
        .map(each => each.mainAddress),
    ]),
  );
  return profile.callers.map(
    (callers, position) =>
      new Traffic({
        callers,
        callsPerS: callers.callsPerS ?? callsPerS,
        random: seededRandom(seed + 2 + position),
        entries,
        newestVersion: () => operator.newestVersion,
      }),
  );
}

/** What a kind of run promises beyond what all do. */
function promisesOf(
  profile: SoakProfile,
  faults: readonly Fault[],
  layout: Layout,
): Pick<History, 'losesNothing' | 'entriesKeepTouch' | 'unimpairedEntries'> {
  const {losesNothing, entriesKeepTouch} = profile;
  const unimpaired = profile.unimpairedEntries(faults, layout);
  const unimpairedEntries = layout.processes
    .filter(each => unimpaired.includes(each.name))
    .map(each => each.mainAddress);
  return {losesNothing, entriesKeepTouch, unimpairedEntries};
}

/** The time after the faults, at whose end no version is replaced any more. */
async function keepCalm(
  operator: Operator,
  probes: RouteProbes,
): Promise<void> {
  probes.start();
  await sleep(CALM_MS);
  operator.pauseChanges();
  await sleep(LAST_VERSION_MS);
  probes.stop();
}

function historyOf(
  fleet: Fleet,
  operator: Operator,
  calmAtMs: number,
): Pick<
  History,
  | 'runs'
  | 'arrivals'
  | 'operator'
  | 'unexpectedExits'
  | 'slowStops'
  | 'calmAtMs'
> {
  return {
    runs: fleet.upstreams.flatMap(each => each.runs),
    arrivals: fleet.upstreams.flatMap(each => each.arrivals),
    operator: operator.records,
    unexpectedExits: fleet.unexpectedExits.map(
      ({name, code, signal}) => `${name} (code ${code}, signal ${signal})`,
    ),
    slowStops: fleet.slowStops,
    calmAtMs,
  };
}

/** Waits until a configuration is in force on every entry. */
async function untilServed(
  operator: Operator,
  readinessAddresses: readonly string[],
): Promise<void> {
  const startedAtMs = performance.now();
  const isServed = async (): Promise<boolean> => {
    if (!(await operator.replace())) return false;
    const answers = await Promise.all(readinessAddresses.map(isReady));
    return answers.every(Boolean);
  };
  while (!(await isServed())) {
    if (performance.now() - startedAtMs > START_LIMIT_MS) {
      throw new Error('the fleet did not start');
    }
    await sleep(START_CHECK_MS);
  }
}

/**
 * Waits until callers of each kind were served: quotas are granted some time after the
 * start, and faults before that would show nothing about them.
 */
async function untilAllServed(traffics: readonly Traffic[]): Promise<void> {
  const startedAtMs = performance.now();
  const isServed = ({calls}: Traffic): boolean =>
    calls.some(each => each.status === 200);
  while (!traffics.every(isServed)) {
    if (performance.now() - startedAtMs > SERVED_LIMIT_MS) {
      throw new Error('some callers were not served before the faults');
    }
    await sleep(SERVED_CHECK_MS);
  }
}

async function isReady(address: string): Promise<boolean> {
  try {
    const answer = await fetch(`http://${address}/`);
    return answer.status === 200;
  } catch {
    // It does not listen yet.
    return false;
  }
}

async function readAtTheEnd(operator: Operator, left: number): Promise<void> {
  if ((await operator.read()) || left === 0) return;
  await sleep(START_CHECK_MS);
  await readAtTheEnd(operator, left - 1);
}
