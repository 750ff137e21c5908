/** Chooses the upstream for one request. */
import type {LongPromptLane} from './long_prompt_lane.js';
import {processIdOf} from './upstream_process.js';
import type {UpstreamState} from './upstream_state.js';
import type {WorkItem} from './types.js';

/** Cost of an upstream with all slots occupied; scales with occupancy. */
const OCCUPANCY_COST_MS = 60;
/** Cost of an engine of the long-prompt lane for a short prompt. */
const LANE_COST_MS = 300;
/** Cost of an upstream whose recent requests all failed. */
const FAILURE_COST_MS = 1_500;

/**
 * Returns the upstream with the lowest cost: the expected time to the first
 * answer plus penalties for occupancy, for recent failures, and for long
 * prompts that would lengthen the gaps between the tokens of a stream.
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
  return candidates
    .map(upstream => ({
      upstream,
      costMs: costMs(item, upstream, nowMs) + laneCostMs(upstream),
    }))
    .reduce<{upstream: UpstreamState; costMs: number} | undefined>(
      (best, each) =>
        best === undefined || each.costMs < best.costMs ? each : best,
      undefined,
    )?.upstream;
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

function costMs(
  item: WorkItem,
  upstream: UpstreamState,
  nowMs: number,
): number {
  const occupancy = upstream.running / Math.max(1, upstream.listed.slots);
  return (
    upstream.expectedMs(item, nowMs) +
    occupancy * OCCUPANCY_COST_MS +
    upstream.recentFailureShare(nowMs) * FAILURE_COST_MS
  );
}
