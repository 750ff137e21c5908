/** Detects that an upstream sends nothing while a request waits for it. */
import {monotonicNowMs} from '../clock/clock.js';

const CHECK_INTERVAL_MS = 200;
/** Silence after which the upstream is probed. */
const SUSPECT_AFTER_MS = 500;
/** Silence after which a request that may be retried is abandoned. */
const GIVE_UP_AFTER_MS = 1_100;

export interface StallDetectorOptions {
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  /** When bytes last arrived; 0 before the first byte. */
  readonly lastBytesAtMs: () => number;
  readonly onSuspect: () => void;
  /** Omitted for requests that must not be retried. */
  readonly onGiveUp?: () => void;
}

/** Monitors one exchange until `stop` is called. */
export class StallDetector {
  private readonly startedAtMs = monotonicNowMs();
  private readonly timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  private suspectedAtMs = 0;

  constructor(private readonly options: StallDetectorOptions) {}

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
