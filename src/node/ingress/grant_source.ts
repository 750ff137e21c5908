/**
 * Acquires upstreams from the schedulers, keeps retries to this entry's share of the
 * budget, and checks each grant against what this entry knows from upstreams and
 * control members. A scheduler may know less: it may have taken over, dropped an
 * upstream that was missing from the list for a while, or be cut off from the control
 * members.
 */
import {localOffload, localRefusal} from '../dispatch/local_decisions.js';
import type {SchedulerClient} from '../dispatch/scheduler_client.js';
import type {UpstreamLimits} from '../dispatch/upstream_limits.js';
import type {UpstreamNotices} from '../dispatch/upstream_notices.js';
import type {SchedulerAnswer, WorkItem} from '../scheduling/types.js';
import type {DomainId} from '../types/ids.js';
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
  /** The evacuated domains that this entry knows. */
  readonly evacuatedDomains: () => readonly DomainId[];
}

/** Schedulers of the former version ignore the evacuations in a work item. */
const MAX_EVACUATED_GRANTS = 3;
const EVACUATED_RETRY_AFTER_MS = 1_000;

/** The source of grants of one request. */
export class GrantSource {
  private isCounted = false;

  constructor(private readonly options: GrantSourceOptions) {}

  /** Resolves with the decision on a request; `nextItem` describes each try. */
  async acquire(
    nextItem: () => WorkItem,
    signal: AbortSignal,
    evacuatedGrants = 0,
  ): Promise<SchedulerAnswer> {
    const {scheduler, evacuatedDomains} = this.options;
    const item = nextItem();
    if (this.isOverShare(item)) return this.refuse(item);
    const decision = await scheduler.acquire(item, signal);
    if (decision.kind !== 'grant') return decision;
    if (evacuatedDomains().includes(decision.domain)) {
      cancelGrant(scheduler, decision);
      const returned = evacuatedGrants + 1;
      return returned < MAX_EVACUATED_GRANTS
        ? this.acquire(nextItem, signal, returned)
        : withoutScheduler(item, decision);
    }
    if (this.isUnaware(decision)) {
      cancelGrant(scheduler, decision);
      return this.acquire(nextItem, signal, evacuatedGrants);
    }
    // Other retries may have been granted since the question.
    if (this.isOverShare(item)) {
      cancelGrant(scheduler, decision);
      return this.refuse(item);
    }
    this.count(item);
    return decision;
  }

  /** Whether the upstream has told this entry more than its scheduler knew. */
  private isUnaware(grant: Grant): boolean {
    const {scheduler, notices} = this.options;
    const unknownLimitPerS = this.unknownLimitPerS(grant);
    if (unknownLimitPerS !== undefined) {
      // Before the grant is cancelled, as the scheduler ignores reports on others.
      scheduler.reportLimits(grant, {
        maxRequestsPerS: unknownLimitPerS,
        isComplete: false,
      });
    }
    // The upstream may have turned away another request since the question.
    return unknownLimitPerS !== undefined || notices.forbids(grant.processId);
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

/** Sends a request to another region, or refuses it, in place of a scheduler. */
function withoutScheduler(
  item: WorkItem,
  {scheduler}: SchedulerAnswer,
): SchedulerAnswer {
  const [region] = item.otherRegions;
  return region === undefined
    ? localRefusal(
        {item, scheduler, passedDomains: []},
        'no_upstream',
        EVACUATED_RETRY_AFTER_MS,
      )
    : localOffload(item, region);
}
