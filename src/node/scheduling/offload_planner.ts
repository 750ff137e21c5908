/** Decides whether a request is better served in another domain or region. */
import type {DomainId, RegionId} from '../types/ids.js';
import type {CapacityBoard, RemoteOffer} from './capacity_board.js';
import {OFFLOAD_PREFILL_SHARE_GAIN} from './constants.js';
import {maxFirstAnswerMs} from './forecast.js';
import type {WorkItem} from './types.js';

/** A wait that nobody expects, as the log has it. */
const UNKNOWN_MS = -1;

/** Where a request is sent, with the waits that led to it. */
export interface OffloadTarget {
  readonly region: RegionId;
  /** `undefined` while nothing is known of the region. */
  readonly domain: DomainId | undefined;
  readonly localWaitMs: number;
  readonly remoteWaitMs: number;
}

/** Goes by what other domains last said of their capacity. */
export class OffloadPlanner {
  constructor(private readonly board: CapacityBoard) {}

  /**
   * A region in which the request may run, whose own scheduler decides. Without
   * any digest, as after a start, it is one that has not told anything yet.
   */
  allowedTarget(item: WorkItem, nowMs: number): OffloadTarget | undefined {
    const offer = this.board.bestOffer(item, nowMs);
    if (offer !== undefined) return targetOf(offer, UNKNOWN_MS);
    const region = item.otherRegions.find(
      each => !this.board.hasDigestOf(each),
    );
    return region === undefined
      ? undefined
      : {
          region,
          domain: undefined,
          localWaitMs: UNKNOWN_MS,
          remoteWaitMs: UNKNOWN_MS,
        };
  }

  /** A domain whose engines spend clearly less of their time reading. */
  lessLoadedTarget(
    item: WorkItem,
    readShare: number,
    nowMs: number,
  ): OffloadTarget | undefined {
    const offer = this.board.bestOffer(item, nowMs);
    const isLessLoaded =
      offer !== undefined &&
      offer.readShare + OFFLOAD_PREFILL_SHARE_GAIN < readShare &&
      meetsTarget(item, offer);
    return isLessLoaded ? targetOf(offer, UNKNOWN_MS) : undefined;
  }

  /** A domain that answers clearly sooner, and in time. */
  fasterTarget(
    item: WorkItem,
    localExpectedMs: number,
    nowMs: number,
  ): OffloadTarget | undefined {
    const offer = this.board.bestOffer(item, nowMs);
    const isFaster =
      offer !== undefined &&
      offer.expectedMs + offer.minGainMs < localExpectedMs &&
      meetsTarget(item, offer);
    const localWaitMs = Number.isFinite(localExpectedMs)
      ? localExpectedMs
      : UNKNOWN_MS;
    return isFaster ? targetOf(offer, localWaitMs) : undefined;
  }
}

function meetsTarget(item: WorkItem, {expectedMs}: RemoteOffer): boolean {
  return item.ageMs + expectedMs <= maxFirstAnswerMs(item, expectedMs);
}

function targetOf(
  {region, domain, expectedMs}: RemoteOffer,
  localWaitMs: number,
): OffloadTarget {
  return {region, domain, localWaitMs, remoteWaitMs: expectedMs};
}
