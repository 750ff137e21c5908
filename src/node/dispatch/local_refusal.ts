/** Refusals that an entry decides without a scheduler. */
import type {
  RefusalReason,
  SchedulerAnswer,
  WorkItem,
} from '../scheduling/types.js';
import type {DomainId, InstanceId} from '../types/ids.js';

/** A request for which no scheduler has decided. */
export interface UndecidedRequest {
  readonly item: WorkItem;
  readonly scheduler: InstanceId;
  readonly passedDomains: readonly DomainId[];
}

/** Builds a refusal that this entry decides without a scheduler. */
export function localRefusal(
  {item, scheduler, passedDomains}: UndecidedRequest,
  reason: RefusalReason,
  retryAfterMs: number,
): SchedulerAnswer {
  return {
    kind: 'refuse',
    requestId: item.requestId,
    entry: item.entry,
    scheduler,
    passes: passedDomains.length,
    reason,
    retryAfterMs,
    predictedWaitMs: 0,
    usableUpstreams: 0,
    queueLength: 0,
    closedForMs: 0,
    decisionAgeMs: 0,
  };
}
