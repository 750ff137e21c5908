/** What the platform tells about upstreams; an adapter implements it. */
import type {ListedUpstream} from '../scheduling/types.js';
import type {DomainId, UpstreamId} from '../types/ids.js';

/** The answer of an upstream that is healthy. */
export interface HealthAnswer {
  /** Who answered; another one may use the address by now. */
  readonly upstreamId: UpstreamId | undefined;
  /** How long it stays cold; 0 if it is warm. */
  readonly coldRemainingMs: number;
}

/** Reads the platform's list and the upstreams' health. */
export abstract class UpstreamFeed {
  /** How old the list may be when it is read. */
  abstract readonly lagMs: number;

  /** The upstreams of a domain. Rejects if the list cannot be read. */
  abstract list(domain: DomainId): Promise<readonly ListedUpstream[]>;

  /** Resolves with `undefined` if the upstream is not healthy. */
  abstract health(
    address: string,
    path: string,
  ): Promise<HealthAnswer | undefined>;
}
