/** Interface to the platform's data on upstreams; an adapter implements it. */
import type {ListedUpstream} from '../scheduling/types.js';
import type {DomainId, UpstreamId} from '../types/ids.js';

/** The health check answer of a healthy upstream. */
export interface HealthAnswer {
  /** The upstream that answered; the address may have been reassigned. */
  readonly upstreamId: UpstreamId | undefined;
  /** Remaining cold time; 0 if it is warm. */
  readonly coldRemainingMs: number;
}

/** Reads the platform's list of upstreams and checks their health. */
export abstract class UpstreamFeed {
  /** Maximum age of the list when it is read. */
  abstract readonly lagMs: number;

  /** Lists the upstreams of a domain. Rejects if the list cannot be read. */
  abstract list(domain: DomainId): Promise<readonly ListedUpstream[]>;

  /** Resolves with `undefined` if the upstream is not healthy. */
  abstract health(
    address: string,
    path: string,
  ): Promise<HealthAnswer | undefined>;
}
