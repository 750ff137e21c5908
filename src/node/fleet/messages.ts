/** Messages by which instances announce themselves to the control members. */
import {z} from 'zod';
import {
  quotaReportSchema,
  type QuotaReply,
  type QuotaReport,
} from '../quotas/messages.js';
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';

/** A running entry, as described in its announcements. */
export interface EntryInstance {
  readonly instanceId: InstanceId;
  /** Increases with each start of the process; initially its wall clock. */
  readonly incarnation: number;
  readonly domain: DomainId;
  readonly region: RegionId;
  /** Address for other instances, `host:port`. */
  readonly innerAddress: string;
  /** Address for callers, `host:port`. */
  readonly callersAddress: string;
  /** Whether callers may connect. */
  readonly isReady: boolean;
  /** Whether it is shutting down; it gets no new work from other entries. */
  readonly isStopping: boolean;
  /** Whether it schedules requests of other entries to model engines. */
  readonly isScheduling: boolean;
  /** Whether it cannot reach any upstream. */
  readonly isCutOff?: boolean | undefined;
  /** How much it bears, if its settings say so; see `entry_capacity.ts`. */
  readonly capacity?: number | undefined;
}

/** One control member that entries announce themselves to. */
export interface ControlInstance {
  readonly instanceId: InstanceId;
  readonly innerAddress: string;
}

const id = <Id extends string>(): z.ZodType<Id> =>
  z.string().min(1).max(200) as unknown as z.ZodType<Id>;

export const entryInstanceSchema: z.ZodType<EntryInstance> = z.object({
  instanceId: id<InstanceId>(),
  incarnation: z.number(),
  domain: id<DomainId>(),
  region: id<RegionId>(),
  innerAddress: z.string(),
  callersAddress: z.string(),
  isReady: z.boolean(),
  isStopping: z.boolean(),
  isScheduling: z.boolean(),
  isCutOff: z.boolean().optional(),
  capacity: z.number().positive().optional(),
});

/** Sent by an entry to a control member periodically, as a heartbeat. */
export interface Announcement {
  readonly entry: EntryInstance;
  /** Revision of the control state that the entry holds. */
  readonly revision: number;
  /** The view of this control member that the entry holds, or `''`. */
  readonly viewId: string;
  /** Whether the entry understands a reply with the changes of a view. */
  readonly acceptsChanges?: boolean | undefined;
  /** Sent to the leader of the control group only. */
  readonly quotas?: QuotaReport | undefined;
}

export const announcementSchema: z.ZodType<Announcement> = z.object({
  entry: entryInstanceSchema,
  revision: z.number(),
  viewId: z.string(),
  acceptsChanges: z.boolean().optional(),
  quotas: quotaReportSchema.optional(),
});

/** All live entries and control members, as one control member sees them. */
export interface FleetView {
  /** Changes with any other field; unique across restarts. */
  readonly viewId: string;
  readonly entries: readonly EntryInstance[];
  readonly controlMembers: readonly ControlInstance[];
}

/** What changed between two views of one control member. */
export interface ViewChanges {
  /** The view to which the changes apply. */
  readonly sinceViewId: string;
  readonly viewId: string;
  /** Entries that joined or changed. */
  readonly changed: readonly EntryInstance[];
  readonly removed: readonly InstanceId[];
  readonly controlMembers: readonly ControlInstance[];
}

/** The reply to an announcement. */
export interface AnnouncementReply {
  /** Revision of the control state that this member has applied. */
  readonly revision: number;
  /**
   * Latest known incarnation of the entry. If it is above the announced one,
   * the entry's wall clock moved back between two starts, and the entry has to
   * announce a higher one.
   */
  readonly incarnation: number;
  /** The complete view; omitted if the entry has it or gets its changes. */
  readonly view?: FleetView;
  readonly changes?: ViewChanges;
  /** Set by the leader of the control group if any workspace has a quota. */
  readonly quotas?: QuotaReply;
}

export const ANNOUNCE_METHOD = 'fleet.announce';
export const FETCH_STATE_METHOD = 'fleet.fetch_state';
