/** Rate at which work arrives, with the trend of the last seconds. */

const SHORT_WINDOW_MS = 600;
const LONG_WINDOW_MS = 2_400;
/** Bounds of the foreseen rate in multiples of the present one. */
const MAX_GROWTH = 1.5;
const MIN_GROWTH = 0.5;

/**
 * Two moving averages of different length. On a steady slope each of them lags
 * by its window, so their difference shows the slope.
 */
export class DemandRate {
  private shortPerMs = 0;
  private longPerMs = 0;
  private atMs = 0;
  private firstAtMs: number | undefined;

  /** Counts an amount of work that arrives now. */
  note(amount: number, nowMs: number): void {
    this.firstAtMs ??= nowMs;
    this.shortPerMs = this.shortAt(nowMs) + amount / SHORT_WINDOW_MS;
    this.longPerMs = this.longAt(nowMs) + amount / LONG_WINDOW_MS;
    this.atMs = Math.max(this.atMs, nowMs);
  }

  /** The rate that the trend leads to after `aheadMs`. */
  foreseenPerMs(aheadMs: number, nowMs: number): number {
    const shortPerMs =
      this.shortAt(nowMs) / this.filledShare(SHORT_WINDOW_MS, nowMs);
    const longPerMs =
      this.longAt(nowMs) / this.filledShare(LONG_WINDOW_MS, nowMs);
    const slope = (shortPerMs - longPerMs) / (LONG_WINDOW_MS - SHORT_WINDOW_MS);
    const foreseen = shortPerMs + slope * (SHORT_WINDOW_MS + aheadMs);
    return Math.min(
      shortPerMs * MAX_GROWTH,
      Math.max(shortPerMs * MIN_GROWTH, foreseen),
    );
  }

  private shortAt(nowMs: number): number {
    return this.shortPerMs * this.decay(SHORT_WINDOW_MS, nowMs);
  }

  private longAt(nowMs: number): number {
    return this.longPerMs * this.decay(LONG_WINDOW_MS, nowMs);
  }

  /** Share of an average's window that has passed since the first arrival. */
  private filledShare(windowMs: number, nowMs: number): number {
    const elapsedMs = nowMs - (this.firstAtMs ?? nowMs);
    return 1 - Math.exp(-Math.max(SHORT_WINDOW_MS, elapsedMs) / windowMs);
  }

  private decay(windowMs: number, nowMs: number): number {
    return Math.exp(-Math.max(0, nowMs - this.atMs) / windowMs);
  }
}
