/** Decisions that an entry makes without a scheduler. */
import {UNKNOWN_MS} from '../scheduling/offload_planner.js';
import type {
  RefusalReason,
  SchedulerAnswer,
  WorkItem,
} from '../scheduling/types.js';
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';

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

/** Sends a request to another entry, of this region or of another one. */
export function localOffload(
  {requestId, entry}: WorkItem,
  region: RegionId,
): SchedulerAnswer {
  return {
    kind: 'offload',
    requestId,
    entry,
    scheduler: entry,
    passes: 0,
    region,
    localWaitMs: UNKNOWN_MS,
    remoteWaitMs: UNKNOWN_MS,
  };
}
