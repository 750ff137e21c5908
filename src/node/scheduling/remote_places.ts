/**
 * The places outside its own domain at which a request could run: the other
 * domains of the region, and each other region as a whole, because the entry
 * that takes the request there decides on the domain.
 */
import type {DomainId, RegionId} from '../types/ids.js';
import {
  BASE_FIRST_ANSWER_MS,
  OFFLOAD_COST_MS,
  OFFLOAD_MIN_GAIN_MS,
  PASS_COST_MS,
  PASS_MIN_GAIN_MS,
} from './constants.js';
import {correctedLoad, sizeIn, type DigestRecord} from './digest_record.js';
import {
  delayToOthersMs,
  isCongested,
  latenessRiskMs,
  type DomainLoad,
  type WorkSize,
} from './placement_cost.js';
import type {CapacityDigest, WorkItem} from './types.js';

/** What running a request at a place costs. */
export interface PlaceCost {
  /** Expected time to the first answer, including the network cost. */
  readonly expectedMs: number;
  /** Lateness risk and delay to others. */
  readonly costMs: number;
}

/** A place outside the own domain at which a request could run. */
export interface RemotePlace extends PlaceCost {
  readonly region: RegionId;
  /** The domain; for another region, the one with the most room. */
  readonly domain: DomainId;
  /** Minimum gain in cost that justifies the move. */
  readonly minGainMs: number;
}

/** A scheduler's own place and the digests that it may use. */
export interface PlaceInputs {
  readonly ownRegion: RegionId;
  /** Unexpired digests of all other domains. */
  readonly fresh: readonly DigestRecord[];
  /** Those of the domains that may run the request. */
  readonly allowed: readonly DigestRecord[];
  /** Predicted time for which the request holds a slot. */
  readonly slotMs: number;
}

/** The places that have room for the request by their last digests. */
export function remotePlaces(
  item: WorkItem,
  {ownRegion, fresh, allowed, slotMs}: PlaceInputs,
  nowMs: number,
): readonly RemotePlace[] {
  const senders = 1 + fresh.filter(each => mayAlsoSend(each.digest)).length;
  const options = allowed.flatMap(record => {
    const load = correctedLoad(record, senders, nowMs);
    const hasRoom =
      load !== undefined && hasRoomFor(item, record, senders, nowMs);
    return hasRoom ? [{record, load, size: sizeIn(record, item, slotMs)}] : [];
  });
  const near = options.filter(each => each.record.digest.region === ownRegion);
  const far = options.filter(each => each.record.digest.region !== ownRegion);
  const regions = [...new Set(far.map(each => each.record.digest.region))];
  return [
    ...near.map(each => placeOf(item, [each], PASS_COST_MS, PASS_MIN_GAIN_MS)),
    ...regions
      .map(region => far.filter(each => each.record.digest.region === region))
      .map(each => placeOf(item, each, OFFLOAD_COST_MS, OFFLOAD_MIN_GAIN_MS)),
  ];
}

interface Option {
  readonly record: DigestRecord;
  readonly load: DomainLoad;
  readonly size: WorkSize;
}

function placeOf(
  item: WorkItem,
  options: readonly Option[],
  networkMs: number,
  minGainMs: number,
): RemotePlace {
  const [roomiest] = [...options].sort(
    (left, right) => left.load.slots - right.load.slots,
  );
  if (roomiest === undefined) throw new Error('a place without a domain');
  const {region, domain} = roomiest.record.digest;
  const expectedMs =
    networkMs +
    BASE_FIRST_ANSWER_MS +
    Math.min(...options.map(({size}) => size.prefillMs)) +
    meanOf(options, ({record}) => record.digest.waitMs);
  const delayMs = meanOf(options, ({size, load}) =>
    delayToOthersMs(size, load),
  );
  const risk = latenessRiskMs(item.ageMs + expectedMs, item.targetLatencyMs);
  return {region, domain, expectedMs, minGainMs, costMs: risk + delayMs};
}

/** Mean over the domains, weighed by their upstreams. */
function meanOf(
  options: readonly Option[],
  valueOf: (option: Option) => number,
): number {
  const total = options.reduce(
    (sum, each) => sum + each.record.digest.upstreams,
    0,
  );
  return options.reduce(
    (sum, each) => sum + (valueOf(each) * each.record.digest.upstreams) / total,
    0,
  );
}

/** Whether each of the senders may send one more request there. */
function hasRoomFor(
  {prompt}: WorkItem,
  {digest, sent}: DigestRecord,
  senders: number,
  nowMs: number,
): boolean {
  const totals = sent.totals(nowMs);
  const tokens = prompt?.promptTokens ?? 0;
  return (
    digest.upstreams > 0 &&
    digest.freeSlots > senders * totals.requests &&
    (tokens === 0 || digest.freeTokens > senders * totals.tokens + tokens)
  );
}

// Digests of former versions do not say how loaded their domain is.
function mayAlsoSend({load, waitMs, upstreams}: CapacityDigest): boolean {
  if (upstreams === 0) return false;
  return load === undefined ? waitMs > 0 : isCongested(load);
}
