import type {WorkItem} from './types.js';

/** A request that runs on an upstream. */
export interface Placement {
  readonly item: WorkItem;
  readonly startedAtMs: number;
  readonly expiresAtMs: number;
  /** Predicted prefill of its own prompt and those before it. */
  readonly prefillMs: number;
  /** Slowness of the upstream that the prediction assumed. */
  readonly slowness: number;
  /** Tokens not shared with other requests. */
  readonly ownTokens: number;
  /** Whether another scheduler granted it. */
  readonly isAdopted: boolean;
  /** Whether its first answer was recorded. */
  hasBegun: boolean;
}
