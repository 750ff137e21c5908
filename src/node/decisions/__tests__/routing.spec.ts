import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {
  asId,
  type Digest,
  type DomainId,
  type InstanceId,
  type ModelId,
  type RegionId,
  type UpstreamId,
} from '../../types/ids.js';
import {
  cacheConfidenceAt,
  chooseUpstream,
  estimateInFlight,
  initialCacheConfidence,
  onCacheEvent,
  poolCapacity,
  poolOfModel,
  type FleetView,
  type RouteRequest,
  type UpstreamView,
} from '../index.js';

const POOL = poolOfModel(asId<ModelId>('m'));
const OTHER_POOL = poolOfModel(asId<ModelId>('other'));
const SEED = 7;

function upstream(index: number, change: Partial<UpstreamView>): UpstreamView {
  return {
    upstreamId: asId<UpstreamId>(`u${index}`),
    poolIds: [POOL],
    slotCount: 4,
    reservedSlots: 0,
    costMicros: 10,
    state: 'ready',
    weight: 1,
    cacheConfidence: 1,
    meanServiceMs: 1_000,
    ownInFlight: 0,
    peers: [],
    ...change,
  };
}

function fleet(upstreams: readonly UpstreamView[], entries = 1): FleetView {
  return {
    domainId: asId<DomainId>('centro-a'),
    regionId: asId<RegionId>('centro'),
    upstreams,
    otherDomains: [],
    liveEntryCount: entries,
  };
}

function request(change: Partial<RouteRequest> = {}): RouteRequest {
  return {
    poolId: POOL,
    prefixSavedMs: 200,
    leavesReserve: false,
    excludedUpstreamIds: new Set(),
    ...change,
  };
}

const anyUpstream = fc.record({
  state: fc.constantFrom('ready', 'ready', 'ready', 'leaving', 'ejected'),
  weight: fc.constantFrom(0.1, 0.5, 1),
  slotCount: fc.integer({min: 1, max: 6}),
  ownInFlight: fc.integer({min: 0, max: 8}),
  poolIds: fc.constantFrom([POOL], [POOL, OTHER_POOL], [OTHER_POOL]),
  cacheConfidence: fc.double({min: 0, max: 1, noNaN: true}),
});

// Guards against prefix affinity that sends a request to a full upstream while
// another one is free, and against use of an upstream that is leaving, ejected,
// excluded or without the model.
test('a free upstream is preferred to a full one, and only eligible ones are used', () => {
  fc.assert(
    fc.property(
      fc.array(anyUpstream, {minLength: 1, maxLength: 6}),
      fc.double({min: 0, max: 0.999, noNaN: true}),
      fc.string(),
      fc.integer({min: 0, max: 5}),
      (parts, random, prefix, excluded) => {
        const upstreams = parts.map((part, index) =>
          upstream(index, part as Partial<UpstreamView>),
        );
        const excludedUpstreamIds = new Set([asId<UpstreamId>(`u${excluded}`)]);
        const choice = chooseUpstream(
          request({prefixDigest: asId<Digest>(prefix), excludedUpstreamIds}),
          fleet(upstreams),
          0,
          () => random,
        );
        const fit = upstreams.filter(
          each =>
            each.state === 'ready' &&
            each.poolIds.includes(POOL) &&
            !excludedUpstreamIds.has(each.upstreamId),
        );
        if (choice.kind === 'none') {
          assert.equal(fit.length, 0);
          return;
        }
        const used = fit.find(each => each.upstreamId === choice.upstreamId);
        assert.ok(used);
        const isFree = (each: UpstreamView): boolean =>
          each.ownInFlight <
          Math.max(1, Math.round(each.slotCount * each.weight));
        assert.equal(isFree(used), fit.some(isFree));
        assert.equal(choice.isFull, !isFree(used));
      },
    ),
    {seed: SEED, numRuns: 500},
  );
});

