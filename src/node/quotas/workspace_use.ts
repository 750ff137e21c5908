/** How the quotas are used by region, and which workspaces are limited. */
import {z} from 'zod';
import type {RegionId, WorkspaceId} from '../types/ids.js';

const id = <Id extends string>(): z.ZodType<Id> =>
  z.string() as unknown as z.ZodType<Id>;

const regionStatusSchema = z.object({
  region: id<RegionId>(),
  /** Units a second that callers ask for, refused ones included. */
  demandPerS: z.number(),
  /** Units a second that its entries may add to their balances. */
  sharePerS: z.number(),
  entries: z.number(),
  limitedEntries: z.number(),
  /** For how long the first of them has refused requests. */
  limitedForMs: z.number().optional(),
});

const workspaceStatusSchema = z.object({
  workspace: id<WorkspaceId>(),
  /** Missing from members of an earlier build. */
  unit: z.enum(['requests', 'tokens']).optional(),
  ratePerS: z.number(),
  /** What the leader has left to grant. */
  poolUnits: z.number(),
  regions: z.array(regionStatusSchema),
});

export const quotaStatusSchema = z.object({
  /** Whether this member divides the quotas; others know nothing. */
  isLeader: z.boolean(),
  workspaces: z.array(workspaceStatusSchema),
});

/** How one region uses the quota of a workspace. */
export type RegionStatus = z.infer<typeof regionStatusSchema>;
/** How the quota of a workspace is used. */
export type WorkspaceStatus = z.infer<typeof workspaceStatusSchema>;
/** The result of `quotas.status`. */
export type QuotaStatus = z.infer<typeof quotaStatusSchema>;

/** Use of a quota by one entry. */
export interface EntryUse {
  readonly region: RegionId;
  readonly demandPerS: number;
  readonly sharePerS: number;
  readonly limitedForMs: number | undefined;
}

/** The sums by region, in the order of their names. */
export function statusByRegion(
  uses: readonly EntryUse[],
): readonly RegionStatus[] {
  const regions = [...new Set(uses.map(each => each.region))].sort();
  return regions.map(region => {
    const inside = uses.filter(each => each.region === region);
    const limited = inside.flatMap(each => each.limitedForMs ?? []);
    return {
      region,
      demandPerS: sumOf(inside.map(each => each.demandPerS)),
      sharePerS: sumOf(inside.map(each => each.sharePerS)),
      entries: inside.length,
      limitedEntries: limited.length,
      ...(limited.length > 0 ? {limitedForMs: Math.max(...limited)} : {}),
    };
  });
}

function sumOf(values: readonly number[]): number {
  return Math.round(values.reduce((sum, each) => sum + each, 0));
}
