/** Messages by which instances announce themselves to the control members. */
import {z} from 'zod';
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';

/** One running entry, as its announcements describe it. */
export interface EntryInstance {
  readonly instanceId: InstanceId;
  /** Grows with each start of the process; begins as its wall clock. */
  readonly incarnation: number;
  readonly domain: DomainId;
  readonly region: RegionId;
  /** Address for other instances, `host:port`. */
  readonly innerAddress: string;
  /** Address for callers, `host:port`. */
  readonly callersAddress: string;
  /** Whether callers may connect. */
  readonly isReady: boolean;
  /** Whether its process is ending; it gets no new work of others. */
  readonly isStopping: boolean;
  /** Whether it decides on the requests of others to model engines. */
  readonly isScheduling: boolean;
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
});

/** An entry tells a control member that it runs. */
export interface Announcement {
  readonly entry: EntryInstance;
  /** Revision of the control state that the entry holds. */
  readonly revision: number;
  /** The view of this control member that the entry holds, or `''`. */
  readonly viewId: string;
}

export const announcementSchema: z.ZodType<Announcement> = z.object({
  entry: entryInstanceSchema,
  revision: z.number(),
  viewId: z.string(),
});

/** All live entries and control members, as one control member sees them. */
export interface FleetView {
  /** Changes whenever the rest does; unique over restarts. */
  readonly viewId: string;
  readonly entries: readonly EntryInstance[];
  readonly controlMembers: readonly ControlInstance[];
}

/** The answer to an announcement. */
export interface AnnouncementReply {
  /** Revision of the control state that this member has applied. */
  readonly revision: number;
  /**
   * The incarnation held of the entry. If it is above the announced one, the
   * wall clock went back between two starts of the entry, which then takes a
   * higher one.
   */
  readonly incarnation: number;
  /** Left out if the entry holds it already. */
  readonly view?: FleetView;
}

export const ANNOUNCE_METHOD = 'fleet.announce';
export const FETCH_STATE_METHOD = 'fleet.fetch_state';
