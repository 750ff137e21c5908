/** Notices that an upstream sends nothing while a request waits for it. */
import {monotonicNowMs} from '../clock/clock.js';

const CHECK_INTERVAL_MS = 200;
/** Silence after which the upstream is probed. */
const SUSPECT_AFTER_MS = 500;
/** Silence after which a request that can be repeated leaves the upstream. */
const GIVE_UP_AFTER_MS = 1_100;

export interface StallWatchOptions {
  /** Silence that is to be expected before the first byte. */
  readonly expectedMs: number;
  /** When bytes last arrived; 0 before the first ones. */
  readonly lastBytesAtMs: () => number;
  readonly onSuspect: () => void;
  /** Left out for requests that must not be repeated. */
  readonly onGiveUp?: () => void;
}

/** Watches one exchange until it is stopped. */
export class StallWatch {
  private readonly startedAtMs = monotonicNowMs();
  private readonly timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  private suspectedAtMs = 0;

  constructor(private readonly options: StallWatchOptions) {}

  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const {expectedMs, lastBytesAtMs, onSuspect, onGiveUp} = this.options;
    const nowMs = monotonicNowMs();
    const lastMs = lastBytesAtMs();
    const dueMs = lastMs > 0 ? lastMs : this.startedAtMs + expectedMs;
    const silentMs = nowMs - dueMs;
    if (silentMs > SUSPECT_AFTER_MS && this.suspectedAtMs < dueMs) {
      this.suspectedAtMs = nowMs;
      onSuspect();
    }
    if (silentMs <= GIVE_UP_AFTER_MS || onGiveUp === undefined) return;
    this.stop();
    onGiveUp();
  }
}
