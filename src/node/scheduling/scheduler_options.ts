/** Options of the scheduler of one service in one failure domain. */
import type {CrashEvidence} from '../decisions/quarantine/crash_evidence.js';
import type {DomainId, RegionId, UpstreamId} from '../types/ids.js';
import type {UpstreamCrash} from './crash_watch.js';
import type {RetryBudgetOptions} from './retry_budget.js';
import type {ServiceTraits} from './types.js';
import type {PoolChange} from './pool_changes.js';

export interface SchedulerOptions {
  readonly region: RegionId;
  /** The domain whose upstreams this scheduler assigns. */
  readonly domain: DomainId;
  readonly traits: ServiceTraits;
  readonly retries: RetryBudgetOptions;
  readonly onPoolChange: (change: PoolChange) => void;
  readonly onCrash: (crash: UpstreamCrash) => void;
  /** What crashes upstreams; shared by the schedulers of an instance. */
  readonly evidence: CrashEvidence;
  /** Called when the long-prompt lane changes; `demand` is in engines. */
  readonly onLaneChange: (
    members: readonly UpstreamId[],
    demand: number,
  ) => void;
}
