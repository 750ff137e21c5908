/** The upstreams and domains that one instance can send requests to. */
import type {DomainId, RegionId} from '../../types/ids.js';
import type {DomainView} from './domain_view.js';
import type {UpstreamView} from './upstream_view.js';

/** The fleet as one instance sees it. */
export interface FleetView {
  readonly domainId: DomainId;
  readonly regionId: RegionId;
  /** The upstreams of the local domain. */
  readonly upstreams: readonly UpstreamView[];
  /** The other domains, in the local region and in other regions. */
  readonly otherDomains: readonly DomainView[];
  /** Live entry instances of the local domain, including this one. */
  readonly liveEntryCount: number;
}
