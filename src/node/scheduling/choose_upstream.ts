/** Chooses the upstream for one request. */
import type {LongPromptLane} from './long_prompt_lane.js';
import {processIdOf} from './upstream_process.js';
import type {UpstreamState} from './upstream_state.js';
import type {WorkItem} from './types.js';

/** Least cost of an upstream with all slots occupied; scales with occupancy. */
const OCCUPANCY_COST_MS = 60;
/** Callers wait for first answers; the rest must only keep pace with reading. */
const BATCH_COST_SHARE = 0.25;
/** Predictions are less exact than this, so costs that differ by less are equal. */
const TIE_SHARE = 0.1;
const MIN_TIE_MS = 2;
/**
 * An upstream without work gets preference that grows with time: no other answer
 * shows that it has become faster.
 */
const IDLE_CREDIT_SHARE = 0.03;
const MAX_IDLE_CREDIT_MS = 10;
/** Cost of an engine of the long-prompt lane for a short prompt. */
const LANE_COST_MS = 300;
/** Cost, for the most urgent, of an engine of half the usual speed. */
const SLOW_COST_MS = 60;
/** Cost of an upstream whose recent requests all failed. */
const FAILURE_COST_MS = 1_500;

/**
 * Returns the upstream with the lowest cost: the expected time to the first
 * answer plus penalties for what a fuller batch does to the streams in it, for
 * recent failures, and for long prompts that would lengthen the gaps between the
 * tokens of a stream. Among equals, it is the one that has waited longest for work.
 */
export function chooseUpstream(
  item: WorkItem,
  upstreams: readonly UpstreamState[],
  lane: LongPromptLane,
  nowMs: number,
): UpstreamState | undefined {
  const isLong = lane.isLong(item, nowMs);
  const laneCostMs = (each: UpstreamState): number =>
    !isLong && lane.has(each) ? LANE_COST_MS : 0;
  const open = upstreams.filter(each => each.canTake(item, nowMs));
  const untried = untriedOf(item, open);
  const candidates = untried.length > 0 ? untried : open;
  const costs = candidates.map(upstream => ({
    upstream,
    costMs: costMs(item, upstream, nowMs) + laneCostMs(upstream),
  }));
  const lowestMs = Math.min(...costs.map(each => each.costMs));
  const tieMs = Math.max(MIN_TIE_MS, lowestMs * TIE_SHARE);
  return costs
    .filter(each => each.costMs <= lowestMs + tieMs)
    .map(each => each.upstream)
    .reduce<UpstreamState | undefined>(leastRecentlyUsed, undefined);
}

/** The upstreams that its entry may use and whose version may run the request. */
export function fittingOf(
  {begun, unreachable = [], forbidden = [], evacuatedDomains = []}: WorkItem,
  upstreams: readonly UpstreamState[],
): readonly UpstreamState[] {
  const fitting =
    begun === undefined
      ? upstreams
      : upstreams.filter(each => each.mayContinue(begun));
  const excluded = [unreachable, forbidden, evacuatedDomains];
  if (excluded.every(each => each.length === 0)) return fitting;
  return fitting.filter(
    ({listed}) =>
      !unreachable.includes(listed.upstreamId) &&
      !forbidden.includes(processIdOf(listed)) &&
      !evacuatedDomains.includes(listed.domain),
  );
}

/** The upstreams at which the request has not failed. */
export function untriedOf(
  {avoidUpstreams}: WorkItem,
  upstreams: readonly UpstreamState[],
): readonly UpstreamState[] {
  return upstreams.filter(
    each => !avoidUpstreams.includes(each.listed.upstreamId),
  );
}

/** Whether the request has already failed on every one of the upstreams. */
export function hasFailedOn(
  item: WorkItem,
  upstreams: readonly UpstreamState[],
): boolean {
  return (
    item.avoidUpstreams.length > 0 && untriedOf(item, upstreams).length === 0
  );
}

function leastRecentlyUsed(
  best: UpstreamState | undefined,
  each: UpstreamState,
): UpstreamState {
  return best === undefined || each.startedAtMs < best.startedAtMs
    ? each
    : best;
}

function costMs(
  item: WorkItem,
  upstream: UpstreamState,
  nowMs: number,
): number {
  const occupancy = upstream.running / Math.max(1, upstream.listed.slots);
  const batchMs = Math.max(
    occupancy * OCCUPANCY_COST_MS,
    upstream.batchCostMs(item) * BATCH_COST_SHARE,
  );
  return (
    upstream.expectedMs(item, nowMs) +
    slowCostMs(item, upstream) +
    batchMs -
    idleCreditMs(upstream, nowMs) +
    upstream.recentFailureShare(nowMs) * FAILURE_COST_MS
  );
}

// The fast engines are left to the urgent requests, of which the slow ones get
// less: predictions for them err by more, and the batch beside them is slower.
function slowCostMs({priority}: WorkItem, upstream: UpstreamState): number {
  if (!upstream.isEngine) return 0;
  const excess = Math.max(0, upstream.relativeSlowness - 1);
  return (excess * SLOW_COST_MS) / (1 + priority);
}

function idleCreditMs({startedAtMs}: UpstreamState, nowMs: number): number {
  const idleMs = Math.max(0, nowMs - startedAtMs);
  return Math.min(MAX_IDLE_CREDIT_MS, idleMs * IDLE_CREDIT_SHARE);
}
