/**
 * The route table: which service answers a host and path prefix, and what its
 * requests may do. Its proposer numbers it; the highest version is in force.
 */
import type {
  DomainId,
  ModelId,
  RegionId,
  RouteId,
  ServiceId,
} from '../types/ids.js';

/** What may be repeated of a request. */
export type RequestKind =
  /** Idempotent: it may run more than once. */
  | 'idempotent'
  /** It runs at most once for each attempt of the caller. */
  | 'at_most_once'
  /** Answered by a series of events; repeated only where `isResumable`. */
  | 'stream';

/** One service that a route sends a share of its requests to. */
export interface TrafficShare {
  readonly service: ServiceId;
  /** Relative share; 0 or more. */
  readonly weight: number;
}

/** Requests of one host below one path prefix. */
export interface Route {
  readonly name: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting for the whole answer. */
  readonly timeoutMs: number;
  /** Time until the answer, or the first event of a stream. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly TrafficShare[];
  /** Upstreams that one attempt of a caller may be sent to. */
  readonly maxUpstreams: number;
  /** Whether a stream may go on at another upstream. */
  readonly isResumable: boolean;
  /** Longest pause between events; 0 for routes without events. */
  readonly targetGapMs: number;
  /** Regions that may serve and hold the request; empty means all. */
  readonly homeRegions: readonly RegionId[];
}

/** What the engines of a service can hold. */
export interface EngineLimits {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that running requests and cached prompts share. */
  readonly kvCacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  readonly models: readonly ModelId[];
  /** Time in which an engine fetches one token from another; 0 if it cannot. */
  readonly fetchMsPerToken: number;
}

/** A service: the upstreams that answer the same requests. */
export interface ServiceSpec {
  readonly name: ServiceId;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all instances together. */
  readonly maxConnections: number;
  /** How long an upstream stays cold after its start. */
  readonly coldStartMs: number;
  /** Requests a second that a cold upstream tolerates; 0 means no bound. */
  readonly coldRequestsPerS: number;
  /** Set for model engines. */
  readonly engine?: EngineLimits;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the table. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  /** The operator's text, returned unchanged when the table is read. */
  readonly source: string;
}

/** What the control group has decided, at one position of its log. */
export interface ControlState {
  /** Log index of the last change; grows with each. */
  readonly revision: number;
  /** `undefined` until the first table was accepted. */
  readonly table: RouteTable | undefined;
  /** Domains whose upstreams must get nothing. */
  readonly evacuatedDomains: readonly DomainId[];
}

/** What holds before the first change. */
export const EMPTY_CONTROL_STATE: ControlState = {
  revision: 0,
  table: undefined,
  evacuatedDomains: [],
};

/** Whether an attempt that may have run can be sent to an upstream again. */
export function isRepeatable(route: Route): boolean {
  return (
    route.kind === 'idempotent' ||
    (route.kind === 'stream' && route.isResumable)
  );
}

/** Whether a region may serve and hold requests of a route. */
export function allowsRegion(route: Route, region: RegionId): boolean {
  return route.homeRegions.length === 0 || route.homeRegions.includes(region);
}
