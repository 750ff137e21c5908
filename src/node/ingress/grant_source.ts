/**
 * Acquires upstreams from the schedulers, and checks each grant against what the
 * upstreams have told this entry. A scheduler may have been told less: it may have
 * taken over, or dropped an upstream that was missing from the list for a while.
 */
import type {SchedulerClient} from '../dispatch/scheduler_client.js';
import type {UpstreamLimits} from '../dispatch/upstream_limits.js';
import type {UpstreamNotices} from '../dispatch/upstream_notices.js';
import type {SchedulerAnswer, WorkItem} from '../scheduling/types.js';
import {cancelGrant, type Grant} from './upstream_try.js';

export interface GrantSourceOptions {
  readonly scheduler: Pick<
    SchedulerClient,
    'acquire' | 'release' | 'reportLimits'
  >;
  readonly limits: Pick<UpstreamLimits, 'maxRequestsPerS'>;
  readonly notices: Pick<UpstreamNotices, 'forbids'>;
}

/** The source of grants of one entry. */
export class GrantSource {
  constructor(private readonly options: GrantSourceOptions) {}

  /** Resolves with the decision on a request; `nextItem` describes each try. */
  async acquire(
    nextItem: () => WorkItem,
    signal: AbortSignal,
  ): Promise<SchedulerAnswer> {
    const {scheduler, notices} = this.options;
    const decision = await scheduler.acquire(nextItem(), signal);
    if (decision.kind !== 'grant') return decision;
    const unknownLimitPerS = this.unknownLimitPerS(decision);
    if (unknownLimitPerS !== undefined) {
      // Before the grant is cancelled, as the scheduler ignores reports on others.
      scheduler.reportLimits(decision, {
        maxRequestsPerS: unknownLimitPerS,
        isComplete: false,
      });
    }
    // The upstream may have turned away another request since the question.
    const isForbidden = notices.forbids(decision.processId);
    if (unknownLimitPerS === undefined && !isForbidden) return decision;
    cancelGrant(scheduler, decision);
    return this.acquire(nextItem, signal);
  }

  /** The limit that the upstream has told this entry and not the scheduler. */
  private unknownLimitPerS(grant: Grant): number | undefined {
    const isKnown = grant.isLimitKnown || grant.maxRequestsPerS !== undefined;
    return isKnown
      ? undefined
      : this.options.limits.maxRequestsPerS(grant.upstreamId);
  }
}