// Guards against a late report that omits requests sent after it was taken, and
// against an old one that hides that an upstream is idle again.
test('late reports are corrected by own changes and expire with age', () => {
  const peer = (inFlightCount: number, takenAtMs: number) => ({
    instanceId: asId<InstanceId>('e2'),
    inFlightCount,
    takenAtMs,
  });
  const report = {
    takenAtMs: 0,
    runningCount: 6,
    waitingCount: 0,
    ownInFlightAtReport: 2,
  };
  const at = (nowMs: number, change: Partial<UpstreamView>): number =>
    estimateInFlight(upstream(0, {report, ...change}), nowMs);
  matchSnapshot(import.meta.url, 'estimated in-flight', {
    sentSince: at(0, {ownInFlight: 5}),
    finishedSince: at(0, {ownInFlight: 0}),
    halfAged: at(2_500, {ownInFlight: 2}),
    silent: at(5_000, {ownInFlight: 2}),
    silentWithPeer: at(5_000, {ownInFlight: 2, peers: [peer(3, 4_000)]}),
    silentWithOldPeer: at(9_000, {ownInFlight: 2, peers: [peer(3, 0)]}),
  });
});

// Guards against prefix affinity that overloads the owner of a popular prefix.
test('a prefix stays with its owner until the owner is overloaded', () => {
  const ids = (load: number): readonly string[] =>
    Array.from({length: 20}, (_, index) => {
      const random = (): number => (index * 0.618) % 1;
      const prefixDigest = asId<Digest>('prefix');
      const loads = [0, 0, 0, 0].map((_, at) =>
        upstream(at, {slotCount: 8, ownInFlight: at === 2 ? load : 0}),
      );
      const choice = chooseUpstream(
        request({prefixDigest}),
        fleet(loads),
        0,
        random,
      );
      return choice.kind === 'chosen' ? choice.upstreamId : choice.cause;
    });
  matchSnapshot(import.meta.url, 'prefix owner', {
    idle: [...new Set(ids(0))],
    loaded: [...new Set(ids(7))],
  });
});

// Guards against relying on cache state after events were missed.
test('gaps in cache events lower the confidence, which recovers', () => {
  const start = initialCacheConfidence(0);
  const events = [1, 2, 6, 5];
  const state = events.reduce(
    (current, sequence) => onCacheEvent(current, sequence, 0),
    start,
  );
  assert.ok(Math.abs(cacheConfidenceAt(state, 0) - 0.9 ** 3) < 1e-9);
  assert.ok(cacheConfidenceAt(state, 30_000) > cacheConfidenceAt(state, 0));
});

// Guards against less urgent requests in the slots reserved for urgent ones,
// and against several instances that claim the slot that one of them freed.
test('less urgent requests keep the reserve free, twice if others freed the slot', () => {
  const report = {
    takenAtMs: 0,
    runningCount: 14,
    waitingCount: 0,
    ownInFlightAtReport: 14,
  };
  const choose = (ownInFlight: number, leavesReserve: boolean) => {
    const view = fleet([
      upstream(0, {slotCount: 16, reservedSlots: 1, report, ownInFlight}),
    ]);
    const choice = chooseUpstream(request({leavesReserve}), view, 0, () => 0.5);
    const {startableBesideReserve} = poolCapacity(view, POOL, 0);
    return {
      isFull: choice.kind !== 'chosen' || choice.isFull,
      startableBesideReserve,
    };
  };
  matchSnapshot(import.meta.url, 'reserved slots', {
    ownSlotFreed: choose(13, true),
    noSlotFreed: choose(14, true),
    noSlotFreedUrgent: choose(14, false),
    reserveTaken: choose(15, true),
    full: choose(16, false),
  });
});

// Guards against starvation of an instance while others occupy every slot.
test('an instance may use its guaranteed share of a full pool', () => {
  const peers = [
    {instanceId: asId<InstanceId>('e2'), inFlightCount: 4, takenAtMs: 0},
  ];
  const full = [0, 1].map(index => upstream(index, {peers}));
  const capacity = poolCapacity(fleet(full, 2), POOL, 0);
  assert.equal(capacity.freeSlots, 0);
  assert.equal(capacity.startableSlots, 2);
});
