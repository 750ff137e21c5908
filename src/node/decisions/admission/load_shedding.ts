/**
 * Sheds requests that an overloaded process cannot serve in time, before they cost it
 * more than a refusal. Without it, every request of a flood takes processor time until
 * its caller gives up, and hardly any is answered.
 */
import type {LoadSample} from '../../metrics/load_monitor.js';
import {DecayedSum} from './decayed_sum.js';

/**
 * A request takes about ten turns of the event loop here and at its scheduler; this
 * delay of each turn adds a quarter of a second to it.
 */
export const MAX_STANDING_DELAY_MS = 25;
/** An event loop that is idle for more of its time keeps up in spite of delays. */
const BUSY_UTILIZATION = 0.95;
/** A delay that no sample in a row of this length lacks is more than a pause. */
const STANDING_SAMPLES = 2;
/** Factor for the admitted share at each sample above the maximum. */
const DECREASE = 0.85;
/** Added to the admitted share at each sample below it. */
const INCREASE = 0.03;
const MIN_SHARE = 0.05;
/** Time until a refused caller is likely admitted, if half of them are. */
const HALF_RETRY_MS = 1_000;
const MAX_RETRY_MS = 4_000;
/** Share of its requests that each priority keeps under load. */
const PRIORITY_FLOOR_SHARE = 0.05;
/** Time over which the mix of priorities is observed. */
const MIX_MS = 2_000;

interface PriorityLoad {
  readonly priority: number;
  readonly arrivals: DecayedSum;
  /** Part of a request that is admitted but has not arrived yet. */
  credit: number;
}

/** Decides which requests of one process are refused because of its load. */
export class LoadShedding {
  private loads: PriorityLoad[] = [];
  private recentDelaysMs: readonly number[] = [];
  private share = 1;

  /** Share of the requests that are admitted, from 0 to 1. */
  get admittedShare(): number {
    return this.share;
  }

  /** When a refused caller may come back: later, the more callers are refused. */
  get retryMs(): number {
    return Math.min(MAX_RETRY_MS, HALF_RETRY_MS / (2 * this.share));
  }

  /** Takes a sample; they come at a fixed pace. */
  noteSample({delayMs, utilization}: LoadSample): void {
    const standingMs = utilization < BUSY_UTILIZATION ? 0 : delayMs;
    this.recentDelaysMs = [...this.recentDelaysMs, standingMs].slice(
      -STANDING_SAMPLES,
    );
    const isOverloaded =
      this.recentDelaysMs.length === STANDING_SAMPLES &&
      Math.min(...this.recentDelaysMs) > MAX_STANDING_DELAY_MS;
    this.share = isOverloaded
      ? Math.max(MIN_SHARE, this.share * DECREASE)
      : Math.min(1, this.share + INCREASE);
  }

  /** Counts a new request; returns whether it is admitted. */
  admit(priority: number, nowMs: number): boolean {
    const load = this.loadOf(priority);
    load.arrivals.add(1, nowMs);
    if (this.share >= 1) {
      load.credit = 0;
      return true;
    }
    load.credit += this.shareOf(load, nowMs);
    if (load.credit < 1) return false;
    load.credit -= 1;
    return true;
  }

  // More urgent requests use up the admitted share first.
  private shareOf(load: PriorityLoad, nowMs: number): number {
    const sumOf = (loads: readonly PriorityLoad[]): number =>
      loads.reduce((sum, each) => sum + each.arrivals.valueAt(nowMs), 0);
    const urgent = this.loads.filter(each => each.priority < load.priority);
    const left = this.share * sumOf(this.loads) - sumOf(urgent);
    const share = left / Math.max(1, load.arrivals.valueAt(nowMs));
    return Math.min(1, Math.max(PRIORITY_FLOOR_SHARE, share));
  }

  private loadOf(priority: number): PriorityLoad {
    const known = this.loads.find(each => each.priority === priority);
    if (known !== undefined) return known;
    const created = {priority, arrivals: new DecayedSum(MIX_MS), credit: 0};
    this.loads = [...this.loads, created];
    return created;
  }
}
