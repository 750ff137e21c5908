/** Chooses between the local domain and the others for one request. */
import type {LinkConfig, PolicyConfig} from '../../config/configuration.js';
import type {DomainView} from '../fleet/domain_view.js';
import type {FleetView} from '../fleet/fleet_view.js';
import {MIN_BACKLOG_RATIO, SUMMARY_MAX_AGE_MS} from './constants.js';
import {localPrice, remotePrice, type Price} from './price.js';
import type {OffloadChoice, OffloadRequest} from './types.js';

/**
 * Cost of a delay for a rank relative to the most urgent one: a delay counts in
 * proportion to the part of the rank's target that it uses.
 */
export function latencyScale(
  urgentTargetMs: number,
  rankTargetMs: number,
): number {
  return Math.min(1, urgentTargetMs / rankTargetMs);
}

interface PricedDomain {
  readonly domain: DomainView;
  readonly price: Price;
}

/** The other domains that may run the request, with their prices. */
function eligibleDomains(
  request: OffloadRequest,
  view: FleetView,
  links: readonly LinkConfig[],
  policy: PolicyConfig,
  nowMs: number,
): readonly PricedDomain[] {
  return view.otherDomains
    .filter(domain => request.allowedRegionIds.includes(domain.regionId))
    .filter(domain => domain.isReachable && domain.weight > 0)
    .filter(domain => nowMs - domain.receivedAtMs <= SUMMARY_MAX_AGE_MS)
    .flatMap(domain => {
      const pool = domain.pools.find(each => each.poolId === request.poolId);
      if (pool === undefined || pool.slotCount === 0) return [];
      const price = remotePrice(
        request,
        view.regionId,
        domain,
        pool,
        view.liveEntryCount,
        links,
        policy,
      );
      return price === undefined ? [] : [{domain, price}];
    })
    .filter(offer => offer.price.delayMs <= request.allowedDelayMs);
}

function cheapest(found: readonly PricedDomain[]): PricedDomain | undefined {
  return found.reduce<PricedDomain | undefined>(
    (best, each) =>
      best === undefined || each.price.totalMicros < best.price.totalMicros
        ? each
        : best,
    undefined,
  );
}

/** Whether the best offer justifies leaving the local domain. */
function shouldOffload(
  request: OffloadRequest,
  offer: PricedDomain,
  view: FleetView,
  policy: PolicyConfig,
): boolean {
  if (request.isRejectedLocally) {
    // Between two overloaded domains a transfer only costs money and evicts
    // cached prefixes. Backlogs are compared instead of waits: the wait of a
    // flooding workspace is long here, but elsewhere its own queue would be
    // empty.
    const {costMicros, waitMs} = offer.price;
    const isBetter = waitMs * MIN_BACKLOG_RATIO <= request.localBacklogMs;
    return isBetter && costMicros < request.revenueMicros;
  }
  const local = localPrice(request, view.regionId, policy);
  const factor = request.wasAway ? 1 : policy.awayHysteresis;
  return local.totalMicros > offer.price.totalMicros * factor;
}

/**
 * Chooses the domain that runs a request. A forwarded request is never
 * forwarded again, and a region that is not allowed is never chosen, not even
 * the local one.
 */
export function chooseDomain(
  request: OffloadRequest,
  view: FleetView,
  links: readonly LinkConfig[],
  policy: PolicyConfig,
  nowMs: number,
): OffloadChoice {
  const isLocalAllowed = request.allowedRegionIds.includes(view.regionId);
  if (request.isForwarded) {
    return isLocalAllowed
      ? {kind: 'local'}
      : {kind: 'refused', cause: 'residency'};
  }
  const best = cheapest(eligibleDomains(request, view, links, policy, nowMs));
  if (best === undefined) {
    return isLocalAllowed
      ? {kind: 'local'}
      : {kind: 'refused', cause: 'residency'};
  }
  if (isLocalAllowed && !shouldOffload(request, best, view, policy)) {
    return {kind: 'local'};
  }
  return {
    kind: 'away',
    domainId: best.domain.domainId,
    regionId: best.domain.regionId,
    isOtherRegion: best.domain.regionId !== view.regionId,
  };
}
