/** What entries and the leader of the control group exchange about quotas. */
import {z} from 'zod';
import type {WorkspaceId} from '../types/ids.js';

/** Part of an entry's report on one workspace. */
export interface WorkspaceReport {
  readonly workspace: WorkspaceId;
  /** Increases if the process forgets what it counted, and begins with zero. */
  readonly epoch: number;
  /** Version of the lease that the entry acts on. */
  readonly version: number;
  readonly sharePerS: number;
  readonly ceilingUnits: number;
  /** Sum of the grants that the entry has added to its balance. */
  readonly appliedUnits: number;
  /** Sum of the units that it gave back to the pool. */
  readonly returnedUnits: number;
  /** Units a second that callers asked for recently, refused ones included. */
  readonly demandPerS: number;
  /** Units of the largest recent request. */
  readonly largestUnits: number;
  /** Units of the requests that wait for a grant. */
  readonly waitingUnits: number;
  /** Units of the one that waits longest. */
  readonly firstUnits: number;
  /** Units that would bring the balance up to what the demand needs. */
  readonly refillUnits: number;
}

/** Sent with an announcement to the leader. */
export interface QuotaReport {
  /** Term of the leader that the entry accepts. */
  readonly term: number;
  /** Increases with each report of the process. */
  readonly sequence: number;
  readonly workspaces: readonly WorkspaceReport[];
}

/** The leader's reply on one workspace. */
export interface WorkspaceGrant {
  readonly workspace: WorkspaceId;
  /** Increases with each change of the share or the ceiling. */
  readonly version: number;
  /** Units a second that the entry adds to its balance by itself. */
  readonly sharePerS: number;
  /** The balance does not grow beyond this. */
  readonly ceilingUnits: number;
  /** Sum of all grants to the entry. */
  readonly grantedUnits: number;
  /** Sum of the returned units that the leader knows of. */
  readonly returnedUnits: number;
  /** A larger request is admitted at this balance and leaves a debt. */
  readonly maxUnits: number;
  /** Set if the pool could not serve all waiting requests. */
  readonly retryAfterMs?: number | undefined;
}

/** Sent with the reply to each announcement by the leader, and by no other member. */
export interface QuotaReply {
  readonly term: number;
  readonly workspaces: readonly WorkspaceGrant[];
}

const amount = z.number().min(0);
const counter = z.number().int().min(0);

export const quotaReportSchema: z.ZodType<QuotaReport> = z.object({
  term: counter,
  sequence: counter,
  workspaces: z.array(
    z.object({
      workspace: z.string() as unknown as z.ZodType<WorkspaceId>,
      epoch: counter,
      version: counter,
      sharePerS: amount,
      ceilingUnits: amount,
      appliedUnits: amount,
      returnedUnits: amount,
      demandPerS: amount,
      largestUnits: amount,
      waitingUnits: amount,
      firstUnits: amount,
      refillUnits: amount,
    }),
  ),
});
