/** Types that the modules of the ingress share. */
import type {Route} from '../routes/route_table.js';
import type {RequestId, ServiceId, UpstreamId} from '../types/ids.js';
import type {RequestTraits} from './protocol.js';

/** A request that was read whole and matched to a route. */
export interface InboundRequest {
  /** Unique over the system; the caller's attempt id is part of it. */
  readonly requestId: RequestId;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, as they arrived. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly route: Route;
  readonly service: ServiceId;
  readonly traits: RequestTraits;
  /** Version of the route table that it was matched with. */
  readonly tableVersion: number;
  readonly receivedAtMs: number;
  /** When the caller or the route gives up. */
  readonly expiresAtMs: number;
  /** Whether another entry received it from the caller. */
  readonly isRelayed: boolean;
  /** Whether it ran, or may have run, before it was relayed. */
  readonly isRepeat: boolean;
  /** Upstreams that failed it before. */
  readonly avoidUpstreams: readonly UpstreamId[];
  /** The last event that the caller has got. */
  readonly lastEventId: number | undefined;
}

/** What came of one try. */
export type TryResult =
  /** The caller has its final answer. */
  | {readonly kind: 'delivered'; readonly status: number}
  /** The request did not run, and this try never will run it. */
  | {
      readonly kind: 'not_run';
      readonly cause: string;
      readonly retryAfterMs: number;
    }
  /** It ran and failed, or may have run. */
  | {readonly kind: 'failed'; readonly cause: string}
  /** The caller left, or the time was up. */
  | {readonly kind: 'aborted'; readonly isSent: boolean};
