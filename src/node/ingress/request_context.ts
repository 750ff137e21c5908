/** What all requests of one entry share. */
import type {ResponseEndCheck} from '../dispatch/response_end_check.js';
import type {SchedulerClient} from '../dispatch/scheduler_client.js';
import type {UpstreamLimits} from '../dispatch/upstream_limits.js';
import type {UpstreamNotices} from '../dispatch/upstream_notices.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {OriginRegistry} from '../origins/origin_registry.js';
import type {UpstreamReachability} from '../reachability/upstream_reachability.js';
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';
import type {ConnectionPools} from './connections.js';
import type {EndedTry} from './end_confirmation.js';
import type {MisdirectionCheck} from './misdirection_check.js';
import type {RequestProtocol} from './protocol.js';
import type {RelayClient} from './relay.js';
import type {RequestLog} from './request_log.js';
import type {RetryShares} from './retry_shares.js';
import type {UpstreamPaces} from './upstream_pace.js';

export interface RequestRunContext {
  readonly region: RegionId;
  readonly self: InstanceId;
  readonly protocol: RequestProtocol;
  readonly members: FleetMembers;
  readonly scheduler: SchedulerClient;
  readonly connections: ConnectionPools;
  readonly paces: UpstreamPaces;
  readonly limits: UpstreamLimits;
  readonly retryShares: RetryShares;
  readonly relay: RelayClient;
  readonly reachability: UpstreamReachability;
  readonly notices: UpstreamNotices;
  readonly misdirections: MisdirectionCheck;
  /** The evacuated domains that this entry knows. */
  readonly evacuatedDomains: () => readonly DomainId[];
  readonly origins: Pick<OriginRegistry, 'note' | 'find'>;
  readonly responseEnds: Pick<ResponseEndCheck<EndedTry>, 'check'>;
  readonly log: RequestLog;
  readonly metrics: MetricsRegistry;
}
