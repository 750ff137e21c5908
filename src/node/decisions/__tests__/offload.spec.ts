import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import type {LinkConfig, PolicyConfig} from '../../config/configuration.js';
import {
  asId,
  type DomainId,
  type ModelId,
  type RankId,
  type RegionId,
} from '../../types/ids.js';
import {
  chooseDomain,
  poolOfModel,
  type DomainView,
  type FleetView,
  type OffloadRequest,
} from '../index.js';

const POOL = poolOfModel(asId<ModelId>('m'));
const URGENT = asId<RankId>('urgent');
const regions = ['centro', 'cuyo', 'patagonia'].map(name =>
  asId<RegionId>(name),
);
const [centro, cuyo, patagonia] = regions as [RegionId, RegionId, RegionId];

const links: readonly LinkConfig[] = [cuyo, patagonia].map(toRegionId => ({
  fromRegionId: centro,
  toRegionId,
  oneWayDelayMs: 55,
  bandwidthBitsPerSecond: 1.5e9,
  costMicrosPerMegabyte: 10,
}));

const policy: PolicyConfig = {
  latencyMicrosPerMs: 1,
  awayPenaltyMicros: 100,
  awayHysteresis: 1.5,
  retryBudgetShare: 0.1,
  hedgeQuantile: 0,
  quarantineMs: 60_000,
  recordRetentionMs: 86_400_000,
  maxQueuedPerEntry: 100,
  firstByteTimeoutMs: 1_000,
  pieceTimeoutMs: 1_000,
};

function domain(
  regionId: RegionId,
  change: Partial<DomainView> = {},
  freeSlots = 4,
  queueWaitMs = 0,
): DomainView {
  return {
    domainId: asId<DomainId>(`${regionId}-a`),
    regionId,
    receivedAtMs: 0,
    isReachable: true,
    weight: 1,
    pools: [
      {
        poolId: POOL,
        slotCount: 8,
        freeSlots,
        rankWaits: [{rankId: URGENT, backlogMs: queueWaitMs}],
        meanServiceMs: 1_000,
        costMicros: 100,
      },
    ],
    sentSinceSummary: new Map(),
    ...change,
  };
}

function view(otherDomains: readonly DomainView[]): FleetView {
  return {
    domainId: asId<DomainId>('centro-a'),
    regionId: centro,
    upstreams: [],
    otherDomains,
    liveEntryCount: 2,
  };
}

function request(change: Partial<OffloadRequest> = {}): OffloadRequest {
  return {
    poolId: POOL,
    rankId: URGENT,
    homeRegionId: centro,
    allowedRegionIds: regions,
    isForwarded: false,
    requestBytes: 10_000,
    answerBytes: 2_000,
    costUnits: 1,
    prefixSavedMs: 100,
    latencyScale: 1,
    revenueMicros: 2_000,
    allowedDelayMs: 2_000,
    localWaitMs: 0,
    localBacklogMs: 600,
    localFillShare: 0.5,
    localMeanServiceMs: 1_000,
    localCostMicros: 100,
    isRejectedLocally: false,
    wasAway: false,
    ...change,
  };
}

function choose(
  change: Partial<OffloadRequest>,
  domains: readonly DomainView[] = [domain(cuyo), domain(patagonia, {}, 0, 90)],
  nowMs = 0,
): string {
  const choice = chooseDomain(
    request(change),
    view(domains),
    links,
    policy,
    nowMs,
  );
  return choice.kind === 'away' ? choice.domainId : choice.kind;
}

// Guards against offloading without a gain, back and forth, a second time, or
// to a domain that is stale, unreachable, recovering or busy.
test('a request is offloaded only if the price in another domain justifies it', () => {
  matchSnapshot(import.meta.url, 'offload choices', {
    idleHome: choose({}),
    shortWait: choose({localWaitMs: 400}),
    longWait: choose({localWaitMs: 1_000}),
    lessUrgent: choose({localWaitMs: 1_000, latencyScale: 0.05}),
    fullHome: choose({
      localFillShare: 1,
      localMeanServiceMs: 4_000,
      latencyScale: 0.05,
    }),
    fullHomeUrgent: choose({localFillShare: 1, localMeanServiceMs: 4_000}),
    hysteresisAtHome: choose({localWaitMs: 450}),
    hysteresisAway: choose({localWaitMs: 450, wasAway: true}),
    refusedAtHome: choose({isRejectedLocally: true}),
    refusedByBoth: choose({isRejectedLocally: true, localWaitMs: 9_000}, [
      domain(cuyo, {}, 0, 500),
    ]),
    refusedAndUnprofitable: choose({
      isRejectedLocally: true,
      revenueMicros: 150,
    }),
    forwarded: choose({isRejectedLocally: true, isForwarded: true}),
    stale: choose({localWaitMs: 1_000}, [domain(cuyo)], 6_000),
    unreachable: choose({localWaitMs: 1_000}, [
      domain(cuyo, {isReachable: false}),
    ]),
    returning: choose({localWaitMs: 1_000}, [domain(cuyo, {weight: 0.1})]),
    sentSince: choose({localWaitMs: 700}, [
      domain(cuyo, {sentSinceSummary: new Map([[POOL, 4]])}),
    ]),
    sameRegion: choose({localWaitMs: 300}, [
      domain(cuyo),
      domain(centro, {domainId: asId<DomainId>('centro-b')}),
    ]),
    onlyElsewhere: choose({allowedRegionIds: [cuyo]}),
    nowhere: choose({allowedRegionIds: [asId<RegionId>('norte')]}),
  });
});

// Guards against processing data outside its allowed regions.
test('no region outside the allowed ones is ever chosen', () => {
  fc.assert(
    fc.property(
      fc.subarray(regions, {minLength: 1}),
      fc.record({
        localWaitMs: fc.integer({min: 0, max: 10_000}),
        isForwarded: fc.boolean(),
        isRejectedLocally: fc.boolean(),
        wasAway: fc.boolean(),
        homeRegionId: fc.constantFrom(...regions),
      }),
      fc.array(fc.nat(8), {minLength: 2, maxLength: 2}),
      (allowedRegionIds, change, free) => {
        const domains = [domain(cuyo, {}, free[0]), domain(patagonia)];
        const choice = chooseDomain(
          request({...change, allowedRegionIds}),
          view(domains),
          links,
          policy,
          0,
        );
        if (choice.kind === 'local') {
          assert.ok(allowedRegionIds.includes(centro));
        }
        if (choice.kind === 'refused') {
          assert.ok(!allowedRegionIds.includes(centro));
        }
        if (choice.kind !== 'away') return;
        assert.ok(allowedRegionIds.includes(choice.regionId));
        assert.ok(!change.isForwarded);
      },
    ),
    {seed: 23, numRuns: 500},
  );
});
