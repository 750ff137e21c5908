/**
 * The interface between the dispatcher and plain services: a request is sent at
 * most once, and the outcome says whether it ran.
 */
import type {GatewayError} from '../../types/errors.js';
import type {Digest, UpstreamId} from '../../types/ids.js';

/** A worker of a plain service. */
export interface ServiceTarget {
  readonly upstreamId: UpstreamId;
  /** `host:port`. */
  readonly address: string;
}

/** A request to a plain service. Header names are in lower case. */
export interface ServiceRequest {
  readonly method: string;
  /** Path with query, starting with `/`. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** The complete answer of a plain service. Header names are in lower case. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Missing if the body exceeds the maximum size of a returned body. */
  readonly body?: Uint8Array;
  readonly bodyDigest: Digest;
  readonly bodySizeBytes: number;
}

/**
 * The result of a dispatch. `not_run`: the upstream refused the request before
 * running it, or the connection failed. `unknown`: part of the request may have
 * been sent, but no complete answer was received.
 */
export type DispatchOutcome =
  | {readonly kind: 'answered'; readonly answer: ServiceAnswer}
  | {readonly kind: 'not_run'; readonly error: GatewayError}
  | {readonly kind: 'unknown'; readonly error: GatewayError};

/** A client for plain services. */
export abstract class ServiceUpstream {
  /**
   * Sends a request at most once and never rejects. `deadlineAtMs` is on the
   * monotonic clock; the request is aborted then.
   */
  abstract dispatch(
    target: ServiceTarget,
    request: ServiceRequest,
    deadlineAtMs: number,
  ): Promise<DispatchOutcome>;

  /** Closes connections; requests in flight finish first. */
  abstract close(): Promise<void>;
}
