/** A timer that fires at the earliest of the deadlines it was armed with. */
import {monotonicNowMs} from '../clock/clock.js';

export class DeadlineTimer {
  private timer: ReturnType<typeof setTimeout> | undefined;
  private firesAtMs = Infinity;

  constructor(private readonly onDue: () => void) {}

  /**
   * Makes the timer fire at `deadlineMs` or earlier. A timer that already fires
   * earlier is kept, since deadlines are mostly postponed.
   */
  arm(deadlineMs: number): void {
    if (deadlineMs >= this.firesAtMs) return;
    this.clear();
    this.firesAtMs = deadlineMs;
    const waitMs = Math.max(0, Math.ceil(deadlineMs - monotonicNowMs()));
    this.timer = setTimeout(() => {
      this.firesAtMs = Infinity;
      this.onDue();
    }, waitMs);
  }

  clear(): void {
    clearTimeout(this.timer);
    this.firesAtMs = Infinity;
  }
}
