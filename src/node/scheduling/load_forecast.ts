/** Foresees the use of a scheduler's domain from the work that it keeps. */
import {
  AVERAGE_WEIGHT,
  DECODE_MS_PER_TOKEN,
  INITIAL_SERVICE_MS,
  LOAD_HORIZON_MS,
} from './constants.js';
import {DemandRate} from './demand_rate.js';
import type {PoolUse} from './pool_use.js';
import type {DomainLoad, WorkSize} from './placement_cost.js';
import type {WorkItem} from './types.js';

const MIN_HOLD_FACTOR = 0.3;
const MAX_HOLD_FACTOR = 4;

/** The requests that wait in the queue. */
interface QueuedWork {
  readonly requests: number;
  readonly prefillMs: number;
}

/** Load of one domain in the next second. */
export class LoadForecast {
  private readonly requests = new DemandRate();
  private readonly slotMs = new DemandRate();
  private readonly prefillMs = new DemandRate();
  /** Ratio of the times for which slots are held to the predicted ones. */
  private holdFactor = 1;

  /** Counts a request that runs or waits in this domain. */
  noteKept({slotMs, prefillMs}: WorkSize, nowMs: number): void {
    this.requests.note(1, nowMs);
    this.slotMs.note(slotMs, nowMs);
    this.prefillMs.note(prefillMs, nowMs);
  }

  /** Learns from a request that has been answered. */
  noteEnd(item: WorkItem, totalMs: number): void {
    const ratio = totalMs / nominalSlotMs(item);
    const bounded = Math.min(MAX_HOLD_FACTOR, Math.max(MIN_HOLD_FACTOR, ratio));
    this.holdFactor += AVERAGE_WEIGHT * (bounded - this.holdFactor);
  }

  /** Predicted time for which the request holds a slot. */
  slotMsOf(item: WorkItem): number {
    return nominalSlotMs(item) * this.holdFactor;
  }

  /** Foreseen shares of the capacity of the upstreams. */
  foreseen(use: PoolUse, queued: QueuedWork, nowMs: number): DomainLoad {
    if (use.slots === 0) return {slots: 0, prefill: 0};
    const occupied = this.occupiedSlots(use.running + queued.requests, nowMs);
    return {
      slots: Math.max(occupied / use.slots, use.memoryShare),
      prefill: this.prefillShare(use, queued, nowMs),
    };
  }

  // Slots empty at the rate of the mean hold time and fill with what arrives.
  private occupiedSlots(presentSlots: number, nowMs: number): number {
    const requestsPerMs = this.requests.foreseenPerMs(0, nowMs);
    const tendsTo = this.slotMs.foreseenPerMs(LOAD_HORIZON_MS, nowMs);
    if (requestsPerMs === 0) return presentSlots;
    const holdMs = this.slotMs.foreseenPerMs(0, nowMs) / requestsPerMs;
    const remaining = Math.exp(-LOAD_HORIZON_MS / Math.max(1, holdMs));
    return tendsTo + (presentSlots - tendsTo) * remaining;
  }

  private prefillShare(
    {engines, backlogMs}: PoolUse,
    queued: QueuedWork,
    nowMs: number,
  ): number {
    if (engines === 0) return 0;
    const unread = (backlogMs + queued.prefillMs) / LOAD_HORIZON_MS;
    const arriving = this.prefillMs.foreseenPerMs(LOAD_HORIZON_MS, nowMs);
    return (arriving + unread) / engines;
  }
}

function nominalSlotMs({prompt}: WorkItem): number {
  return prompt === undefined
    ? INITIAL_SERVICE_MS
    : Math.max(1, prompt.expectedOutputTokens) * DECODE_MS_PER_TOKEN;
}
