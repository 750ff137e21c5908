/** Measures the share of the engines' time that prefill takes. */
import type {PromptEstimates} from './prompt_estimates.js';
import type {WorkItem} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/** Time constant of the moving average of the demand. */
const WINDOW_MS = 1_500;

/** Moving average of the prefill demand of arrivals, in engines. */
export class PrefillLoad {
  private demand = 0;
  private atMs = 0;

  noteArrival(item: WorkItem, estimates: PromptEstimates, nowMs: number): void {
    const prefillMs = estimates.minPrefillMs(item, nowMs);
    this.demand = this.current(nowMs) + prefillMs / WINDOW_MS;
    this.atMs = nowMs;
  }

  /** Demand over the capacity of the usable engines; 0 without engines. */
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
