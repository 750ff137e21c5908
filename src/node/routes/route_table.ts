/**
 * The route table: maps a host and path prefix to services, and states how
 * their requests are handled. The proposer assigns the version; the highest
 * version applies.
 */
import type {
  Digest,
  DomainId,
  ModelId,
  RegionId,
  RouteId,
  ServiceId,
  WorkspaceId,
} from '../types/ids.js';

/** Whether and how a request may be retried. */
export type RequestKind =
  /** May run more than once. */
  | 'idempotent'
  /** Runs at most once per attempt of the caller. */
  | 'at_most_once'
  /** Answered by a stream of events; retried only if `isResumable` is set. */
  | 'stream';

/** A service that receives a weighted share of a route's requests. */
export interface TrafficShare {
  readonly service: ServiceId;
  /** Relative weight, 0 or more. */
  readonly weight: number;
}

/** The rules for requests of one host under one path prefix. */
export interface Route {
  readonly name: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Maximum time until the caller has the complete answer. */
  readonly timeoutMs: number;
  /** Target time until the answer, or until the first event of a stream. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly TrafficShare[];
  /** Maximum number of upstreams tried for one attempt of a caller. */
  readonly maxUpstreams: number;
  /** Whether a stream may be resumed at another upstream. */
  readonly isResumable: boolean;
  /** Target for the longest gap between events; 0 for routes without events. */
  readonly targetGapMs: number;
  /** Regions that may serve and store the request; empty means all. */
  readonly homeRegions: readonly RegionId[];
  /** Whether callers need no key although the table has workspaces. */
  readonly isPublic?: boolean;
}

/** The unit in which the quota of a workspace is counted. */
export type QuotaUnit = 'requests' | 'tokens';

/** The rate limit of a workspace, over all entries together. */
export interface WorkspaceQuota {
  readonly unit: QuotaUnit;
  /** Units a second, above 0. */
  readonly ratePerS: number;
  /** Units beyond the rate that may be used at once. */
  readonly burst: number;
  /** Tokens of a request without token counts; for quotas in tokens. */
  readonly plainTokens: number;
}

/** A workspace whose callers identify themselves with a key. */
export interface WorkspaceSpec {
  readonly name: WorkspaceId;
  readonly keyDigests: readonly Digest[];
  /** Goes before the priority of a route; 0 is the most urgent. */
  readonly priority?: number;
  /** Regions that may serve and store its requests; empty means all. */
  readonly homeRegions: readonly RegionId[];
  /** `undefined` if it is not limited. */
  readonly quota?: WorkspaceQuota;
  /** Share of its requests among those of its priority. @default 1 */
  readonly fairWeight?: number;
}

/** Capacity of each model engine of a service. */
export interface EngineLimits {
  /** Requests that can run concurrently. */
  readonly slots: number;
  /** KV cache size in tokens, shared by running requests and cached prompts. */
  readonly kvCacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  readonly models: readonly ModelId[];
  /** Time to fetch one KV cache token from another engine; 0 if unsupported. */
  readonly fetchMsPerToken: number;
}

/** A service: a set of interchangeable upstreams. */
export interface ServiceSpec {
  readonly name: ServiceId;
  readonly healthPath: string;
  /** Connections that one upstream accepts in total from all instances. */
  readonly maxConnections: number;
  /** Duration of the cold phase after an upstream starts. */
  readonly coldStartMs: number;
  /** Requests per second that a cold upstream accepts; 0 means no limit. */
  readonly coldRequestsPerS: number;
  /** Set for model engines. */
  readonly engine?: EngineLimits;
}

/** Size and time limits for the requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the route table. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  /** `undefined` if callers need no keys. */
  readonly workspaces?: readonly WorkspaceSpec[];
  /** The operator's configuration text, returned unchanged on reads. */
  readonly source: string;
}

/** State of the control group at one index of its log. */
export interface ControlState {
  /** Log index of the last change that had an effect. */
  readonly revision: number;
  /** `undefined` until the first table is accepted. */
  readonly table: RouteTable | undefined;
  /** Domains whose upstreams must receive no requests. */
  readonly evacuatedDomains: readonly DomainId[];
  /**
   * Term of the leader that appended the first table with a quota; 0 before. Missing
   * in states that a former version stored, which cannot tell.
   */
  readonly firstQuotaTerm?: number;
}

/** The state before the first change. */
export const EMPTY_CONTROL_STATE: ControlState = {
  revision: 0,
  table: undefined,
  evacuatedDomains: [],
  firstQuotaTerm: 0,
};

/** What log lines say of a state. */
export interface StateSummary {
  readonly revision: number;
  readonly version: number;
  readonly evacuatedDomains: readonly DomainId[];
}

export function summaryOf({
  revision,
  table,
  evacuatedDomains,
}: ControlState): StateSummary {
  return {revision, version: table?.version ?? 0, evacuatedDomains};
}

/** Whether a request that may already have run can be retried. */
export function isRepeatable(route: Route): boolean {
  return (
    route.kind === 'idempotent' ||
    (route.kind === 'stream' && route.isResumable)
  );
}

/** Whether a region may serve and store requests of a route. */
export function allowsRegion(route: Route, region: RegionId): boolean {
  return route.homeRegions.length === 0 || route.homeRegions.includes(region);
}

/**
 * The regions that all routes of a host with home regions have in common, and of
 * these the ones that all workspaces with home regions have in common, if there are
 * any: who asks for the host is not known. `undefined` if no route is bound and the
 * workspaces have no home in common.
 */
export function homesOf(
  {routes, workspaces = []}: Pick<RouteTable, 'routes' | 'workspaces'>,
  host: string,
): readonly RegionId[] | undefined {
  const ofRoutes = commonHomes(routes.filter(route => route.host === host));
  const ofWorkspaces = commonHomes(workspaces);
  if (ofWorkspaces === undefined || ofWorkspaces.length === 0) return ofRoutes;
  const ofBoth = ofRoutes?.filter(region => ofWorkspaces.includes(region));
  return ofBoth?.length === 0 ? ofRoutes : (ofBoth ?? ofWorkspaces);
}

/** The regions common to all that are bound to any; `undefined` if none is. */
function commonHomes(
  bound: readonly {readonly homeRegions: readonly RegionId[]}[],
): readonly RegionId[] | undefined {
  const homes = bound
    .map(each => each.homeRegions)
    .filter(each => each.length > 0);
  const [first] = homes;
  return first?.filter(region => homes.every(each => each.includes(region)));
}
