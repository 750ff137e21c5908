/**
 * The configurations of the two deployments, at the sizes of the design page.
 * Only model work is measured: plain services take a few per cent of the
 * calls and no engine capacity.
 */
import {createHash} from 'node:crypto';
import {
  configurationSchema,
  type Configuration,
  type PolicyConfig,
} from '../config/configuration.js';

/** What differs between the deployments. */
interface Shape {
  readonly name: string;
  readonly regionNames: readonly string[];
  readonly entriesPerRegion: readonly number[];
  readonly enginesPerRegion: readonly number[];
  /** Cost of 1,000 tokens by region, in micros. */
  readonly costMicros: readonly number[];
  /** Models that the engines of a region load, in turn. */
  readonly engineModels: readonly (readonly string[])[];
  readonly urgent: {name: string; model: string; targetMs: number};
  readonly batch: {name: string; model: string; targetMs: number};
  readonly policy: Partial<PolicyConfig>;
}

const WORKSPACES_PER_REGION = 8;
const SLOTS_PER_ENGINE = 16;
/** Every fifth workspace must stay in its home region. */
const BOUND_EVERY = 5;

const TRAZO: Shape = {
  name: 'trazo',
  regionNames: ['centro', 'cuyo', 'patagonia'],
  entriesPerRegion: [3, 3, 2],
  enginesPerRegion: [4, 4, 4],
  costMicros: [2_000, 1_800, 2_300],
  engineModels: [
    ['chat', 'caption'],
    ['chat'],
    ['caption', 'chat'],
    ['caption'],
  ],
  urgent: {name: 'stand', model: 'chat', targetMs: 1_500},
  batch: {name: 'gallery', model: 'caption', targetMs: 20_000},
  policy: {latencyMicrosPerMs: 1, awayPenaltyMicros: 20, awayHysteresis: 1.1},
};

const ZSANER: Shape = {
  name: 'zsaner',
  regionNames: ['kozep', 'nyugat', 'kelet'],
  entriesPerRegion: [3, 3, 2],
  enginesPerRegion: [3, 2, 2],
  costMicros: [2_000, 2_400, 1_700],
  engineModels: [['catalogue']],
  urgent: {name: 'counter', model: 'catalogue', targetMs: 2_500},
  batch: {name: 'restock', model: 'catalogue', targetMs: 30_000},
  policy: {
    latencyMicrosPerMs: 1,
    awayPenaltyMicros: 250,
    awayHysteresis: 1.3,
  },
};

function upstreams(shape: Shape): unknown[] {
  return shape.regionNames.flatMap((regionId, region) =>
    Array.from({length: shape.enginesPerRegion[region] ?? 0}, (_, index) => ({
      upstreamId: `${regionId}-m${index}`,
      domainId: `${regionId}-a`,
      regionId,
      kind: 'model',
      address: `127.0.0.1:${8_000 + region * 100 + index}`,
      modelIds: shape.engineModels[index % shape.engineModels.length],
      slotCount: SLOTS_PER_ENGINE,
      checksFencing: true,
      costMicros: shape.costMicros[region],
    })),
  );
}

function instances(shape: Shape): unknown[] {
  return shape.regionNames.flatMap((regionId, region) =>
    Array.from({length: shape.entriesPerRegion[region] ?? 0}, (_, index) => ({
      instanceId: `${regionId}-e${index}`,
      domainId: `${regionId}-a`,
      regionId,
      callerAddress: `127.0.0.1:${7_000 + region * 100 + index}`,
      innerAddress: `127.0.0.1:${7_050 + region * 100 + index}`,
      hasDisk: index === 0,
      recordWeight: 1,
    })),
  );
}

function workspaces(shape: Shape): unknown[] {
  const workload = (rank: Shape['urgent'], deadlineMs: number) => ({
    workloadId: rank.name,
    kind: 'model',
    modelId: rank.model,
    rankId: rank.name,
    idempotent: true,
    deadlineMs,
    maxBodyBytes: 1_000_000,
  });
  return shape.regionNames.flatMap((regionId, region) =>
    Array.from({length: WORKSPACES_PER_REGION}, (_, index) => {
      const workspaceId = `${regionId}-w${index}`;
      const isBound =
        (region * WORKSPACES_PER_REGION + index) % BOUND_EVERY === 0;
      return {
        workspaceId,
        homeRegionId: regionId,
        homeDomainId: `${regionId}-a`,
        allowedRegionIds: isBound ? [regionId] : shape.regionNames,
        keyDigests: [createHash('sha256').update(workspaceId).digest('hex')],
        fairWeight: 1,
        workloads: [
          workload(shape.urgent, 20_000),
          workload(shape.batch, 60_000),
        ],
      };
    }),
  );
}

function links(names: readonly string[]): unknown[] {
  return names.flatMap((fromRegionId, index) =>
    names.slice(index + 1).map(toRegionId => ({
      fromRegionId,
      toRegionId,
      oneWayDelayMs: 55,
      bandwidthBitsPerSecond: 1.5e9,
      costMicrosPerMegabyte: 2_000,
    })),
  );
}

const POLICY: PolicyConfig = {
  latencyMicrosPerMs: 1,
  awayPenaltyMicros: 0,
  awayHysteresis: 1.2,
  retryBudgetShare: 0.1,
  hedgeQuantile: 0,
  quarantineMs: 600_000,
  recordRetentionMs: 86_400_000,
  maxQueuedPerEntry: 400,
  firstByteTimeoutMs: 10_000,
  pieceTimeoutMs: 5_000,
};

function build(shape: Shape): Configuration {
  const models = [...new Set([shape.urgent.model, shape.batch.model])];
  return configurationSchema.parse({
    deployment: shape.name,
    regions: shape.regionNames.map(regionId => ({
      regionId,
      domainIds: [`${regionId}-a`],
    })),
    instances: instances(shape),
    controlMembers: [],
    upstreams: upstreams(shape),
    models: models.map(modelId => ({
      modelId,
      weightsBytes: 1.5e10,
      prefillMs: 300,
      decodeMs: 15,
    })),
    ranks: [
      {
        rankId: shape.urgent.name,
        priority: 0,
        firstTokenTargetMs: shape.urgent.targetMs,
        betweenTokensTargetMs: 73,
        floorShare: 0.5,
        revenuePerJobMicros: 3_000,
      },
      {
        rankId: shape.batch.name,
        priority: 1,
        firstTokenTargetMs: shape.batch.targetMs,
        betweenTokensTargetMs: 200,
        floorShare: 0.1,
        revenuePerJobMicros: 1_000,
      },
    ],
    workspaces: workspaces(shape),
    links: links(shape.regionNames),
    operators: [],
    policy: {...POLICY, ...shape.policy},
  });
}

/** The configuration of a deployment by its name. */
export function createDeployment(name: string): Configuration | undefined {
  return [TRAZO, ZSANER]
    .filter(shape => shape.name === name)
    .map(build)
    .at(0);
}

/** Names that `createDeployment` knows. */
export const DEPLOYMENT_NAMES: readonly string[] = [TRAZO.name, ZSANER.name];
