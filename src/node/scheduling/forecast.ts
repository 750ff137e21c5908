/** Predicts the queue wait and the time to the first answer at admission. */
import {
  ADMISSION_SHARE_OF_TARGET,
  MAX_PREFILL_BACKLOG_MS,
  NO_UPSTREAM_WAIT_MS,
  WAIT_SHARE_OF_TARGET,
} from './constants.js';
import type {WorkItem} from './types.js';
import type {UpstreamState} from './upstream_state.js';
import type {QueueLoad} from './work_queue.js';

const MS_PER_S = 1_000;

/** The predicted latency of one request. */
export interface Forecast {
  /** Time until an upstream is free for it. */
  readonly waitMs: number;
  /** Time from then to its first answer. */
  readonly answerMs: number;
}

/** Predicts the latency of a request that is queued behind `ahead`. */
export function forecast(
  item: WorkItem,
  ahead: QueueLoad,
  usable: readonly UpstreamState[],
  nowMs: number,
): Forecast {
  const answerMs = Math.min(
    ...usable.map(each =>
      each.isEngine
        ? each.expectedMs(item, nowMs) - each.backlogMs(nowMs)
        : each.meanServiceMs,
    ),
  );
  return {waitMs: queueWaitMs(ahead, usable, nowMs), answerMs};
}

/** Predicts the queue wait of one more request behind `ahead`. */
export function queueWaitMs(
  ahead: QueueLoad,
  usable: readonly UpstreamState[],
  nowMs: number,
): number {
  const [first] = usable;
  if (first === undefined) return NO_UPSTREAM_WAIT_MS;
  const requests = ahead.requests + 1;
  const startWaitMs = Math.max(
    waitForSlotMs(usable, requests, nowMs),
    waitForPaceMs(usable, requests, nowMs),
  );
  if (!first.isEngine) return startWaitMs;
  const backlogMs = Math.min(...usable.map(each => each.backlogMs(nowMs)));
  const backlogWaitMs = Math.max(0, backlogMs - MAX_PREFILL_BACKLOG_MS);
  return Math.max(startWaitMs, backlogWaitMs + ahead.prefillMs / usable.length);
}

/** Time to start `requests` requests while all upstreams are paced. */
function waitForPaceMs(
  usable: readonly UpstreamState[],
  requests: number,
  nowMs: number,
): number {
  const paces = usable.flatMap(each => each.startsPerS(nowMs) ?? []);
  if (paces.length < usable.length) return 0;
  const startsPerS = paces.reduce((sum, each) => sum + each, 0);
  const beyondFirst = Math.max(0, requests - usable.length);
  return (beyondFirst / startsPerS) * MS_PER_S;
}

/** Time until `requests` requests have a slot. */
function waitForSlotMs(
  usable: readonly UpstreamState[],
  requests: number,
  nowMs: number,
): number {
  const freeSlots = usable.reduce(
    (sum, each) => sum + each.openSlots(nowMs),
    0,
  );
  const missing = requests - freeSlots;
  if (missing <= 0) return 0;
  const freedPerMs = usable.reduce(
    (sum, each) => sum + each.slotsFreedPerMs,
    0,
  );
  return missing / freedPerMs;
}

/** Tokens that a request will occupy in the cache of an engine. */
export function tokensOf({prompt}: WorkItem): number {
  return prompt === undefined
    ? 0
    : prompt.promptTokens + prompt.expectedOutputTokens;
}

/**
 * Maximum accepted time to the first answer. A large prompt may exceed its
 * target latency if its queue wait is short.
 */
export function maxFirstAnswerMs(item: WorkItem, answerMs: number): number {
  const {targetLatencyMs, remainingMs} = item;
  return Math.min(
    remainingMs,
    Math.max(
      targetLatencyMs * ADMISSION_SHARE_OF_TARGET,
      targetLatencyMs * WAIT_SHARE_OF_TARGET + answerMs,
    ),
  );
}

/** Whether the first answer is predicted within the accepted time. */
export function isInTime(
  item: WorkItem,
  {waitMs, answerMs}: Forecast,
): boolean {
  const totalMs = item.ageMs + waitMs + answerMs;
  return totalMs <= maxFirstAnswerMs(item, answerMs);
}

/** Whether the upstream is expected to answer before the request's deadline. */
export function canFinish(
  item: WorkItem,
  upstream: UpstreamState,
  nowMs: number,
): boolean {
  return upstream.expectedMs(item, nowMs) < item.remainingMs;
}
