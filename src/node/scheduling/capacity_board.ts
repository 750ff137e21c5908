/** What other regions last said of their capacity, less what they got since. */
import type {RegionId} from '../types/ids.js';
import {
  BASE_FIRST_ANSWER_MS,
  DIGEST_EXPIRY_MS,
  OFFLOAD_COST_MS,
  PREFILL_TOKENS_PER_MS,
} from './constants.js';
import type {CapacityDigest, WorkItem} from './types.js';

interface HeldDigest {
  readonly digest: CapacityDigest;
  readonly atMs: number;
  sentRequests: number;
  sentTokens: number;
}

/** A region that could take a request. */
export interface RemoteOffer {
  readonly region: RegionId;
  /** Expected time to the first answer, the way there included. */
  readonly expectedMs: number;
  readonly digestAgeMs: number;
  /** Share of its engines' time that reading takes, this request included. */
  readonly readShare: number;
}

/** Digests of one service by region. */
export class CapacityBoard {
  private readonly held = new Map<RegionId, HeldDigest>();

  record(digest: CapacityDigest, nowMs: number): void {
    this.held.set(digest.region, {
      digest,
      atMs: nowMs,
      sentRequests: 0,
      sentTokens: 0,
    });
  }

  /** Whether a region has told of its capacity since this process started. */
  knows(region: RegionId): boolean {
    return this.held.has(region);
  }

  /** The best region for a request among those that it may go to. */
  bestOffer(item: WorkItem, nowMs: number): RemoteOffer | undefined {
    return item.otherRegions
      .flatMap(region => this.offer(region, item, nowMs))
      .reduce<RemoteOffer | undefined>(
        (best, each) =>
          best === undefined || each.expectedMs < best.expectedMs ? each : best,
        undefined,
      );
  }

  /** Notes a request that was sent to a region. */
  noteSent(region: RegionId, item: WorkItem): void {
    const held = this.held.get(region);
    if (held === undefined) return;
    held.sentRequests += 1;
    held.sentTokens += item.prompt?.promptTokens ?? 0;
  }

  private offer(
    region: RegionId,
    item: WorkItem,
    nowMs: number,
  ): readonly RemoteOffer[] {
    const held = this.held.get(region);
    if (held === undefined) return [];
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
    const expectedMs =
      digest.waitMs + readMs + BASE_FIRST_ANSWER_MS + OFFLOAD_COST_MS;
    const sentShare = readMs / Math.max(1, digestAgeMs + DIGEST_EXPIRY_MS);
    const readShare = digest.readShare + sentShare;
    return [{region, expectedMs, digestAgeMs, readShare}];
  }
}
