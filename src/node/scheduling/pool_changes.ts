/** Reports changes in the assumed state of upstreams. */
import type {InstanceId, UpstreamId} from '../types/ids.js';
import type {UpstreamState} from './upstream_state.js';

/** A change in the assumed state of one upstream, for the log. */
export interface PoolChange {
  readonly kind:
    | 'listed'
    | 'unlisted'
    | 'reborn'
    | 'draining'
    | 'suspected'
    | 'down'
    | 'up'
    | 'limited'
    | 'unlimited'
    | 'brittle'
    | 'not_brittle';
  readonly upstreamId: UpstreamId;
  readonly cause: string;
  /** The entry whose report led to it, if it was one. */
  readonly reporter: InstanceId | undefined;
  readonly coldRemainingMs: number;
}

/** Reports the changes of one pool. */
export class PoolChanges {
  constructor(private readonly onChange: (change: PoolChange) => void) {}

  report(
    kind: PoolChange['kind'],
    {listed: {upstreamId, coldRemainingMs}}: Pick<UpstreamState, 'listed'>,
    cause: string,
    reporter?: InstanceId,
  ): void {
    this.onChange({kind, upstreamId, cause, reporter, coldRemainingMs});
  }

  /** Runs `change` and reports how the limits of the upstream differ then. */
  reportLimits(state: UpstreamState, change: () => void): void {
    const {limit, rejections} = state;
    const rateBefore = limit.maxRequestsPerS;
    const rejectionsBefore = rejections.maxRejectionsPerS;
    change();
    const {maxRequestsPerS} = limit;
    const {maxRejectionsPerS} = rejections;
    if (maxRequestsPerS !== rateBefore) {
      const kind = maxRequestsPerS === undefined ? 'unlimited' : 'limited';
      this.report(kind, state, `${maxRequestsPerS ?? 'no'} limit per s`);
    }
    if (maxRejectionsPerS !== rejectionsBefore) {
      const kind = maxRejectionsPerS === undefined ? 'not_brittle' : 'brittle';
      const cause = `${maxRejectionsPerS ?? 'any'} rejections per s`;
      this.report(kind, state, cause);
    }
  }
}
