import type {WorkItem} from './types.js';

/** A request that runs on an upstream. */
export interface Placement {
  readonly item: WorkItem;
  readonly startedAtMs: number;
  readonly expiresAtMs: number;
  readonly expectedMs: number;
  /** Tokens not shared with other requests. */
  readonly ownTokens: number;
  /** Whether its first answer was recorded. */
  hasBegun: boolean;
}
