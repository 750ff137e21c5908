/** Chooses the upstream of one request among those that may take it. */
import type {LongPromptLane} from './long_prompt_lane.js';
import type {UpstreamState} from './upstream_state.js';
import type {WorkItem} from './types.js';

/** What a full set of slots adds to the cost of an upstream. */
const OCCUPANCY_COST_MS = 60;
/** What an engine that reads long prompts costs a stream with a short one. */
const LANE_COST_MS = 300;
/** What an upstream that failed all its latest requests costs. */
const FAILURE_COST_MS = 1_500;

/**
 * The upstream with the lowest expected time to the first answer, corrected by
 * its occupancy, by how many of its latest requests failed, and by the long
 * prompts that would stretch the pauses of a stream.
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
  const untried = open.filter(
    each => !item.avoidUpstreams.includes(each.listed.upstreamId),
  );
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

/** Whether the request has failed on each of the upstreams before. */
export function hasFailedOn(
  {avoidUpstreams}: WorkItem,
  upstreams: readonly UpstreamState[],
): boolean {
  return (
    avoidUpstreams.length > 0 &&
    upstreams.every(each => avoidUpstreams.includes(each.listed.upstreamId))
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
