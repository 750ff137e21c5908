/** Pure functions that pace transfers from the weight store. */

/** When all transfers started so far are expected to be complete. */
export interface PacingState {
  /** Local monotonic time; in the past if no transfer is in flight. */
  readonly busyUntilMs: number;
}

/** The state before the first transfer. */
export const IDLE_PACING: PacingState = {busyUntilMs: -Infinity};

/** Whether a transfer may start now: all earlier ones should be complete. */
export function mayTransfer(state: PacingState, nowMs: number): boolean {
  return nowMs >= state.busyUntilMs;
}

/** Adds a transfer that starts now, or after those in flight. */
export function withTransfer(
  state: PacingState,
  sizeBytes: number,
  bytesPerSecond: number,
  nowMs: number,
): PacingState {
  const startMs = Math.max(nowMs, state.busyUntilMs);
  return {busyUntilMs: startMs + (sizeBytes / bytesPerSecond) * 1_000};
}
