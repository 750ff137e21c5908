/** How much of the engines' time goes into reading prompts. */
import type {PromptEstimates} from './prompt_estimates.js';
import type {WorkItem} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** Demand is averaged over about this time. */
const WINDOW_MS = 1_500;

/** The reading demand of the latest arrivals, in engines. */
export class PrefillLoad {
  private demand = 0;
  private atMs = 0;

  noteArrival(item: WorkItem, estimates: PromptEstimates, nowMs: number): void {
    const prefillMs = estimates.minPrefillMs(item, nowMs);
    this.demand = this.current(nowMs) + prefillMs / WINDOW_MS;
    this.atMs = nowMs;
  }

  /** Share of the time of all engines, 0 for services without engines. */
  share(usable: readonly UpstreamState[], nowMs: number): number {
    const capacity = usable.reduce(
      (sum, each) => sum + (each.isEngine ? 1 / each.slownessFactor : 0),
      0,
    );
    return capacity === 0 ? 0 : this.current(nowMs) / capacity;
  }

  private current(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.atMs);
    return this.demand * Math.exp(-elapsedMs / WINDOW_MS);
  }
}
