/** Generates the jobs of a scenario; the same seed gives the same jobs. */
import type {Configuration, WorkspaceConfig} from '../config/configuration.js';
import {poolOfModel} from '../decisions/index.js';
import {asId, type Digest, type ModelId, type RequestId} from '../types/ids.js';
import {FULL_BATCH_SLOWDOWN, WARM_PREFILL_SHARE} from './fake_engine.js';
import type {Job} from './job.js';
import {RandomStream} from './random.js';
import {
  endOfArrivalsMs,
  loadShare,
  maxLoadShare,
  type Scenario,
} from './scenarios.js';

const CALLERS_PER_WORKSPACE = 6;
const PREFIXES_PER_WORKSPACE = 4;
const MEDIAN_TOKENS = {urgent: 100, batch: 200};
const TOKENS_SIGMA = 0.5;
const PREFILL_SIGMA = 0.3;
const REQUEST_BYTES = 20_000;
/** Bytes of a streamed token. */
export const BYTES_PER_TOKEN = 40;
/** Mean prefill work, if 60% of the prefixes are cached. */
export const ASSUMED_WARMTH = 1 - 0.6 * (1 - WARM_PREFILL_SHARE);

type Kind = 'urgent' | 'batch';

/** Workspaces differ in size: the first of a region sends the most. */
function workspaceWeights(count: number): readonly number[] {
  return Array.from({length: count}, (_, index) => 1 / (index + 1));
}

/** Mean work of a job in milliseconds of a batch of one. */
function meanWorkMs(kind: Kind, prefillMs: number, decodeMs: number): number {
  const tokens = MEDIAN_TOKENS[kind] * Math.exp(TOKENS_SIGMA ** 2 / 2);
  return (
    prefillMs * Math.exp(PREFILL_SIGMA ** 2 / 2) * ASSUMED_WARMTH +
    tokens * decodeMs
  );
}

/** Work that engines do in a millisecond with full batches. */
export function capacityWorkPerMs(
  upstreams: Configuration['upstreams'],
): number {
  const slots = upstreams.reduce((sum, each) => sum + each.slotCount, 0);
  return slots / (1 + FULL_BATCH_SLOWDOWN);
}

interface Source {
  readonly regionIndex: number;
  readonly kind: Kind;
  readonly workspaces: readonly WorkspaceConfig[];
  /** Arrivals per millisecond at a load share of 1. */
  readonly ratePerMs: number;
}

/** The jobs of a scenario, in order of arrival. */
export function generateJobs(
  configuration: Configuration,
  scenario: Scenario,
  seed: number,
): readonly Job[] {
  const random = new RandomStream(seed * 7_919 + 17);
  const regionCount = configuration.regions.length;
  const sources = configuration.regions.flatMap(({regionId}, regionIndex) =>
    (['urgent', 'batch'] as const).map((kind): Source => {
      const model = configuration.models[0];
      const workMs = meanWorkMs(
        kind,
        model?.prefillMs ?? 1,
        model?.decodeMs ?? 1,
      );
      const engines = configuration.upstreams.filter(
        each => each.regionId === regionId,
      );
      return {
        regionIndex,
        kind,
        workspaces: configuration.workspaces.filter(
          each => each.homeRegionId === regionId,
        ),
        ratePerMs: capacityWorkPerMs(engines) / workMs,
      };
    }),
  );
  const jobs = sources.flatMap(source => {
    const times: number[] = [];
    const peak = maxLoadShare(scenario);
    const gapMs = 1 / (source.ratePerMs * peak);
    let nowMs = random.exponential(gapMs);
    while (nowMs < endOfArrivalsMs(scenario)) {
      const share = loadShare(
        scenario,
        source.regionIndex,
        regionCount,
        source.kind,
        nowMs,
      );
      if (random.next() * peak < share) times.push(nowMs);
      nowMs += random.exponential(gapMs);
    }
    return times.map(atMs => createJob(configuration, source, atMs, random));
  });
  return jobs
    .sort((a, b) => a.arrivedAtMs - b.arrivedAtMs)
    .map((job, index) => ({...job, requestId: asId<RequestId>(`r${index}`)}));
}

function createJob(
  configuration: Configuration,
  source: Source,
  arrivedAtMs: number,
  random: RandomStream,
): Job {
  const index = random.pick(workspaceWeights(source.workspaces.length));
  const workspace = source.workspaces[index] as WorkspaceConfig;
  const workload = workspace.workloads[source.kind === 'urgent' ? 0 : 1];
  const modelId = workload?.modelId as ModelId;
  const model = configuration.models.find(each => each.modelId === modelId);
  const rank = configuration.ranks.find(
    each => each.rankId === workload?.rankId,
  );
  if (workload === undefined || model === undefined || rank === undefined) {
    throw new Error(`workspace ${workspace.workspaceId} lacks a workload`);
  }
  const caller = Math.floor(random.next() * CALLERS_PER_WORKSPACE);
  const prefix = random.pick(workspaceWeights(PREFIXES_PER_WORKSPACE));
  const median = MEDIAN_TOKENS[source.kind];
  const tokenCount = Math.max(
    1,
    Math.round(random.logNormal(median, TOKENS_SIGMA)),
  );
  return {
    requestId: asId<RequestId>(''),
    workspace,
    callerDigest: asId<Digest>(`${workspace.workspaceId}-c${caller}`),
    callerRegionId: workspace.homeRegionId,
    rankId: rank.rankId,
    priority: rank.priority,
    modelId,
    poolId: poolOfModel(modelId),
    prefixDigest: asId<Digest>(
      `${workspace.workspaceId}-${source.kind}-p${prefix}`,
    ),
    prefillMs: random.logNormal(model.prefillMs, PREFILL_SIGMA),
    tokenCount,
    decodeMs: model.decodeMs,
    requestBytes: REQUEST_BYTES,
    answerBytes: tokenCount * BYTES_PER_TOKEN,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + workload.deadlineMs,
  };
}
