/**
 * Latest capacity digests of other domains, less the requests sent to them
 * that the digests do not show yet.
 */
import type {DomainId, RegionId} from '../types/ids.js';
import {
  BASE_FIRST_ANSWER_MS,
  DIGEST_EXPIRY_MS,
  EARLY_MOVE_DIGEST_AGE_MS,
  OFFLOAD_COST_MS,
  OFFLOAD_MIN_GAIN_MS,
  PASS_COST_MS,
  PASS_MIN_GAIN_MS,
  PREFILL_TOKENS_PER_MS,
} from './constants.js';
import {sizeIn, type DigestRecord} from './digest_record.js';
import {remotePlaces, type RemotePlace} from './remote_places.js';
import {SentWork} from './sent_work.js';
import {fits} from './software_versions.js';
import type {CapacityDigest, WorkItem} from './types.js';

const NO_PARTS: ReadonlySet<string> = new Set();

/** A domain that could take a request. */
export interface RemoteOffer {
  readonly region: RegionId;
  readonly domain: DomainId;
  /** Minimum gain over the local expected time that justifies the move. */
  readonly minGainMs: number;
  /** Expected time to the first answer, including the network cost. */
  readonly expectedMs: number;
}

/** Capacity digests of one service, by domain. */
export class CapacityBoard {
  private readonly records = new Map<DomainId, DigestRecord>();

  /**
   * `ownRegion` is the region of this scheduler, `slotMsOf` the time for which a
   * request holds a slot.
   */
  constructor(
    private readonly ownRegion: RegionId,
    private readonly slotMsOf: (item: WorkItem) => number,
  ) {}

  record(digest: CapacityDigest, nowMs: number): void {
    const known = this.records.get(digest.domain);
    const sent = known?.sent ?? new SentWork();
    sent.noteDigest(nowMs);
    const heldParts =
      digest.heldParts === undefined
        ? (known?.heldParts ?? NO_PARTS)
        : new Set(digest.heldParts);
    this.records.set(digest.domain, {digest, atMs: nowMs, sent, heldParts});
  }

  /** The places outside the own domain that have room for the request. */
  places(item: WorkItem, nowMs: number): readonly RemotePlace[] {
    const fresh = this.fresh(nowMs, EARLY_MOVE_DIGEST_AGE_MS);
    const {ownRegion} = this;
    const allowed = fresh.filter(each => this.isAllowed(each, item));
    const slotMs = this.slotMsOf(item);
    return remotePlaces(item, {ownRegion, fresh, allowed, slotMs}, nowMs);
  }

  /** Whether a digest of the region arrived since this process started. */
  hasDigestOf(region: RegionId): boolean {
    return [...this.records.values()].some(
      ({digest}) => digest.region === region,
    );
  }

  /** Whether a stream may go on in some other domain, by its last digest. */
  mayContinueElsewhere(item: WorkItem, nowMs: number): boolean {
    return this.fresh(nowMs).some(record => this.isAllowed(record, item));
  }

  /**
   * The offer with the lowest expected time among the allowed domains. Without
   * another choice (`isOnlyChoice`), slots that become free after the digest
   * count as well, and only those queued requests which the request would not
   * overtake: the scheduler there can still queue or refuse it.
   */
  bestOffer(
    item: WorkItem,
    nowMs: number,
    isOnlyChoice = false,
  ): RemoteOffer | undefined {
    return [...this.records.values()]
      .filter(record => this.isAllowed(record, item))
      .flatMap(record => this.offer(record, item, nowMs, isOnlyChoice))
      .reduce<RemoteOffer | undefined>(
        (best, each) =>
          best === undefined || each.expectedMs < best.expectedMs ? each : best,
        undefined,
      );
  }

  /**
   * Another domain of this region that has upstreams, even if they are full:
   * its scheduler can queue or refuse the request.
   */
  siblingDomain(item: WorkItem, nowMs: number): DomainId | undefined {
    return this.fresh(nowMs)
      .filter(record => record.digest.region === this.ownRegion)
      .filter(record => this.isAllowed(record, item))
      .find(({digest}) => digest.upstreams > 0)?.digest.domain;
  }

  /** Counts a request sent to a domain against its last digest. */
  noteSent(domain: DomainId, item: WorkItem, nowMs: number): void {
    const record = this.records.get(domain);
    if (record === undefined) return;
    const size = sizeIn(record, item, this.slotMsOf(item));
    record.sent.add(size, item.prompt?.promptTokens ?? 0, nowMs);
  }

  private fresh(
    nowMs: number,
    maxAgeMs = DIGEST_EXPIRY_MS,
  ): readonly DigestRecord[] {
    return [...this.records.values()].filter(
      ({atMs}) => nowMs - atMs <= maxAgeMs,
    );
  }

  private isAllowed({digest}: DigestRecord, item: WorkItem): boolean {
    if (!mayContinueIn(digest, item)) return false;
    if (item.evacuatedDomains?.includes(digest.domain) === true) return false;
    return digest.region === this.ownRegion
      ? item.isAllowedHere && !item.passedDomains.includes(digest.domain)
      : item.otherRegions.includes(digest.region);
  }

  private offer(
    record: DigestRecord,
    item: WorkItem,
    nowMs: number,
    isOnlyChoice: boolean,
  ): readonly RemoteOffer[] {
    const {digest, atMs, sent} = record;
    const totals = sent.totals(nowMs);
    const digestAgeMs = nowMs - atMs;
    const tokens = item.prompt?.promptTokens ?? 0;
    const {freeSlots, waitMs} = isOnlyChoice
      ? roomWithoutChoice(digest, item, digestAgeMs)
      : digest;
    const hasRoom =
      digest.upstreams > 0 &&
      freeSlots > totals.requests &&
      (tokens === 0 || digest.freeTokens > totals.tokens + tokens);
    if (!hasRoom || digestAgeMs > DIGEST_EXPIRY_MS) return [];
    const prefillMs =
      (totals.tokens / digest.upstreams + tokens) / PREFILL_TOKENS_PER_MS;
    const {region, domain} = digest;
    const isNear = region === this.ownRegion;
    const costMs = isNear ? PASS_COST_MS : OFFLOAD_COST_MS;
    const minGainMs = isNear ? PASS_MIN_GAIN_MS : OFFLOAD_MIN_GAIN_MS;
    const expectedMs = waitMs + prefillMs + BASE_FIRST_ANSWER_MS + costMs;
    return [{region, domain, minGainMs, expectedMs}];
  }
}

/** Whether the domain has an upstream at which a begun stream may go on. */
function mayContinueIn(
  {softwareVersions = []}: CapacityDigest,
  {begun}: WorkItem,
): boolean {
  return (
    begun === undefined ||
    softwareVersions.some(version => fits(begun, version))
  );
}

/** What a domain offers to a request that can run nowhere else. */
function roomWithoutChoice(
  digest: CapacityDigest,
  {priority}: WorkItem,
  digestAgeMs: number,
): Pick<CapacityDigest, 'freeSlots' | 'waitMs'> {
  const {loads = [], freeSlots, slotsFreedPerMs = 0, waitMs} = digest;
  const freedSlots = slotsFreedPerMs * digestAgeMs;
  const queued = loads.at(-1)?.queued ?? 0;
  const load = loads.filter(each => each.priority <= priority).at(-1);
  const overtaken = load === undefined ? 0 : queued - load.queued;
  return {
    freeSlots: freeSlots + freedSlots + overtaken,
    waitMs: load?.waitMs ?? waitMs,
  };
}
