/**
 * Acquires upstreams from the schedulers, keeps retries to this entry's share of the
 * budget, and checks each grant against what the upstreams have told this entry. A scheduler may have been told less: it may have
 * taken over, or dropped an upstream that was missing from the list for a while.
 */
import type {SchedulerClient} from '../dispatch/scheduler_client.js';
import type {UpstreamLimits} from '../dispatch/upstream_limits.js';
import type {UpstreamNotices} from '../dispatch/upstream_notices.js';
import {localRefusal} from '../dispatch/local_decisions.js';
import type {SchedulerAnswer, WorkItem} from '../scheduling/types.js';
import type {RetryShares} from './retry_shares.js';
import {cancelGrant, type Grant} from './upstream_try.js';

export interface GrantSourceOptions {
  readonly scheduler: Pick<
    SchedulerClient,
    'acquire' | 'release' | 'reportLimits'
  >;
  readonly limits: Pick<UpstreamLimits, 'maxRequestsPerS'>;
  readonly notices: Pick<UpstreamNotices, 'forbids'>;
  readonly retryShares: Pick<
    RetryShares,
    'allowsRetry' | 'noteRequest' | 'noteRetry' | 'noteRefusal'
  >;
}

/** The source of grants of one request. */
export class GrantSource {
  private isCounted = false;

  constructor(private readonly options: GrantSourceOptions) {}

  /** Resolves with the decision on a request; `nextItem` describes each try. */
  async acquire(
    nextItem: () => WorkItem,
    signal: AbortSignal,
  ): Promise<SchedulerAnswer> {
    const {scheduler, notices} = this.options;
    const item = nextItem();
    if (this.isOverShare(item)) return this.refuse(item);
    const decision = await scheduler.acquire(item, signal);
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
    if (unknownLimitPerS !== undefined || isForbidden) {
      cancelGrant(scheduler, decision);
      return this.acquire(nextItem, signal);
    }
    // Other retries may have been granted since the question.
    if (this.isOverShare(item)) {
      cancelGrant(scheduler, decision);
      return this.refuse(item);
    }
    this.count(item);
    return decision;
  }

  private isOverShare({isRepeat, service}: WorkItem): boolean {
    return isRepeat && !this.options.retryShares.allowsRetry(service);
  }

  private refuse(item: WorkItem): SchedulerAnswer {
    this.options.retryShares.noteRefusal(item.service);
    const undecided = {item, scheduler: item.entry, passedDomains: []};
    return localRefusal(undecided, 'retry_budget', 0);
  }

  // A request that could not be sent is granted again, and is still one request.
  private count({isRepeat, service}: WorkItem): void {
    const {retryShares} = this.options;
    if (isRepeat) retryShares.noteRetry(service);
    else if (!this.isCounted) retryShares.noteRequest(service);
    this.isCounted = true;
  }

  /** The limit that the upstream has told this entry and not the scheduler. */
  private unknownLimitPerS(grant: Grant): number | undefined {
    const isKnown = grant.isLimitKnown || grant.maxRequestsPerS !== undefined;
    return isKnown
      ? undefined
      : this.options.limits.maxRequestsPerS(grant.upstreamId);
  }
}
