/**
 * Scenarios with two or three overlapping faults, drawn from a seed. After the
 * last fault has healed, every region must serve new work again.
 */
import {seededRandom} from '../__tests__/support/random.js';
import type {Answers} from '../config/answers.js';
import {drawFault, type FaultContext} from './double_faults_draw.js';
import {ofKind, type HistoryEvent} from './history.js';
import {ScenarioRunner, type ScenarioResult} from './runner.js';
import {
  scenarioSchema,
  type Scenario,
  type ScenarioEvent,
  type ScenarioLoad,
} from './schema.js';

/** The deployments that the seeds alternate between. */
export const DEPLOYMENTS = ['trazo', 'zsaner'] as const;

/** New work must be answered this long after the last fault. */
export const HEALED_BOUND_MS = 15_000;
const FIRST_FAULT_MS = 3_000;
const LAST_START_MS = 7_000;
const FAULTS_END_MS = 16_000;
const LIVE_FROM_MS = FAULTS_END_MS + HEALED_BOUND_MS;
const LIVE_FOR_MS = 2_000;
const PROMPT = 'poison drawn from a seed';

interface RegionLoad {
  readonly region: string;
  readonly workspace: string;
}

/** The deployment of a seed. */
export function deploymentOf(seed: number): (typeof DEPLOYMENTS)[number] {
  return DEPLOYMENTS[seed % DEPLOYMENTS.length] ?? 'trazo';
}

/** Draws the scenario of a seed for the answers of its deployment. */
export function drawScenario(seed: number, answers: Answers): Scenario {
  const random = seededRandom(seed);
  const context = faultContext(answers, random);
  const count = 2 + Math.floor(random() * 2);
  const faults = Array.from({length: count}, (_, index) => {
    // The first fault starts first and outlasts the start of the others.
    const fromMs =
      index === 0
        ? FIRST_FAULT_MS
        : between(random, FIRST_FAULT_MS, LAST_START_MS);
    const untilMs = between(random, LAST_START_MS + 1_000, FAULTS_END_MS);
    return drawFault(context, index, fromMs, untilMs);
  });
  const drawn = faults.flatMap(fault => fault.events);
  const isPartitioned = faults.some(fault => fault.isPartition);
  const events = [
    ...drawn,
    ...(isPartitioned ? [{atMs: FAULTS_END_MS, do: 'heal' as const}] : []),
  ].sort((left, right) => left.atMs - right.atMs);
  return scenarioSchema.parse({
    name: `double faults ${faults.map(fault => fault.name).join(', ')}`,
    about: 'Faults that overlap in time, drawn from a seed.',
    deployment: answers.deployment,
    seed,
    durationMs: LIVE_FROM_MS + LIVE_FOR_MS + 500,
    load: [...steadyLoad(answers, random), ...liveLoad(answers)],
    events,
    expect: expectations(answers, events),
  });
}

/** Draws the scenario of a seed, runs it and adds the checks of its end. */
export async function runSeed(
  seed: number,
  answers: Answers,
): Promise<ScenarioResult> {
  const scenario = drawScenario(seed, answers);
  const result = await new ScenarioRunner(scenario, answers, seed).run();
  return {
    ...result,
    failures: [...result.failures, ...checkLastVersions(result.history)],
  };
}

/** All entries end with one version, at least the greatest accepted one. */
export function checkLastVersions(events: readonly HistoryEvent[]): string[] {
  const last = new Map(
    ofKind(events, 'version').map(event => [event.process, event.version]),
  );
  const accepted = ofKind(events, 'changed').map(event => event.version ?? 0);
  const expected = Math.max(...accepted, ...last.values());
  return [...last]
    .filter(([, version]) => version < expected)
    .map(
      ([process, version]) =>
        `${process} ends with version ${version}, not ${expected}`,
    );
}

