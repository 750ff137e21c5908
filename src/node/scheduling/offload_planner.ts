/** Decides whether to move a request to another domain or region. */
import type {DomainId, RegionId} from '../types/ids.js';
import type {CapacityBoard, RemoteOffer} from './capacity_board.js';
import {OFFLOAD_PREFILL_SHARE_GAIN} from './constants.js';
import {maxFirstAnswerMs} from './forecast.js';
import type {WorkItem} from './types.js';

/** Logged in place of a wait that is not known. */
export const UNKNOWN_MS = -1;

/** Destination of a request, with the predicted waits behind the choice. */
export interface OffloadTarget {
  readonly region: RegionId;
  /** `undefined` if no digest of the region has arrived. */
  readonly domain: DomainId | undefined;
  readonly localWaitMs: number;
  readonly remoteWaitMs: number;
}

/** Chooses destinations from the latest capacity digests. */
export class OffloadPlanner {
  constructor(private readonly board: CapacityBoard) {}

  /**
   * Returns a region in which the request may run; its scheduler decides. If no
   * domain offers capacity, it is a region of which no digest has arrived yet,
   * as after a start.
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

  /** Returns a domain whose engines spend clearly less time on prefill. */
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

  /** Returns a domain that answers clearly sooner and within the target. */
  fasterTarget(
    item: WorkItem,
    localExpectedMs: number,
    nowMs: number,
  ): OffloadTarget | undefined {
    const isOnlyChoice = !Number.isFinite(localExpectedMs);
    const offer = this.board.bestOffer(item, nowMs, isOnlyChoice);
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
