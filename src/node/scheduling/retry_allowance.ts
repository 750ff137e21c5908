/** Bounds how many arrivals at upstreams are repeats of earlier ones. */

const SLOTS_PER_WINDOW = 10;

export interface RetryAllowanceOptions {
  readonly windowMs: number;
  /** Repeats allowed for each request in the window. */
  readonly ratio: number;
  /** Repeats allowed on top of that, for this scheduler alone. */
  readonly slack: number;
}

interface Slot {
  readonly number: number;
  requests: number;
  repeats: number;
}

/** Counts requests and repeats over a sliding window. */
export class RetryAllowance {
  private slots: Slot[] = [];

  constructor(private readonly options: RetryAllowanceOptions) {}

  noteRequest(nowMs: number): void {
    this.slotAt(nowMs).requests += 1;
  }

  noteRepeat(nowMs: number): void {
    this.slotAt(nowMs).repeats += 1;
  }

  /** Whether one more repeat stays within the allowance. */
  allowsRepeat(nowMs: number): boolean {
    const {ratio, slack} = this.options;
    this.slotAt(nowMs);
    const requests = this.slots.reduce((sum, slot) => sum + slot.requests, 0);
    const repeats = this.slots.reduce((sum, slot) => sum + slot.repeats, 0);
    return repeats + 1 <= ratio * requests + slack;
  }

  private slotAt(nowMs: number): Slot {
    const lengthMs = this.options.windowMs / SLOTS_PER_WINDOW;
    const number = Math.floor(nowMs / lengthMs);
    // One more slot than the window holds, as the oldest is partly inside.
    this.slots = this.slots.filter(
      slot => slot.number >= number - SLOTS_PER_WINDOW,
    );
    const last = this.slots.at(-1);
    if (last?.number === number) return last;
    const slot: Slot = {number, requests: 0, repeats: 0};
    this.slots.push(slot);
    return slot;
  }
}
