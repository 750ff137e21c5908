/**
 * Time of one view of the fleet, which an entry computes several times for each
 * request, with the target's 14 domains and 14 models. The membership behind it
 * is a fixed one, so that decoding of gossip is not part of the time.
 */
import type {Configuration, UpstreamConfig} from '../config/configuration.js';
import {FleetState} from '../entry/fleet_state.js';
import type {
  DomainSummary,
  MembershipView,
} from '../membership/membership_view.js';
import {monotonicNowMs} from '../clock/clock.js';
import {asId, type DomainId, type ModelId} from '../types/ids.js';
import {lineThrough} from './slope.js';
import {TARGET} from './targets.js';

const REPEATS = 1_000;
/** Views before the first that counts, until the code is compiled. */
const WARM_UP = 1_000;
const WORKERS = [150, 300, 600];
const MODELS_PER_WORKER = 2;

const domains = Array.from({length: TARGET.domains}, (_, index) =>
  asId<DomainId>(`domain-${index}`),
);
const models = Array.from({length: TARGET.models}, (_, index) =>
  asId<ModelId>(`model-${index}`),
);

function workerOf(index: number): UpstreamConfig {
  return {
    upstreamId: asId(`worker-${index}`),
    domainId: domains[index % TARGET.domains] as DomainId,
    regionId: asId('region'),
    kind: 'model',
    address: `10.0.0.1:${index}`,
    modelIds: Array.from(
      {length: MODELS_PER_WORKER},
      (_, offset) => models[(index + offset) % TARGET.models] as ModelId,
    ),
    slotCount: 64,
    checksFencing: true,
    costMicros: 900,
  };
}

function configurationOf(workers: number): Configuration {
  return {
    regions: [{regionId: asId('region'), domainIds: domains}],
    upstreams: Array.from({length: workers}, (_, index) => workerOf(index)),
    models: models.map(modelId => ({
      modelId,
      weightsBytes: 4e9,
      prefillMs: 60,
      decodeMs: 15,
    })),
    ranks: [],
    workspaces: [],
  } as unknown as Configuration;
}

const summaries = domains.slice(1).map((domainId): DomainSummary => ({
  domainId,
  offers: models.map(modelId => ({
    modelId,
    freeSlots: 40,
    queueWaitMs: 0,
    priceMicros: 900,
    rankWaits: [],
  })),
  entries: [],
  configVersion: 1 as DomainSummary['configVersion'],
  ageMs: 500,
  stale: false,
}));

const membership = {
  loadReports: () => new Map(),
  inFlightOfOthers: () => new Map(),
  domainSummaries: () => summaries,
  liveMembers: () => [],
} as unknown as MembershipView;

function microsOfView(workers: number): number {
  const fleet = new FleetState(
    {
      instanceId: asId('entry'),
      domainId: domains[0] as DomainId,
      regionId: asId('region'),
    },
    membership,
  );
  fleet.configure(configurationOf(workers));
  const view = (): unknown => fleet.view(monotonicNowMs());
  Array.from({length: WARM_UP}, view);
  const before = process.cpuUsage();
  Array.from({length: REPEATS}, view);
  const {user, system} = process.cpuUsage(before);
  return (user + system) / REPEATS;
}

/** Processor time of one view, over the workers of the deployment. */
export function measureFleetView() {
  return {
    viewMicros: lineThrough(
      WORKERS.map(size => ({size, value: microsOfView(size)})),
    ),
  };
}
