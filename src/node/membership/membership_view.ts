/** Read-only queries of other modules on the membership. */
import type {
  DomainId,
  InstanceId,
  MemberId,
  ConfigVersion,
  UpstreamId,
} from '../types/ids.js';
import type {Liveness} from './failure_detection.js';
import type {
  LoadReport,
  MemberRecord,
  ModelOffer,
  QuarantineEntry,
  SummaryEntry,
} from './items.js';

/** An instance of the own domain in its newest incarnation. */
export interface Member extends MemberRecord {
  readonly memberId: MemberId;
  readonly instanceId: InstanceId;
  readonly incarnation: number;
  readonly liveness: Liveness;
  /** Time since its last progress was seen. */
  readonly quietMs: number;
}

/** A load report and the instance that published it. */
export interface SharedLoadReport extends LoadReport {
  readonly reportedBy: InstanceId;
}

/** Whether messages from another domain arrive; see `linkStateOf`. */
export type LinkState = 'up' | 'suspect' | 'down';

/** The link to one other domain. */
export interface DomainLink {
  readonly domainId: DomainId;
  readonly state: LinkState;
  /**
   * Time since the last message or progress of the domain, also through peers.
   */
  readonly quietMs: number;
}

/** The last summary received from another domain. */
export interface DomainSummary {
  readonly domainId: DomainId;
  readonly offers: readonly ModelOffer[];
  readonly entries: readonly SummaryEntry[];
  readonly configVersion: ConfigVersion;
  /** Time since the last progress of the domain, on the local clock. */
  readonly ageMs: number;
  /** Whether the domain counts as unreachable. */
  readonly stale: boolean;
}

/** Counters since the start, for metrics. */
export interface MembershipCounters {
  readonly rounds: number;
  readonly exchangesFailed: number;
  readonly exchangesRetried: number;
  readonly summariesSent: number;
  readonly summariesFailed: number;
}

/** Queries on the membership of one process. */
export abstract class MembershipView {
  /** The member id of this process. */
  abstract self(): MemberId;
  /** Whether a peer has answered or `JOIN_TIMEOUT_MS` has passed. */
  abstract joined(): boolean;
  /** All known instances of the domain, including this one, sorted by id. */
  abstract members(): readonly Member[];
  /**
   * Members that accept work: not dead and neither leaving nor left. Suspects
   * are included, because a few lost messages are enough to cause a suspicion.
   */
  abstract liveMembers(): readonly Member[];
  /** The newest report per upstream that has not expired. */
  abstract loadReports(): ReadonlyMap<UpstreamId, SharedLoadReport>;
  /** Requests in flight of the other live instances, per upstream. */
  abstract inFlightOfOthers(): ReadonlyMap<UpstreamId, number>;
  /** Quarantine entries that have not expired, by digest. */
  abstract quarantine(): ReadonlyMap<string, QuarantineEntry>;
  /** The last summary of each other domain, until its origins are removed. */
  abstract domainSummaries(): readonly DomainSummary[];
  /** The link to each other domain that is configured or has shown progress. */
  abstract links(): readonly DomainLink[];
  /** The upstreams among these that are currently assigned to this instance. */
  abstract polledUpstreams(upstreamIds: readonly UpstreamId[]): UpstreamId[];
  /** Whether this instance currently builds the summary of its domain. */
  abstract buildsSummary(): boolean;
  /**
   * The highest configuration version that any known instance has published.
   */
  abstract newestConfigVersion(): ConfigVersion;
  abstract counters(): MembershipCounters;
}
