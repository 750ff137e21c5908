/**
 * The price of running one request in a domain: the cost of compute and
 * transferred bytes, plus the predicted delay converted to money by the policy.
 */
import type {LinkConfig, PolicyConfig} from '../../config/configuration.js';
import type {RankId, RegionId} from '../../types/ids.js';
import type {DomainView, PoolSummary} from '../fleet/domain_view.js';
import {
  BITS_PER_BYTE,
  BYTES_PER_MEGABYTE,
  CONGESTION_THRESHOLD,
  CONGESTION_SHARE,
  INTRA_REGION_DELAY_MS,
} from './constants.js';
import type {OffloadRequest} from './types.js';

/** The link between two regions, in either direction. */
export function findLink(
  links: readonly LinkConfig[],
  a: RegionId,
  b: RegionId,
): LinkConfig | undefined {
  return links.find(
    link =>
      (link.fromRegionId === a && link.toRegionId === b) ||
      (link.fromRegionId === b && link.toRegionId === a),
  );
}

/** The price of running a request in one domain, and its components. */
export interface Price {
  /** Cost of compute and bytes, and the penalty for leaving the home region. */
  readonly costMicros: number;
  /** Wait for a slot. */
  readonly waitMs: number;
  /** Time to the first token beyond that of an idle, warm local upstream. */
  readonly delayMs: number;
  /** `costMicros` plus the delay converted to money. */
  readonly totalMicros: number;
}

/**
 * Delay that a request causes for urgent work by occupying a slot. It grows
 * with the square of the fill above `CONGESTION_THRESHOLD`, so that less urgent
 * work is offloaded before the domain is full.
 */
export function congestionMs(fillShare: number, meanServiceMs: number): number {
  const excessFill = Math.max(0, Math.min(1, fillShare) - CONGESTION_THRESHOLD);
  const excessShare = excessFill / (1 - CONGESTION_THRESHOLD);
  return meanServiceMs * CONGESTION_SHARE * excessShare ** 2;
}

function toPrice(
  costMicros: number,
  waitMs: number,
  delayMs: number,
  congestionDelayMs: number,
  request: OffloadRequest,
  policy: PolicyConfig,
): Price {
  const {latencyScale} = request;
  // The most urgent rank counts its own delay only: under a flood all domains
  // are full, and small differences in their fill must not move urgent work.
  const weightedDelayMs =
    delayMs * latencyScale + congestionDelayMs * (1 - latencyScale);
  const valueMicros = policy.latencyMicrosPerMs * weightedDelayMs;
  return {costMicros, waitMs, delayMs, totalMicros: costMicros + valueMicros};
}

function awayPenalty(
  regionId: RegionId,
  request: OffloadRequest,
  policy: PolicyConfig,
): number {
  return regionId === request.homeRegionId ? 0 : policy.awayPenaltyMicros;
}

/** The price of the local domain. */
export function localPrice(
  request: OffloadRequest,
  regionId: RegionId,
  policy: PolicyConfig,
): Price {
  const costMicros =
    request.costUnits * request.localCostMicros +
    awayPenalty(regionId, request, policy);
  const {localWaitMs} = request;
  const congestionDelayMs = congestionMs(
    request.localFillShare,
    request.localMeanServiceMs,
  );
  return toPrice(
    costMicros,
    localWaitMs,
    localWaitMs,
    congestionDelayMs,
    request,
    policy,
  );
}

/**
 * Predicted wait in another domain, from its summary and from the requests sent
 * there since. Each live entry of this domain is assumed to have sent as many
 * as this instance.
 */
export function remoteWaitMs(
  domain: DomainView,
  pool: PoolSummary,
  rankId: RankId,
  liveEntryCount: number,
): number {
  const sent = (domain.sentSinceSummary.get(pool.poolId) ?? 0) * liveEntryCount;
  const usable = pool.slotCount * domain.weight;
  const used = pool.slotCount - pool.freeSlots + sent;
  const excess = used + 1 - usable;
  const backlogMs =
    (Math.max(0, excess) / Math.max(1, usable)) * pool.meanServiceMs;
  const reported = pool.rankWaits.find(each => each.rankId === rankId);
  return Math.max(reported?.backlogMs ?? 0, backlogMs);
}

/** The price of another domain; undefined without a link to its region. */
export function remotePrice(
  request: OffloadRequest,
  from: RegionId,
  domain: DomainView,
  pool: PoolSummary,
  liveEntryCount: number,
  links: readonly LinkConfig[],
  policy: PolicyConfig,
): Price | undefined {
  const waitMs = remoteWaitMs(domain, pool, request.rankId, liveEntryCount);
  const fillShare = 1 - pool.freeSlots / Math.max(1, pool.slotCount);
  const congestionDelayMs = congestionMs(fillShare, pool.meanServiceMs);
  const computeMicros =
    request.costUnits * pool.costMicros +
    awayPenalty(domain.regionId, request, policy);
  if (domain.regionId === from) {
    const delayMs = waitMs + 2 * INTRA_REGION_DELAY_MS + request.prefixSavedMs;
    return toPrice(
      computeMicros,
      waitMs,
      delayMs,
      congestionDelayMs,
      request,
      policy,
    );
  }
  const link = findLink(links, from, domain.regionId);
  if (link === undefined) return undefined;
  const bytes = request.requestBytes + request.answerBytes;
  const transferMs =
    (request.requestBytes * BITS_PER_BYTE * 1_000) /
    link.bandwidthBitsPerSecond;
  const delayMs =
    waitMs + 2 * link.oneWayDelayMs + transferMs + request.prefixSavedMs;
  const linkMicros = (bytes / BYTES_PER_MEGABYTE) * link.costMicrosPerMegabyte;
  return toPrice(
    computeMicros + linkMicros,
    waitMs,
    delayMs,
    congestionDelayMs,
    request,
    policy,
  );
}
