/** Types of the scheduler of one service in one failure domain. */
import type {
  DomainId,
  InstanceId,
  RegionId,
  RequestId,
  ServiceId,
  SoftwareVersion,
  UpstreamId,
  UpstreamProcessId,
  WorkspaceId,
} from '../types/ids.js';
import type {DomainLoad} from './placement_cost.js';

/** One part of a prompt that engines may have cached. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** The prompt of a request to a model engine. */
export interface PromptSize {
  readonly promptTokens: number;
  /** Limit on the output, set by the caller. */
  readonly maxOutputTokens: number;
  /** Predicted output; at most `maxOutputTokens`. */
  readonly expectedOutputTokens: number;
  /** In prompt order; the last part is private to this request or session. */
  readonly parts: readonly PromptPart[];
}

/** The upstream at which a request makes no progress. */
export interface ReplacedUpstream {
  readonly upstreamId: UpstreamId;
  /** The domain whose scheduler granted it. */
  readonly domain: DomainId;
}

/**
 * A stream of which the caller has events. What two software versions write
 * does not fit together, so it goes on only at the version that began it.
 */
export interface BegunStream {
  /** `undefined` if it is not known: only unversioned upstreams fit then. */
  readonly softwareVersion: SoftwareVersion | undefined;
}

/** A request that waits for an upstream. */
export interface WorkItem {
  readonly requestId: RequestId;
  /** The entry that sends it to the upstream. */
  readonly entry: InstanceId;
  readonly service: ServiceId;
  /** Equal for all copies of a request, also for those that its caller sends. */
  readonly fingerprint: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Set if the deployment has workspaces and the route is not public. */
  readonly workspace?: WorkspaceId;
  /** Share of its workspace among those of its priority. @default 1 */
  readonly fairWeight?: number;
  readonly targetLatencyMs: number;
  /** Time since the request arrived; counts against the target. */
  readonly ageMs: number;
  /** Time until the caller or the route times out. */
  readonly remainingMs: number;
  /** Set for requests to model engines. */
  readonly prompt?: PromptSize;
  /** Set if the request continues a stream. */
  readonly begun?: BegunStream;
  /** Upstreams that its entry cannot reach. */
  readonly unreachable?: readonly UpstreamId[];
  /** Upstream processes that want no requests from its entry for now. */
  readonly forbidden?: readonly UpstreamProcessId[];
  /**
   * Domains that its entry knows to be evacuated; its scheduler may not know it
   * yet.
   */
  readonly evacuatedDomains?: readonly DomainId[];
  /** Whether another entry of the region could send it to these upstreams. */
  readonly mayUsePeer?: boolean;
  /** Upstreams that rejected or failed the request before. */
  readonly avoidUpstreams: readonly UpstreamId[];
  /** Whether this is a retry: an upstream received the request before. */
  readonly isRepeat: boolean;
  /**
   * Set if the request runs at an upstream without progress and would move to
   * another one. It is granted at once or not at all.
   */
  readonly replaces?: ReplacedUpstream;
  /** False if its route excludes the region of the scheduler. */
  readonly isAllowedHere: boolean;
  /** Allowed offload regions; empty if it was offloaded from another region. */
  readonly otherRegions: readonly RegionId[];
  /** Domains of this region whose schedulers passed the request on. */
  readonly passedDomains: readonly DomainId[];
}

/** An upstream as described by the platform's list. */
export interface ListedUpstream {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceId;
  /** `host:port`. */
  readonly address: string;
  readonly domain: DomainId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining cold time when the list was read. */
  readonly coldRemainingMs: number;
  /** Start of its process, Unix milliseconds; a later value means a restart. */
  readonly bornAtMs: number;
  /** `UNVERSIONED` if the list names no versions. */
  readonly softwareVersion: SoftwareVersion;
}

/** One reading of the platform's list. */
export interface ListReading {
  readonly upstreams: readonly ListedUpstream[];
  /** When the reading was requested. */
  readonly readAtMs: number;
  /** Maximum age of the list when it is read. */
  readonly lagMs: number;
}

/** Properties of a service that its scheduler needs. */
export interface ServiceTraits {
  /** Requests a second that a cold upstream tolerates; 0 means no limit. */
  readonly coldRequestsPerS: number;
  /** KV cache capacity of one engine in tokens; 0 for plain services. */
  readonly kvCacheTokens: number;
  readonly tokensPerEvent: number;
  /** Time to fetch one cached token from another engine; 0 if it cannot. */
  readonly fetchMsPerToken: number;
}

/** Why a request was refused. */
export type RefusalReason =
  | 'overloaded'
  | 'no_upstream'
  | 'too_large'
  | 'expired'
  | 'retry_budget'
  | 'unscheduled'
  /** No other upstream can take a request in place of its present one. */
  | 'no_replacement'
  /** Its copies, or requests that share a part of its prompt, crash upstreams. */
  | 'quarantined'
  /** The upstream that would be replaced is down, gone or out of reach. */
  | 'upstream_down'
  /** No upstream of the version that began the stream is left, or known. */
  | 'version_gone';

