/** The requests, verdicts and options of admission. */
import type {RankId} from '../../types/ids.js';
import type {PoolId} from '../fleet/pool.js';
import type {FairRequest} from './fair_queue.js';

/** A request that asks for a slot. Times are on the monotonic clock. */
export interface AdmissionRequest extends FairRequest {
  readonly poolId: PoolId;
  readonly rankId: RankId;
  readonly deadlineAtMs: number;
  /**
   * When the first token is due; set for a request forwarded by another domain.
   * @default now plus the target of its rank
   */
  readonly firstTokenDueAtMs?: number | undefined;
  /** Time from the start to the first token on an upstream with free slots. */
  readonly expectedFirstTokenMs: number;
  /** Time that it occupies a slot. @default the mean of its pool and rank */
  readonly expectedServiceMs?: number | undefined;
}

/** Why a request was rejected. It was neither queued nor run. */
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
      /** Time after which a new try may be admitted. */
      readonly retryAfterMs: number;
    };

/** A request that was given a slot. */
export interface StartedRequest {
  readonly request: AdmissionRequest;
  readonly waitedMs: number;
  /** Whether it must keep the reserved slots free; for `chooseUpstream`. */
  readonly leavesReserve: boolean;
}

/** A request removed from the queue because it waited too long. */
export interface ExpiredRequest {
  readonly request: AdmissionRequest;
  /** Its deadline passed, or it would miss the target of its rank. */
  readonly cause: 'deadline' | 'would_be_late';
  readonly retryAfterMs: number;
}

/** The admission settings of one rank; a part of `RankConfig`. */
export interface AdmissionRank {
  readonly rankId: RankId;
  /** Smaller is more urgent. */
  readonly priority: number;
  readonly firstTokenTargetMs: number;
  /** Share of capacity guaranteed to it under a flood of other ranks. */
  readonly floorShare: number;
}

/** The options of an `AdmissionQueue`. */
export interface AdmissionOptions {
  readonly ranks: readonly AdmissionRank[];
  /** Most requests in all queues of this instance together. */
  readonly maxQueued: number;
  /**
   * Share of the queue of its rank that one workspace may fill.
   * @default 0.25
   */
  readonly maxWorkspaceShare?: number;
}
