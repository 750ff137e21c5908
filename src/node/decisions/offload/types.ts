/** The requests and choices of offload. */
import type {DomainId, RankId, RegionId} from '../../types/ids.js';
import type {PoolId} from '../fleet/pool.js';

/** The properties of a request that its price depends on. */
export interface OffloadRequest {
  readonly poolId: PoolId;
  readonly rankId: RankId;
  /** The home region of the workspace. */
  readonly homeRegionId: RegionId;
  /** The only regions that may process its data. */
  readonly allowedRegionIds: readonly RegionId[];
  /** Whether it was forwarded here by another domain. */
  readonly isForwarded: boolean;
  readonly requestBytes: number;
  readonly answerBytes: number;
  /** Thousands of generated tokens, or 1 for a service call. */
  readonly costUnits: number;
  /** Time saved by the prefix cache of the local domain. */
  readonly prefixSavedMs: number;
  /** Weight of its delay: 1 for the most urgent rank; see `latencyScale`. */
  readonly latencyScale: number;
  readonly revenueMicros: number;
  /** Delay beyond an idle, warm upstream that still meets its target. */
  readonly allowedDelayMs: number;
  /** Predicted wait in the local domain; `Infinity` without capacity. */
  readonly localWaitMs: number;
  /** Backlog of the rank in the local domain; `Infinity` without capacity. */
  readonly localBacklogMs: number;
  /** Share of the slots of the local domain's pool that are in use. */
  readonly localFillShare: number;
  /** Mean time that a request occupies a slot there. */
  readonly localMeanServiceMs: number;
  /** Cost of the local domain's pool, per unit. */
  readonly localCostMicros: number;
  /** Whether the local domain would reject it now. */
  readonly isRejectedLocally: boolean;
  /** Whether the last such request was offloaded; see `awayHysteresis`. */
  readonly wasAway: boolean;
}

/** Where a request should run. */
export type OffloadChoice =
  | {readonly kind: 'local'}
  | {
      readonly kind: 'away';
      readonly domainId: DomainId;
      readonly regionId: RegionId;
      readonly isOtherRegion: boolean;
    }
  /** The local region is not allowed and no allowed domain can run it. */
  | {readonly kind: 'refused'; readonly cause: 'residency'};
