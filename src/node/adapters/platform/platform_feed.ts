/** The platform's list of upstreams, which may be out of date. */
import type {UpstreamId} from '../../types/ids.js';

/** The state of an upstream in the platform's list. */
export type ListedState = 'live' | 'leaving' | 'gone';

/** A client for the platform's list of upstreams. */
export abstract class PlatformFeed {
  /** Returns the listed upstreams; unlisted ones count as live. */
  abstract listUpstreams(): Promise<ReadonlyMap<UpstreamId, ListedState>>;
}
