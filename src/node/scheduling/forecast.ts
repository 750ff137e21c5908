/** What a request has to expect before it is queued. */
import {
  ADMISSION_SHARE_OF_TARGET,
  COLD_RATE_SHARE,
  MAX_PREFILL_BACKLOG_MS,
  NO_UPSTREAM_WAIT_MS,
  WAIT_SHARE_OF_TARGET,
} from './constants.js';
import type {WorkItem} from './types.js';
import type {UpstreamState} from './upstream_state.js';
import type {QueueLoad} from './work_queue.js';

const MS_PER_S = 1_000;

/** The expectation of one request. */
export interface Forecast {
  /** Until an upstream is free for it. */
  readonly waitMs: number;
  /** From then to its first answer. */
  readonly answerMs: number;
}

/** Forecasts a request behind those `ahead` of it. */
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

/** The wait of one more request behind those `ahead` of it. */
export function queueWaitMs(
  ahead: QueueLoad,
  usable: readonly UpstreamState[],
  nowMs: number,
): number {
  const [first] = usable;
  if (first === undefined) return NO_UPSTREAM_WAIT_MS;
  const requests = ahead.requests + 1;
  const startWaitMs = Math.max(
    waitForSlotMs(usable, requests),
    waitForColdMs(usable, requests, nowMs),
  );
  if (!first.isEngine) return startWaitMs;
  const backlogMs = Math.min(...usable.map(each => each.backlogMs(nowMs)));
  const backlogWaitMs = Math.max(0, backlogMs - MAX_PREFILL_BACKLOG_MS);
  return Math.max(startWaitMs, backlogWaitMs + ahead.prefillMs / usable.length);
}

/** Until so many requests were started while all upstreams are cold. */
function waitForColdMs(
  usable: readonly UpstreamState[],
  requests: number,
  nowMs: number,
): number {
  if (!usable.every(each => each.isCold(nowMs))) return 0;
  const startsPerS = usable.reduce(
    (sum, each) => sum + each.traits.coldRequestsPerS * COLD_RATE_SHARE,
    0,
  );
  const beyondFirst = Math.max(0, requests - usable.length);
  return (beyondFirst / startsPerS) * MS_PER_S;
}

/** Until so many requests have a slot, the last one included. */
function waitForSlotMs(
  usable: readonly UpstreamState[],
  requests: number,
): number {
  const freeSlots = usable.reduce((sum, each) => sum + each.freeSlots, 0);
  const missing = requests - freeSlots;
  if (missing <= 0) return 0;
  const freedPerMs = usable.reduce(
    (sum, each) => sum + each.slotsFreedPerMs,
    0,
  );
  return missing / freedPerMs;
}

/** Tokens that a request will occupy. */
export function tokensOf({prompt}: WorkItem): number {
  return prompt === undefined
    ? 0
    : prompt.promptTokens + prompt.expectedOutputTokens;
}

/** Longest time to the first answer that is accepted. A large prompt may take longer than its target if it does not wait. */
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

/** Whether the first answer comes within the target. */
export function isInTime(
  item: WorkItem,
  {waitMs, answerMs}: Forecast,
): boolean {
  const totalMs = item.ageMs + waitMs + answerMs;
  return totalMs <= maxFirstAnswerMs(item, answerMs);
}
