/** Detects that a request makes no progress at its upstream. */
import {monotonicNowMs} from '../clock/clock.js';
import type {ExpectedAnswer, UpstreamPaces} from './upstream_pace.js';

const CHECK_INTERVAL_MS = 200;
/**
 * Other requests progress at the upstream, so the request is most likely only
 * queued; its connection may still be dead. It counts as stalled this much
 * later.
 */
const ACTIVE_UPSTREAM_FACTOR = 2;
/** A gap this many times above its route's target is a stall. */
const TARGET_GAP_FACTOR = 2;
/** Time between two reports on one stalled request. */
const REPORT_INTERVAL_MS = 400;

/** A request that has made no progress for too long. */
export interface Stall {
  /** Time since the answer or the next event was due. */
  readonly silentMs: number;
  /** The limit that it exceeds. */
  readonly limitMs: number;
  /** Whether other requests progress at the same upstream. */
  readonly isUpstreamActive: boolean;
}

export interface StallDetectorOptions extends ExpectedAnswer {
  readonly paces: UpstreamPaces;
  /** Target for the longest gap between events; 0 for plain responses. */
  readonly targetGapMs: number;
  /** When the response last progressed; 0 before the first progress. */
  readonly progressAtMs: () => number;
  /** Called once per stall if nothing else progresses at the upstream. */
  readonly onSuspect: () => void;
  /** Called at intervals while the request is stalled. */
  readonly onStalled: (stall: Stall) => void;
}

/** Monitors one exchange until `stop` is called. */
export class StallDetector {
  private readonly startedAtMs = monotonicNowMs();
  private readonly timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  private suspectedAtMs = 0;
  private reportedAtMs = 0;

  constructor(private readonly options: StallDetectorOptions) {}

  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const {upstreamId, paces, onSuspect, onStalled} = this.options;
    const nowMs = monotonicNowMs();
    const dueMs = this.dueMs(nowMs);
    const silentMs = nowMs - dueMs;
    const stallMs = paces.stallMs(upstreamId, this.usualMs(), nowMs);
    if (silentMs <= stallMs) return;
    const isUpstreamActive = nowMs - paces.progressAtMs(upstreamId) < stallMs;
    if (!isUpstreamActive && this.suspectedAtMs < dueMs) {
      this.suspectedAtMs = nowMs;
      onSuspect();
    }
    const limitMs = stallMs * (isUpstreamActive ? ACTIVE_UPSTREAM_FACTOR : 1);
    const isReported = nowMs - this.reportedAtMs < REPORT_INTERVAL_MS;
    if (silentMs <= limitMs || isReported) return;
    this.reportedAtMs = nowMs;
    onStalled({silentMs, limitMs, isUpstreamActive});
  }

  // Between two events the target of the route applies, before the first one
  // the time that the scheduler expects.
  private usualMs(): number {
    const {expectedMs, targetGapMs, progressAtMs} = this.options;
    return progressAtMs() > 0 ? TARGET_GAP_FACTOR * targetGapMs : expectedMs;
  }

  private dueMs(nowMs: number): number {
    const {paces, progressAtMs} = this.options;
    const lastMs = progressAtMs();
    if (lastMs > 0) return lastMs;
    return this.startedAtMs + paces.firstAnswerMs(this.options, nowMs);
  }
}
