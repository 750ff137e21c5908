/** What other domains last said of their capacity, less what they got since. */
import type {DomainId, RegionId} from '../types/ids.js';
import {
  BASE_FIRST_ANSWER_MS,
  DIGEST_EXPIRY_MS,
  OFFLOAD_COST_MS,
  OFFLOAD_GAIN_MS,
  PASS_COST_MS,
  PASS_GAIN_MS,
  PREFILL_TOKENS_PER_MS,
} from './constants.js';
import type {CapacityDigest, WorkItem} from './types.js';

interface HeldDigest {
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
  readonly leastGainMs: number;
  /** Expected time to the first answer, the way there included. */
  readonly expectedMs: number;
  readonly digestAgeMs: number;
  /** Share of its engines' time that reading takes, this request included. */
  readonly readShare: number;
}

/** Digests of one service by domain. */
export class CapacityBoard {
  private readonly held = new Map<DomainId, HeldDigest>();

  /** `home` is the region of the scheduler itself. */
  constructor(private readonly home: RegionId) {}

  record(digest: CapacityDigest, nowMs: number): void {
    this.held.set(digest.domain, {
      digest,
      atMs: nowMs,
      sentRequests: 0,
      sentTokens: 0,
    });
  }

  /** Whether a region has told of its capacity since this process started. */
  knows(region: RegionId): boolean {
    return [...this.held.values()].some(({digest}) => digest.region === region);
  }

  /** The best domain for a request among those that it may go to. */
  bestOffer(item: WorkItem, nowMs: number): RemoteOffer | undefined {
    return [...this.held.values()]
      .filter(held => this.mayTake(held, item))
      .flatMap(held => this.offer(held, item, nowMs))
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
  sibling(item: WorkItem, nowMs: number): DomainId | undefined {
    return [...this.held.values()]
      .filter(held => held.digest.region === this.home)
      .filter(held => this.mayTake(held, item))
      .filter(({atMs}) => nowMs - atMs <= DIGEST_EXPIRY_MS)
      .find(({digest}) => digest.upstreams > 0)?.digest.domain;
  }

  /** Notes a request that was sent to a domain. */
  noteSent(domain: DomainId, item: WorkItem): void {
    const held = this.held.get(domain);
    if (held === undefined) return;
    held.sentRequests += 1;
    held.sentTokens += item.prompt?.promptTokens ?? 0;
  }

  private mayTake({digest}: HeldDigest, item: WorkItem): boolean {
    return digest.region === this.home
      ? item.isAllowedHere && !item.passedDomains.includes(digest.domain)
      : item.otherRegions.includes(digest.region);
  }

  private offer(
    held: HeldDigest,
    item: WorkItem,
    nowMs: number,
  ): readonly RemoteOffer[] {
    const {digest, atMs, sentRequests, sentTokens} = held;
    const digestAgeMs = nowMs - atMs;
    const tokens = item.prompt?.promptTokens ?? 0;
    const hasRoom =
      digest.upstreams > 0 &&
      digest.freeSlots > sentRequests &&
      (tokens === 0 || digest.freeTokens > sentTokens + tokens);
    if (!hasRoom || digestAgeMs > DIGEST_EXPIRY_MS) return [];
    const readMs =
      (sentTokens / digest.upstreams + tokens) / PREFILL_TOKENS_PER_MS;
    const {region, domain} = digest;
    const isNear = region === this.home;
    const costMs = isNear ? PASS_COST_MS : OFFLOAD_COST_MS;
    const leastGainMs = isNear ? PASS_GAIN_MS : OFFLOAD_GAIN_MS;
    const expectedMs = digest.waitMs + readMs + BASE_FIRST_ANSWER_MS + costMs;
    const sentShare = readMs / Math.max(1, digestAgeMs + DIGEST_EXPIRY_MS);
    const readShare = digest.readShare + sentShare;
    return [{region, domain, leastGainMs, expectedMs, digestAgeMs, readShare}];
  }
}
