/** Interface to the platform's data on upstreams; an adapter implements it. */
import type {ListedUpstream} from '../scheduling/types.js';
import type {DomainId, UpstreamId} from '../types/ids.js';

/** The result of a health check. */
export type HealthResult =
  | {
      readonly kind: 'healthy';
      /** The upstream that answered; the address may have been reassigned. */
      readonly upstreamId: UpstreamId | undefined;
      /** Remaining cold time; 0 if it is warm. */
      readonly coldRemainingMs: number;
    }
  /** Nothing listens at the address: the process of the upstream has ended. */
  | {readonly kind: 'refused'}
  /** No answer in time, or one that reports a failure. */
  | {readonly kind: 'unhealthy'};

/** Whether the process of an upstream lives. */
export type Liveness =
  /** Also if it reports a failure. */
  | {readonly kind: 'alive'; readonly upstreamId: UpstreamId | undefined}
  /** It holds the connection and has not answered in time. */
  | {readonly kind: 'silent'}
  /** Nothing listens at the address. */
  | {readonly kind: 'refused'}
  /** It cannot be reached, or closes connections unanswered. */
  | {readonly kind: 'unknown'};

/** Reads the platform's list of upstreams and checks their health. */
export abstract class UpstreamFeed {
  /** Maximum age of the list when it is read. */
  abstract readonly lagMs: number;

  /** Lists the upstreams of a domain. Rejects if the list cannot be read. */
  abstract list(domain: DomainId): Promise<readonly ListedUpstream[]>;

  /** Checks the health of an upstream; it never rejects. */
  abstract health(address: string, path: string): Promise<HealthResult>;

  /**
   * Whether a process lives at the address, found out within `timeoutMs`; it
   * never rejects. Unlike `health`, any answer will do.
   */
  abstract liveness(
    address: string,
    path: string,
    timeoutMs: number,
  ): Promise<Liveness>;

  /** Whether a new connection to it can be opened; it never rejects. */
  abstract canConnect(address: string): Promise<boolean>;
}
