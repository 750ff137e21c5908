/** Creates the reachability of upstreams for an entry. */
import {
  UpstreamReachability,
  type UpstreamReachabilityOptions,
} from '../reachability/upstream_reachability.js';
import type {UpstreamFeed} from '../dispatch/upstream_feed.js';
import type {ConnectionPools} from './connections.js';
import type {UpstreamPaces} from './upstream_pace.js';

interface ReachabilityContext extends Pick<
  UpstreamReachabilityOptions,
  'onCutOff' | 'logger' | 'metrics'
> {
  readonly paces: UpstreamPaces;
  readonly connections: ConnectionPools;
}

export function createReachability(
  feed: UpstreamFeed,
  {paces, connections, ...options}: ReachabilityContext,
): UpstreamReachability {
  return new UpstreamReachability({
    ...options,
    canConnect: address => feed.canConnect(address),
    heardAtMs: upstreamId => paces.progressAtMs(upstreamId),
    onLost: ({address, upstreamId}) => connections.retire(address, upstreamId),
  });
}
