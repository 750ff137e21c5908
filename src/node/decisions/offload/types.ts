/** The requests and choices of offload. */
import type {DomainId, RankId, RegionId} from '../../types/ids.js';
import type {PoolId} from '../fleet/pool.js';

/** What the price of a request depends on. */
export interface OffloadRequest {
  readonly poolId: PoolId;
  readonly rankId: RankId;
  /** The home region of the workspace. */
  readonly homeRegionId: RegionId;
  /** The only regions in which its data may be served. */
  readonly allowedRegionIds: readonly RegionId[];
  /** Whether another domain forwarded it here. */
  readonly isForwarded: boolean;
  readonly requestBytes: number;
  readonly answerBytes: number;
  /** Thousands of generated tokens, or 1 for a service call. */
  readonly costUnits: number;
  /** Time that the prefix cache of the own domain saves. */
  readonly prefixSavedMs: number;
  /** Value of its time: 1 for the most urgent rank; see `latencyScale`. */
  readonly latencyScale: number;
  readonly revenueMicros: number;
  /** Delay that its target leaves beyond an idle warm upstream. */
  readonly allowedDelayMs: number;
  /** Predicted wait in the own domain; `Infinity` without capacity. */
  readonly localWaitMs: number;
  /** Backlog of the rank in the own domain; `Infinity` without capacity. */
  readonly localBacklogMs: number;
  /** Share of the slots of the own domain's pool that are in use. */
  readonly localFillShare: number;
  /** Mean time that a request occupies a slot there. */
  readonly localMeanServiceMs: number;
  /** Cost of the own domain's pool, per unit. */
  readonly localCostMicros: number;
  /** Whether the own domain would refuse it now. */
  readonly isRejectedLocally: boolean;
  /** Whether the last such request was sent away; see `awayHysteresis`. */
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
  /** The own region may not serve it and no allowed domain can take it. */
  | {readonly kind: 'refused'; readonly cause: 'residency'};
