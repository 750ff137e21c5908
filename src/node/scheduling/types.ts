/** What the scheduler of one service in one failure domain works with. */
import type {
  DomainId,
  InstanceId,
  RegionId,
  RequestId,
  ServiceId,
  UpstreamId,
} from '../types/ids.js';

/** One part of a prompt that engines may hold in their cache. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** The prompt of a request to a model engine. */
export interface PromptSize {
  readonly promptTokens: number;
  /** Output that the caller allows. */
  readonly maxOutputTokens: number;
  /** Output that is likely; at most `maxOutputTokens`. */
  readonly expectedOutputTokens: number;
  /** In order; the last one belongs to this request or its session alone. */
  readonly parts: readonly PromptPart[];
}

/** A request that waits for an upstream. */
export interface WorkItem {
  readonly requestId: RequestId;
  /** The entry that will send it. */
  readonly entry: InstanceId;
  readonly service: ServiceId;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targetLatencyMs: number;
  /** How much of the target has passed already. */
  readonly ageMs: number;
  /** Until the caller or the route gives up. */
  readonly remainingMs: number;
  /** Set for requests to model engines. */
  readonly prompt?: PromptSize;
  /** Upstreams that refused or failed it before. */
  readonly avoidUpstreams: readonly UpstreamId[];
  /** Whether an upstream got this attempt before. */
  readonly isRepeat: boolean;
  /** False if its route keeps it out of the region of the scheduler. */
  readonly isAllowedHere: boolean;
  /** Regions that it may be sent on to; empty if it came from another one. */
  readonly otherRegions: readonly RegionId[];
  /** Domains of this region whose schedulers passed it on. */
  readonly passedDomains: readonly DomainId[];
}

/** An upstream as the platform's list describes it. */
export interface ListedUpstream {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceId;
  /** `host:port`. */
  readonly address: string;
  readonly domain: DomainId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** How long it stays cold, as of the reading. */
  readonly coldRemainingMs: number;
  /** Start of its process, Unix milliseconds; marks a new lifetime. */
  readonly bornAtMs: number;
}

/** What the scheduler knows of the service itself. */
export interface ServiceTraits {
  /** Requests a second that a cold upstream tolerates; 0 means no bound. */
  readonly coldRequestsPerS: number;
  /** Tokens that one engine holds; 0 for plain services. */
  readonly kvCacheTokens: number;
  readonly tokensPerEvent: number;
  /** Time in which an engine fetches one token from another; 0 if it cannot. */
  readonly fetchMsPerToken: number;
}

/** Why a request was not given an upstream. */
export type RefusalReason =
  | 'overloaded'
  | 'no_upstream'
  | 'too_large'
  | 'expired'
  | 'retry_budget'
  | 'unscheduled';

/** What the scheduler decides on one request. */
export type Decision =
  | {
      readonly kind: 'grant';
      readonly requestId: RequestId;
      readonly entry: InstanceId;
      readonly service: ServiceId;
      /** The domain whose scheduler granted it. */
      readonly domain: DomainId;
      readonly upstreamId: UpstreamId;
      readonly address: string;
      /** Wait in the scheduler's queue. */
      readonly queuedMs: number;
      /** First answer expected after this time. */
      readonly expectedMs: number;
      /** Address of the engine from which it fetches the prompt's beginning. */
      readonly fetchFrom?: string;
      /** Whether the upstream counts as cold. */
      readonly isCold: boolean;
    }
  /** The scheduler of another domain of the region decides. */
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
      /** Upstreams that the decision could choose from. */
      readonly usableUpstreams: number;
      /** Requests that waited at the time. */
      readonly queueLength: number;
      /** A request like this one would be refused again for so long. */
      readonly closedForMs: number;
      /** Since the scheduler decided; above 0 if an entry remembered it. */
      readonly decisionAgeMs: number;
    };

/** A decision, as the entry that asked for it got it. */
export type SchedulerAnswer = Exclude<Decision, {kind: 'pass'}> & {
  /** The entry whose scheduler decided. */
  readonly scheduler: InstanceId;
  /** How often schedulers passed the request on. */
  readonly passes: number;
};

/** How a granted request ended. */
export type PlacementOutcome =
  /** The upstream answered with a success. */
  | 'answered'
  /** The upstream ran it and answered with a failure. */
  | 'failed'
  /** The connection ended before the answer did. */
  | 'broken'
  /** The upstream said that it did not run it. */
  | 'rejected'
  /** No connection could be opened. */
  | 'unreachable'
  /** Nothing came in time. */
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

/** A placement that began under an earlier scheduler. */
export interface RunningPlacement {
  readonly item: WorkItem;
  readonly upstreamId: UpstreamId;
}

/** What a scheduler tells those of the other domains. */
export interface CapacityDigest {
  readonly region: RegionId;
  readonly domain: DomainId;
  readonly service: ServiceId;
  readonly upstreams: number;
  readonly freeSlots: number;
  /** Tokens that further requests may occupy. */
  readonly freeTokens: number;
  /** Wait of a new request of the least urgent kind. */
  readonly waitMs: number;
  /** Share of the engines' time that reading prompts takes; 0 to 1 and more. */
  readonly readShare: number;
}
