/**
 * Chooses an upstream of the local domain for one request. Data residency is
 * checked by the caller: all upstreams of a domain are in one region.
 */
import type {Digest, UpstreamId} from '../../types/ids.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {PoolId} from '../fleet/pool.js';
import type {UpstreamView} from '../fleet/upstream_view.js';
import {rendezvousScore} from '../hash.js';
import {
  AFFINITY_LOAD_BOUND,
  AFFINITY_OWNERS,
  MIN_CACHE_CONFIDENCE,
  RANDOM_CANDIDATES,
} from './constants.js';
import {slotsToKeepFree} from './reserve.js';
import {estimateLoad, type UpstreamLoad} from './upstream_load.js';

/** What routing needs to know about a request. */
export interface RouteRequest {
  readonly poolId: PoolId;
  /** Digest of the first bytes of the prompt; absent for services. */
  readonly prefixDigest?: Digest | undefined;
  /** Time saved if the prefix is cached. */
  readonly prefixSavedMs: number;
  /** Whether it must keep the reserved slots free; see `StartedRequest`. */
  readonly leavesReserve: boolean;
  /** Upstreams that this request must not use, such as ones where it failed. */
  readonly excludedUpstreamIds: ReadonlySet<UpstreamId>;
}

/** Why no upstream was chosen. */
export type RoutingFailure =
  /** No upstream of the domain has the model loaded or offers the service. */
  | 'not_loaded'
  /** Some do, but all of them are leaving, ejected or excluded. */
  | 'none_ready';

/** The result of `chooseUpstream`. */
export type RouteChoice =
  | {
      readonly kind: 'chosen';
      readonly upstreamId: UpstreamId;
      readonly predictedWaitMs: number;
      /** Whether it was chosen as an owner of the prefix. */
      readonly byAffinity: boolean;
      /** True only if every candidate is full. */
      readonly isFull: boolean;
    }
  | {readonly kind: 'none'; readonly cause: RoutingFailure};

interface Candidate {
  readonly upstream: UpstreamView;
  readonly load: UpstreamLoad;
}

function drawWeighted(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  const total = candidates.reduce((sum, each) => sum + each.upstream.weight, 0);
  let remainingWeight = random() * total;
  const drawn = candidates.find(each => {
    remainingWeight -= each.upstream.weight;
    return remainingWeight < 0;
  });
  return drawn ?? candidates.at(-1);
}

function drawCandidates(
  candidates: readonly Candidate[],
  random: () => number,
): readonly Candidate[] {
  return Array.from({length: RANDOM_CANDIDATES}).reduce<Candidate[]>(drawn => {
    const rest = candidates.filter(each => !drawn.includes(each));
    const next = drawWeighted(rest, random);
    return next === undefined ? drawn : [...drawn, next];
  }, []);
}

function leastLoaded(candidates: readonly Candidate[]): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>(
    (best, each) =>
      best === undefined || each.load.scoreMs < best.load.scoreMs ? each : best,
    undefined,
  );
}

/**
 * The first of the owners of the prefix that is not overloaded: its load is at
 * most `AFFINITY_LOAD_BOUND` times the mean, and its wait exceeds the best one
 * by at most the time that a cached prefix saves.
 */
function prefixOwner(
  request: RouteRequest,
  free: readonly Candidate[],
  bestScoreMs: number,
): Candidate | undefined {
  const {prefixDigest} = request;
  if (prefixDigest === undefined || free.length < 2) return undefined;
  const mean =
    free.reduce((sum, each) => sum + each.load.inFlightCount, 0) / free.length;
  const maxInFlight = Math.max(1, Math.ceil((mean + 1) * AFFINITY_LOAD_BOUND));
  return free
    .map(each => ({
      each,
      score: rendezvousScore(
        prefixDigest,
        each.upstream.upstreamId,
        each.upstream.weight,
      ),
    }))
    .sort((a, b) => b.score - a.score)
    .slice(0, AFFINITY_OWNERS)
    .map(ranked => ranked.each)
    .find(each => {
      const {cacheConfidence} = each.upstream;
      return (
        cacheConfidence >= MIN_CACHE_CONFIDENCE &&
        each.load.inFlightCount + 1 <= maxInFlight &&
        each.load.scoreMs - bestScoreMs <=
          request.prefixSavedMs * cacheConfidence
      );
    });
}

/**
 * Whether the first owner of a request's prefix has a free slot, so that the
 * prefix is likely to be cached if the request starts now.
 */
export function hasFreeOwner(
  request: RouteRequest,
  view: FleetView,
  nowMs: number,
): boolean {
  const {prefixDigest} = request;
  if (prefixDigest === undefined) return false;
  const owner = view.upstreams
    .filter(each => each.poolIds.includes(request.poolId))
    .filter(each => each.state === 'ready')
    .reduce<{upstream: UpstreamView; score: number} | undefined>(
      (best, upstream) => {
        const {upstreamId, weight} = upstream;
        const score = rendezvousScore(prefixDigest, upstreamId, weight);
        return best === undefined || score > best.score
          ? {upstream, score}
          : best;
      },
      undefined,
    )?.upstream;
  if (owner === undefined) return false;
  const minFreeSlots = request.leavesReserve ? slotsToKeepFree(owner) : 0;
  return !estimateLoad(owner, nowMs, minFreeSlots).isFull;
}

function chosen(candidate: Candidate, byAffinity: boolean): RouteChoice {
  return {
    kind: 'chosen',
    upstreamId: candidate.upstream.upstreamId,
    predictedWaitMs: candidate.load.predictedWaitMs,
    byAffinity,
    isFull: candidate.load.isFull,
  };
}

/**
 * Chooses an upstream: the owner of the prefix if it is not overloaded, else
 * the less loaded of two random free ones. A full upstream is chosen only if
 * all are full, which happens when the counts of other instances are late.
 */
export function chooseUpstream(
  request: RouteRequest,
  view: FleetView,
  nowMs: number,
  random: () => number,
): RouteChoice {
  const loaded = view.upstreams.filter(each =>
    each.poolIds.includes(request.poolId),
  );
  if (loaded.length === 0) return {kind: 'none', cause: 'not_loaded'};
  const candidates = loaded
    .filter(each => !request.excludedUpstreamIds.has(each.upstreamId))
    .filter(each => each.state === 'ready' && each.weight > 0)
    .map(upstream => ({
      upstream,
      load: estimateLoad(
        upstream,
        nowMs,
        request.leavesReserve ? slotsToKeepFree(upstream) : 0,
      ),
    }));
  const free = candidates.filter(each => !each.load.isFull);
  const best = leastLoaded(free);
  if (best !== undefined) {
    const owner = prefixOwner(request, free, best.load.scoreMs);
    if (owner !== undefined) return chosen(owner, true);
  }
  const eligible = free.length > 0 ? free : candidates;
  const winner = leastLoaded(drawCandidates(eligible, random));
  if (winner === undefined) return {kind: 'none', cause: 'none_ready'};
  return chosen(winner, false);
}