function faultContext(answers: Answers, random: () => number): FaultContext {
  const disks = answers.instances.filter(each => each.disk);
  return {
    random,
    regions: answers.regions.map(region => region.id),
    instances: answers.instances.map(each => each.id),
    diskInstances: disks.map(each => each.id),
    controls: answers.instances
      .filter(each => each.controlAddress !== undefined)
      .map(each => each.id),
    engines: answers.upstreams
      .filter(each => each.kind === 'model')
      .map(each => each.id),
    services: answers.upstreams.flatMap(each =>
      each.kind === 'service'
        ? each.services.map(service => `${each.id}.${service.name}`)
        : [],
    ),
    operators: answers.operators.map(each => each.name),
    movable: answers.workspaces
      .filter(each => each.residency.length > 1)
      .map(({id, residency}) => ({id, regions: residency})),
  };
}

/** One workspace of each region: the first that has its home there. */
function regionLoads(answers: Answers): readonly RegionLoad[] {
  return answers.regions.map(({id}) => {
    const workspace = answers.workspaces.find(each => each.home === id);
    if (workspace === undefined) throw new Error(`no workspace in ${id}`);
    return {region: id, workspace: workspace.id};
  });
}

function workloadNames(answers: Answers) {
  return answers.deployment === 'trazo'
    ? {recorded: 'booking', model: 'chat', lookup: undefined}
    : {recorded: 'reorder', model: 'suggest', lookup: 'stock'};
}

function steadyLoad(answers: Answers, random: () => number): unknown[] {
  const names = workloadNames(answers);
  const places = answers.instances.map(each => each.id);
  const common = {fromMs: 0, untilMs: FAULTS_END_MS + 2_000};
  const perRegion = regionLoads(answers).flatMap(({region, workspace}) => {
    const base = {...common, workspace, at: region};
    const recorded = {
      ...base,
      id: `recorded-${region}`,
      workload: names.recorded,
      everyMs: 250,
      resend: {
        afterMs: between(random, 300, 8_000),
        share: 0.6,
        at: pick(random, places),
      },
    };
    const chats = {
      ...base,
      id: `model-${region}`,
      workload: names.model,
      everyMs: 400,
    };
    const lookups = {
      ...base,
      id: `lookup-${region}`,
      workload: names.lookup,
      everyMs: 400,
    };
    return names.lookup === undefined
      ? [recorded, chats]
      : [recorded, chats, lookups];
  });
  return [...perRegion, poisonLoad(answers)];
}

function poisonLoad(answers: Answers): unknown {
  const [first] = regionLoads(answers);
  return {
    id: 'poison',
    workspace: first?.workspace,
    workload: workloadNames(answers).model,
    at: first?.region,
    fromMs: 0,
    untilMs: 0,
    everyMs: 1_000,
    prompt: PROMPT,
  };
}

function liveLoad(answers: Answers): readonly Partial<ScenarioLoad>[] {
  const names = workloadNames(answers);
  const kinds = [names.recorded, names.model, names.lookup].filter(
    each => each !== undefined,
  );
  return regionLoads(answers).flatMap(({region, workspace}) =>
    kinds.map(workload => ({
      id: `live-${workload}-${region}`,
      workspace,
      workload,
      at: region,
      fromMs: LIVE_FROM_MS,
      untilMs: LIVE_FROM_MS + LIVE_FOR_MS,
      everyMs: 200,
    })),
  );
}

function expectations(
  answers: Answers,
  events: readonly Partial<ScenarioEvent>[],
): unknown[] {
  const live = liveLoad(answers).map(({id}) => ({
    check: 'answered',
    load: id,
    minShare: 1,
  }));
  // Each side of a partition, and each entry that lost its memory, may have to
  // learn about the request again.
  const isQuarantineShared = !events.some(event =>
    ['cut', 'isolate', 'kill', 'stop'].includes(event.do ?? ''),
  );
  return isQuarantineShared
    ? [...live, {check: 'executions', prompt: PROMPT, max: 2}]
    : live;
}

function between(random: () => number, fromMs: number, untilMs: number) {
  return fromMs + Math.floor((random() * (untilMs - fromMs)) / 5) * 5;
}

function pick<Item>(random: () => number, items: readonly Item[]): Item {
  return items[Math.floor(random() * items.length)] as Item;
}
