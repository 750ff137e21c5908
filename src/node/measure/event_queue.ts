/** Virtual time: one queue of events, ordered by time and then by insertion. */

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** A binary heap of events and the current time. */
export class EventQueue {
  private readonly heap: Event[] = [];
  private order = 0;
  private currentMs = 0;

  get nowMs(): number {
    return this.currentMs;
  }

  /** Runs `run` after a delay of virtual time. */
  after(delayMs: number, run: () => void): void {
    const event = {
      atMs: this.currentMs + Math.max(0, delayMs),
      order: this.order++,
      run,
    };
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
  }

  /** Runs `run` now and then at an interval. */
  every(intervalMs: number, run: () => void): void {
    run();
    this.after(intervalMs, () => this.every(intervalMs, run));
  }

  /** Runs all events up to a time. */
  runUntil(endMs: number): void {
    while (this.heap[0] !== undefined && this.heap[0].atMs <= endMs) {
      const event = this.pop();
      this.currentMs = event.atMs;
      event.run();
    }
    this.currentMs = endMs;
  }

  private pop(): Event {
    const first = this.heap[0] as Event;
    const last = this.heap.pop() as Event;
    if (this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
    return first;
  }

  private siftUp(index: number): void {
    const event = this.heap[index] as Event;
    let at = index;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(event, this.heap[parent] as Event)) break;
      this.heap[at] = this.heap[parent] as Event;
      at = parent;
    }
    this.heap[at] = event;
  }

  private siftDown(index: number): void {
    const event = this.heap[index] as Event;
    let at = index;
    for (;;) {
      const left = 2 * at + 1;
      const right = left + 1;
      if (left >= this.heap.length) break;
      const isRightFirst =
        right < this.heap.length &&
        isBefore(this.heap[right] as Event, this.heap[left] as Event);
      const child = isRightFirst ? right : left;
      if (!isBefore(this.heap[child] as Event, event)) break;
      this.heap[at] = this.heap[child] as Event;
      at = child;
    }
    this.heap[at] = event;
  }
}
