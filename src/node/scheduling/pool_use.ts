/** What the upstreams of a domain offer, and how much of it is in use. */
import type {UpstreamState} from './upstream_state.js';

/** Sums over the usable upstreams. */
export interface PoolUse {
  readonly slots: number;
  readonly running: number;
  /** Share of the memory for prompts that is in use; 0 for plain services. */
  readonly memoryShare: number;
  /** Engines, each counted by its speed. */
  readonly engines: number;
  /** Unread prompts of all engines, as time of one of nominal speed. */
  readonly backlogMs: number;
  /** The shortest backlog of an upstream. */
  readonly minBacklogMs: number;
}

export function poolUseOf(
  usable: readonly UpstreamState[],
  nowMs: number,
): PoolUse {
  const engines = usable.filter(each => each.isEngine);
  const backlogsMs = usable.map(each => each.backlogMs(nowMs));
  const capacityTokens = sum(usable.map(each => each.capacityTokens));
  const freeTokens = sum(usable.map(each => each.freeTokens));
  return {
    slots: sum(usable.map(each => each.listed.slots)),
    running: sum(usable.map(each => each.running)),
    memoryShare: capacityTokens === 0 ? 0 : 1 - freeTokens / capacityTokens,
    engines: sum(engines.map(each => 1 / each.slownessFactor)),
    backlogMs: sum(
      usable.map(
        (each, index) => (backlogsMs[index] ?? 0) / each.slownessFactor,
      ),
    ),
    minBacklogMs: usable.length === 0 ? 0 : Math.min(...backlogsMs),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, each) => total + each, 0);
}
