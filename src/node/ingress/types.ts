/** Shared types of the ingress. */
import type {Route, WorkspaceSpec} from '../routes/route_table.js';
import type {BegunStream} from '../scheduling/types.js';
import type {RequestId, ServiceId, UpstreamId} from '../types/ids.js';
import type {RequestTraits} from './protocol.js';

/** A request that was read completely and matched to a route. */
export interface InboundRequest {
  /** Unique in the whole deployment; contains the caller's attempt id. */
  readonly requestId: RequestId;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** With the priority and home regions that apply to its workspace. */
  readonly route: Route;
  /** `undefined` if the route is public or the table has no workspaces. */
  readonly workspace?: WorkspaceSpec;
  readonly service: ServiceId;
  readonly traits: RequestTraits;
  /** Version of the route table that matched it. */
  readonly tableVersion: number;
  readonly receivedAtMs: number;
  /** The earlier of the caller's and the route's deadline. */
  readonly expiresAtMs: number;
  /** Whether another entry received it from the caller and relayed it here. */
  readonly isRelayed: boolean;
  /** Whether it ran, or may have run, before it was relayed. */
  readonly isRepeat: boolean;
  /** Upstreams at which earlier tries of this request did not succeed. */
  readonly avoidUpstreams: readonly UpstreamId[];
  /** The last event that the caller received. */
  readonly lastEventId: number | undefined;
  /** Set if the caller has events of the stream. */
  readonly begun: BegunStream | undefined;
}

/** Result of one try. */
export type TryResult =
  /** The caller has its final response. */
  | {readonly kind: 'delivered'; readonly status: number}
  /** The request did not run, and this try will not run it later. */
  | {
      readonly kind: 'not_run';
      readonly cause: string;
      readonly retryAfterMs: number;
    }
  /** It ran and failed, or may have run. */
  | {readonly kind: 'failed'; readonly cause: string}
  /** The caller disconnected, or the deadline passed. */
  | {readonly kind: 'aborted'; readonly isSent: boolean};
