/** Decides whether to move a request to another domain or region. */
import type {DomainId, RegionId} from '../types/ids.js';
import type {CapacityBoard, RemoteOffer} from './capacity_board.js';
import {maxFirstAnswerMs} from './forecast.js';
import type {PlaceCost, RemotePlace} from './remote_places.js';
import type {WorkItem} from './types.js';
import {weightedChoice} from './weighted_choice.js';

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
    const places = this.board.places(item, nowMs);
    const offer =
      weightedChoice(item.requestId, places, ({costMs}) => 1 / costMs) ??
      this.board.bestOffer(item, nowMs);
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

  /**
   * Returns a place at which the request costs clearly less than here and meets
   * its target. Good places are drawn by the request's id, in proportion to the
   * gain, so that the schedulers of a region do not rush to the same one.
   */
  cheaperTarget(
    item: WorkItem,
    local: PlaceCost,
    nowMs: number,
  ): OffloadTarget | undefined {
    const gainMs = ({costMs, minGainMs}: RemotePlace): number =>
      local.costMs - costMs - minGainMs;
    const good = this.board
      .places(item, nowMs)
      .filter(each => meetsTarget(item, each))
      .filter(each => gainMs(each) > 0);
    const place = weightedChoice(item.requestId, good, gainMs);
    return place === undefined ? undefined : targetOf(place, local.expectedMs);
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

function meetsTarget(
  item: WorkItem,
  {expectedMs}: Pick<RemoteOffer, 'expectedMs'>,
): boolean {
  return item.ageMs + expectedMs <= maxFirstAnswerMs(item, expectedMs);
}

function targetOf(
  {region, domain, expectedMs}: Omit<RemoteOffer, 'minGainMs'>,
  localWaitMs: number,
): OffloadTarget {
  return {region, domain, localWaitMs, remoteWaitMs: expectedMs};
}
