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
/** So many samples in a row must be late; one is a pause, as for garbage. */
const STANDING_SAMPLES = 2;
/** Factor for the admitted share at each sample above the maximum. */
const DECREASE = 0.85;
/** Added to the admitted share at each sample below it. */
const INCREASE = 0.03;
/** A priority with less, decayed, is forgotten. */
const FORGOTTEN_ARRIVALS = 0.01;
const MIN_SHARE = 0.05;
/** If half of the callers of a priority are refused. */
const HALF_RETRY_MS = 1_000;
const MAX_RETRY_MS = 4_000;
/** Share of its requests that each priority keeps under load. */
const PRIORITY_FLOOR_SHARE = 0.05;
/** The mix of priorities is observed over some of these. */
const MIX_HALF_LIFE_MS = 2_000;

/** What a refusal rests on. */
export interface BusyRefusal {
  readonly priority: number;
  /** Of the requests of all priorities. */
  readonly admittedShare: number;
  /** Later, the more of its priority are refused. */
  readonly retryAfterMs: number;
}

interface PriorityLoad {
  readonly priority: number;
  readonly arrivals: DecayedSum;
  /** Grows by the admitted share with each request; one costs 1. */
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

  /** Takes a sample; they come at a fixed pace. */
  noteSample({delayMs, utilization}: LoadSample): void {
    const isBusy = utilization >= BUSY_UTILIZATION;
    const standingMs = isBusy ? delayMs : 0;
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

  /** Counts a new request; returns why it is refused, or `undefined`. */
  refuse(priority: number, nowMs: number): BusyRefusal | undefined {
    const load = this.loadOf(priority, nowMs);
    load.arrivals.add(1, nowMs);
    if (this.share >= 1) {
      load.credit = 1;
      return undefined;
    }
    const share = this.shareOf(load, nowMs);
    load.credit += share;
    if (load.credit >= 1) {
      load.credit -= 1;
      return undefined;
    }
    return {
      priority,
      admittedShare: Number(this.share.toFixed(2)),
      retryAfterMs: Math.round(
        Math.min(MAX_RETRY_MS, HALF_RETRY_MS / (2 * share)),
      ),
    };
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

  private loadOf(priority: number, nowMs: number): PriorityLoad {
    const known = this.loads.find(each => each.priority === priority);
    if (known !== undefined) return known;
    const arrivals = new DecayedSum(MIX_HALF_LIFE_MS);
    const created = {priority, arrivals, credit: 1};
    const recent = this.loads.filter(
      each => each.arrivals.valueAt(nowMs) > FORGOTTEN_ARRIVALS,
    );
    this.loads = [...recent, created];
    return created;
  }
}
