/** Ends the wait of queued requests that can no longer be answered in time. */
import {BASE_FIRST_ANSWER_MS, NO_UPSTREAM_WAIT_MS} from './constants.js';
import {maxFirstAnswerMs, queueWaitMs} from './forecast.js';
import type {Redirects} from './redirects.js';
import type {Refusals} from './refusals.js';
import {maxLateMs} from './return_limits.js';
import type {WorkItem} from './types.js';
import type {UpstreamPool} from './upstream_pool.js';
import type {UpstreamState} from './upstream_state.js';
import type {QueuedItem, QueueLoad, WorkQueue} from './work_queue.js';

/** Predicting the wait of every queued request takes time. */
const PREDICTION_INTERVAL_MS = 200;
/** A wait that is predicted ends only if it would exceed its limit clearly. */
const PREDICTION_MARGIN = 1.2;
export interface OverdueWaitsOptions {
  readonly pool: UpstreamPool;
  readonly queue: WorkQueue;
  readonly redirects: Redirects;
  readonly refusals: Refusals;
}

/** Removes requests from the queue of one scheduler. */
export class OverdueWaits {
  private predictedAtMs = 0;

  constructor(private readonly options: OverdueWaitsOptions) {}

  /** Whether the waits of queued requests are to be predicted now. */
  isPredictionDue(nowMs: number): boolean {
    if (nowMs - this.predictedAtMs < PREDICTION_INTERVAL_MS) return false;
    this.predictedAtMs = nowMs;
    return true;
  }

  /**
   * Ends the wait of a request if it was too long, or if that is certain. The
   * load `ahead` of it is set if its wait is to be predicted. `usable` are the
   * upstreams that may run it.
   */
  end(
    queued: QueuedItem,
    usable: readonly UpstreamState[],
    ahead: QueueLoad | undefined,
    nowMs: number,
  ): void {
    const {queue, redirects, refusals} = this.options;
    const {item, queuedAtMs} = queued;
    const queuedMs = nowMs - queuedAtMs;
    const hasNone = usable.length === 0;
    if (hasNone && this.passOn(item, nowMs)) {
      queue.remove(item.requestId);
      return;
    }
    const hasNoUpstream = hasNone && queuedMs > NO_UPSTREAM_WAIT_MS;
    const isLate = isOverdue(queued, usable, ahead, nowMs);
    if (!hasNoUpstream && !isLate) return;
    queue.remove(item.requestId);
    const aged = {
      ...item,
      ageMs: item.ageMs + queuedMs,
      remainingMs: item.remainingMs - queuedMs,
    };
    if (redirects.toFaster(aged, Number.POSITIVE_INFINITY, nowMs)) return;
    if (hasNoUpstream) {
      refusals.addWithoutUpstream(item, nowMs);
      return;
    }
    const waitMs = queueWaitMs(queue.aheadOf(item, nowMs), usable, nowMs);
    refusals.addOverloaded(aged, waitMs, nowMs);
  }

  /** Leaves the request to another entry or domain that has upstreams. */
  private passOn(item: WorkItem, nowMs: number): boolean {
    const {pool, redirects} = this.options;
    const isOutOfReach = pool.isOnlyOutOfReach(item, nowMs);
    return (
      (isOutOfReach && redirects.toPeer(item, nowMs)) ||
      redirects.toSibling(item, nowMs)
    );
  }
}

function isOverdue(
  queued: QueuedItem,
  usable: readonly UpstreamState[],
  ahead: QueueLoad | undefined,
  nowMs: number,
): boolean {
  const {item, queuedAtMs, isReturn} = queued;
  const waitedMs = item.ageMs + nowMs - queuedAtMs;
  const answerMs = answerMsOf(queued, usable);
  const limitMs =
    isReturn === true ? maxLateMs(item) : maxFirstAnswerMs(item, answerMs);
  if (waitedMs + answerMs > limitMs) return true;
  if (ahead === undefined || usable.length === 0) return false;
  const waitMs = queueWaitMs(ahead, usable, nowMs);
  return waitedMs + waitMs + answerMs > limitMs * PREDICTION_MARGIN;
}

/** Time to the first answer from the start, without any wait. */
function answerMsOf(
  {prefillMs}: QueuedItem,
  usable: readonly UpstreamState[],
): number {
  const [first] = usable;
  if (first === undefined) return 0;
  return first.isEngine
    ? prefillMs + BASE_FIRST_ANSWER_MS
    : Math.min(...usable.map(each => each.meanServiceMs));
}
