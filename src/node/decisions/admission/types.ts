/** The requests and verdicts of admission. */
import type {RankId, RequestId, WorkspaceId} from '../../types/ids.js';
import type {PoolId} from '../fleet/pool.js';

/** A request that asks for a slot. Times are on the monotonic clock. */
export interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly workspaceId: WorkspaceId;
  readonly poolId: PoolId;
  readonly rankId: RankId;
  /** Share of its rank relative to other workspaces. */
  readonly fairWeight: number;
  readonly deadlineAtMs: number;
  /**
   * When the first token is due here, for a request that spent time elsewhere.
   * @default now plus the target of its rank
   */
  readonly firstTokenDueAtMs?: number | undefined;
  /** Time from a slot to the first token, on an upstream with free slots. */
  readonly expectedFirstTokenMs: number;
  /** Time that it occupies a slot. @default the mean of its pool and rank */
  readonly expectedServiceMs?: number | undefined;
}

/** Why a request was not queued. It did not run. */
export type AdmissionRejection =
  /** Its predicted wait exceeds the target of its rank or its deadline. */
  | 'would_be_late'
  /** The queue share of its rank is full. */
  | 'queue_full'
  /** Its workspace has too many requests in the queue. */
  | 'workspace_bound'
  /** No upstream of the pool may take work. */
  | 'no_capacity'
  /** The rank is not in the configuration. */
  | 'unknown_rank'
  /** The same request is already queued or running. */
  | 'duplicate';

/** The outcome of `enqueue`. */
export type AdmissionVerdict =
  | {readonly kind: 'queued'; readonly predictedWaitMs: number}
  | {
      readonly kind: 'refused';
      readonly cause: AdmissionRejection;
      readonly predictedWaitMs: number;
      /** When a new try has a chance. */
      readonly retryAfterMs: number;
    };

/** A request that got a slot. */
export interface StartedRequest {
  readonly request: AdmissionRequest;
  readonly waitedMs: number;
  /** Whether it must leave the reserved slots free; for `chooseUpstream`. */
  readonly leavesReserve: boolean;
}

/** A request that left the queue because it waited too long. */
export interface ExpiredRequest {
  readonly request: AdmissionRequest;
  /** Whether its deadline passed, or it would miss the target of its rank. */
  readonly cause: 'deadline' | 'would_be_late';
  readonly retryAfterMs: number;
}

/** What one rank needs for admission; a part of `RankConfig`. */
export interface AdmissionRank {
  readonly rankId: RankId;
  /** Smaller is more urgent. */
  readonly priority: number;
  readonly firstTokenTargetMs: number;
  /** Share of capacity that it keeps during a flood of other ranks. */
  readonly floorShare: number;
}

/** The options of an `AdmissionQueue`. */
export interface AdmissionOptions {
  readonly ranks: readonly AdmissionRank[];
  /** Requests in all queues of this instance. */
  readonly maxQueued: number;
  /**
   * Share of the queue of its rank that one workspace may fill.
   * @default 0.25
   */
  readonly maxWorkspaceShare?: number;
}