/** The decision of a scheduler on one request. */
export type Decision =
  | {
      readonly kind: 'grant';
      readonly requestId: RequestId;
      readonly entry: InstanceId;
      readonly service: ServiceId;
      /** The domain of the scheduler that granted it. */
      readonly domain: DomainId;
      readonly upstreamId: UpstreamId;
      readonly address: string;
      readonly processId: UpstreamProcessId;
      /** `undefined` if the version of the upstream is not known. */
      readonly softwareVersion?: SoftwareVersion;
      /** Time spent in the scheduler's queue. */
      readonly queuedMs: number;
      /** Expected time to the first answer. */
      readonly expectedMs: number;
      /** Address of the engine from which to fetch the cached prompt prefix. */
      readonly fetchFrom?: string;
      /** Whether the upstream counts as cold. */
      readonly isCold: boolean;
      /** The limit that the upstream has named, as the scheduler knows it. */
      readonly maxRequestsPerS?: number;
      /** Whether the scheduler has been told if there is such a limit. */
      readonly isLimitKnown: boolean;
      /** Rejections a second that the upstream bears, if it says so. */
      readonly maxRejectionsPerS?: number;
    }
  /** The decision is left to the scheduler of another domain of the region. */
  | {
      readonly kind: 'pass';
      readonly requestId: RequestId;
      readonly entry: InstanceId;
      readonly domain: DomainId;
    }
  | {
      readonly kind: 'offload';
      readonly requestId: RequestId;
      readonly entry: InstanceId;
      readonly region: RegionId;
      readonly localWaitMs: number;
      readonly remoteWaitMs: number;
    }
  | {
      readonly kind: 'refuse';
      readonly requestId: RequestId;
      readonly entry: InstanceId;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
      readonly predictedWaitMs: number;
      /** Number of usable upstreams at the time of the decision. */
      readonly usableUpstreams: number;
      /** Number of queued requests at the time of the decision. */
      readonly queueLength: number;
      /** Time for which a similar request would be refused again. */
      readonly closedForMs: number;
      /** Time since the decision; above 0 if it comes from an entry's cache. */
      readonly decisionAgeMs: number;
    };

/** A decision as received by the entry that submitted the request. */
export type SchedulerAnswer = Exclude<Decision, {kind: 'pass'}> & {
  /** The entry that runs the deciding scheduler. */
  readonly scheduler: InstanceId;
  /** How many times the request was passed to another domain. */
  readonly passes: number;
};

/** How a granted request ended. */
export type PlacementOutcome =
  /** The upstream answered with a success. */
  | 'answered'
  /** The upstream ran it and answered with a failure. */
  | 'failed'
  /** The connection closed before the answer was complete. */
  | 'broken'
  /** The upstream answered that it did not run the request. */
  | 'rejected'
  /** No connection could be opened. */
  | 'unreachable'
  /** The upstream sent nothing before the timeout. */
  | 'silent'
  /** The caller left, or the entry did not use the grant. */
  | 'cancelled';

/** The end of a placement. */
export interface Release {
  readonly requestId: RequestId;
  readonly upstreamId: UpstreamId;
  readonly outcome: PlacementOutcome;
  /** Time to the answer or first event; 0 if there was none. */
  readonly firstAnswerMs: number;
  /** Time from sending to the end. */
  readonly totalMs: number;
}

/** A placement that an earlier scheduler may have granted. */
export interface RunningPlacement {
  readonly item: WorkItem;
  readonly upstreamId: UpstreamId;
}

/** What an upstream says in a response of how much it bears, if anything. */
export interface NamedLimits {
  /**
   * Whether a limit that it does not name has ended. A rejection or a failure
   * need not name the limits that hold.
   */
  readonly isComplete: boolean;
  /** Requests a second from all instances together. */
  readonly maxRequestsPerS?: number | undefined;
  /** Requests that it may turn away in a second before it falls over. */
  readonly maxRejectionsPerS?: number | undefined;
}

/** A rate limit that an upstream has named. */
export interface UpstreamLimit {
  readonly upstreamId: UpstreamId;
  /** Requests a second from all instances together. */
  readonly maxRequestsPerS: number;
}

/** What an entry knows of the upstreams of one scheduler. */
export interface EntryPlacements {
  /** Its requests that run. */
  readonly placements: readonly RunningPlacement[];
  readonly limits: readonly UpstreamLimit[];
}

/** What a new request of a priority would wait for in a scheduler's queue. */
export interface PriorityLoad {
  /** Holds for this priority and less urgent ones, up to the next load. */
  readonly priority: number;
  /** Queued requests ahead of it. */
  readonly queued: number;
  readonly waitMs: number;
}

/** Capacity of a scheduler's domain, sent to schedulers of other domains. */
export interface CapacityDigest {
  readonly region: RegionId;
  readonly domain: DomainId;
  readonly service: ServiceId;
  readonly upstreams: number;
  /** The software versions of its usable upstreams. */
  readonly softwareVersions?: readonly SoftwareVersion[];
  readonly freeSlots: number;
  /** Rate at which slots become free while all are occupied. */
  readonly slotsFreedPerMs?: number;
  /** Tokens free for further requests. */
  readonly freeTokens: number;
  /** Predicted queue wait of a new request of the lowest priority. */
  readonly waitMs: number;
  /** The loads for requests that overtake others, most urgent first. */
  readonly loads?: readonly PriorityLoad[];
  /** Share of the engines' time that prefill takes; above 1 when overloaded. */
  readonly readShare: number;
  /** Slots of its usable upstreams. */
  readonly slots?: number;
  /** Foreseen use in the next second. */
  readonly load?: DomainLoad;
  /**
   * Keys of the shared prompt parts that its engines hold. Left out of most
   * digests; the last ones hold until then.
   */
  readonly heldParts?: readonly string[];
}
