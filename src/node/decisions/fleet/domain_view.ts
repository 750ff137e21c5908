/** The summary of another domain, received once a second. */
import type {DomainId, RankId, RegionId} from '../../types/ids.js';
import type {PoolId} from './pool.js';

/** The backlog of a rank. */
export interface RankBacklog {
  readonly rankId: RankId;
  /** Time until all requests that are queued now have started. */
  readonly backlogMs: number;
}

/** The state of one pool of a domain. */
export interface PoolSummary {
  readonly poolId: PoolId;
  readonly slotCount: number;
  readonly freeSlots: number;
  /** Backlogs in the queues of the domain. */
  readonly rankWaits: readonly RankBacklog[];
  /** Mean time that a request occupies a slot. */
  readonly meanServiceMs: number;
  /** Cost of 1,000 generated tokens, or of one service call, in micros. */
  readonly costMicros: number;
}

/** What an instance knows about another domain. */
export interface DomainView {
  readonly domainId: DomainId;
  readonly regionId: RegionId;
  /** When the summary arrived, on the reader's monotonic clock. */
  readonly receivedAtMs: number;
  /** False while this instance cannot reach the domain's entries. */
  readonly isReachable: boolean;
  /** Share of its normal load that it may take: below 1 after it recovered. */
  readonly weight: number;
  readonly pools: readonly PoolSummary[];
  /** Requests per pool that this instance forwarded since the summary. */
  readonly sentSinceSummary: ReadonlyMap<PoolId, number>;
}
