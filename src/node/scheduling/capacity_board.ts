/** What other domains last said of their capacity, less what they got since. */
import type {DomainId, RegionId} from '../types/ids.js';
import {
  BASE_FIRST_ANSWER_MS,
  DIGEST_EXPIRY_MS,
  OFFLOAD_COST_MS,
  OFFLOAD_MIN_GAIN_MS,
  PASS_COST_MS,
  PASS_MIN_GAIN_MS,
  PREFILL_TOKENS_PER_MS,
} from './constants.js';
import type {CapacityDigest, WorkItem} from './types.js';

interface DigestRecord {
  readonly digest: CapacityDigest;
  readonly atMs: number;
  sentRequests: number;
  sentTokens: number;
}

/** A domain that could take a request. */
export interface RemoteOffer {
  readonly region: RegionId;
  readonly domain: DomainId;
  /** By so much it must be better to get the request. */
  readonly minGainMs: number;
  /** Expected time to the first answer, the way there included. */
  readonly expectedMs: number;
  readonly digestAgeMs: number;
  /** Share of its engines' time that reading takes, this request included. */
  readonly readShare: number;
}

/** Digests of one service by domain. */
export class CapacityBoard {
  private readonly records = new Map<DomainId, DigestRecord>();

  /** `ownRegion` is the region of the scheduler itself. */
  constructor(private readonly ownRegion: RegionId) {}

  record(digest: CapacityDigest, nowMs: number): void {
    this.records.set(digest.domain, {
      digest,
      atMs: nowMs,
      sentRequests: 0,
      sentTokens: 0,
    });
  }

  /** Whether a region has told of its capacity since this process started. */
  hasDigestOf(region: RegionId): boolean {
    return [...this.records.values()].some(
      ({digest}) => digest.region === region,
    );
  }

  /** The best domain for a request among those that it may go to. */
  bestOffer(item: WorkItem, nowMs: number): RemoteOffer | undefined {
    return [...this.records.values()]
      .filter(record => this.isAllowed(record, item))
      .flatMap(record => this.offer(record, item, nowMs))
      .reduce<RemoteOffer | undefined>(
        (best, each) =>
          best === undefined || each.expectedMs < best.expectedMs ? each : best,
        undefined,
      );
  }

  /**
   * A domain of this region with upstreams, whether it has room or not: its
   * scheduler can let the request wait or refuse it.
   */
  siblingDomain(item: WorkItem, nowMs: number): DomainId | undefined {
    return [...this.records.values()]
      .filter(record => record.digest.region === this.ownRegion)
      .filter(record => this.isAllowed(record, item))
      .filter(({atMs}) => nowMs - atMs <= DIGEST_EXPIRY_MS)
      .find(({digest}) => digest.upstreams > 0)?.digest.domain;
  }

  /** Notes a request that was sent to a domain. */
  noteSent(domain: DomainId, item: WorkItem): void {
    const record = this.records.get(domain);
    if (record === undefined) return;
    record.sentRequests += 1;
    record.sentTokens += item.prompt?.promptTokens ?? 0;
  }

  private isAllowed({digest}: DigestRecord, item: WorkItem): boolean {
    return digest.region === this.ownRegion
      ? item.isAllowedHere && !item.passedDomains.includes(digest.domain)
      : item.otherRegions.includes(digest.region);
  }

  private offer(
    record: DigestRecord,
    item: WorkItem,
    nowMs: number,
  ): readonly RemoteOffer[] {
    const {digest, atMs, sentRequests, sentTokens} = record;
    const digestAgeMs = nowMs - atMs;
    const tokens = item.prompt?.promptTokens ?? 0;
    const hasRoom =
      digest.upstreams > 0 &&
      digest.freeSlots > sentRequests &&
      (tokens === 0 || digest.freeTokens > sentTokens + tokens);
    if (!hasRoom || digestAgeMs > DIGEST_EXPIRY_MS) return [];
    const prefillMs =
      (sentTokens / digest.upstreams + tokens) / PREFILL_TOKENS_PER_MS;
    const {region, domain} = digest;
    const isNear = region === this.ownRegion;
    const costMs = isNear ? PASS_COST_MS : OFFLOAD_COST_MS;
    const minGainMs = isNear ? PASS_MIN_GAIN_MS : OFFLOAD_MIN_GAIN_MS;
    const expectedMs =
      digest.waitMs + prefillMs + BASE_FIRST_ANSWER_MS + costMs;
    const sentShare = prefillMs / Math.max(1, digestAgeMs + DIGEST_EXPIRY_MS);
    const readShare = digest.readShare + sentShare;
    return [{region, domain, minGainMs, expectedMs, digestAgeMs, readShare}];
  }
}
