/** Measures what callers of one workspace ask for at one entry. */

const TIME_CONSTANT_MS = 1_500;
/** An entry without a request for so long has no demand. */
const IDLE_AFTER_MS = 5_000;
const MS_PER_S = 1_000;

/** An exponentially weighted rate, and the size of the largest recent request. */
export class DemandMeter {
  private weighted = 0;
  private largest = 0;
  private updatedAtMs = 0;
  private notedAtMs = Number.NEGATIVE_INFINITY;

  note(units: number, nowMs: number): void {
    this.largest = Math.max(this.largestUnits(nowMs), units);
    this.decay(nowMs);
    this.weighted += units;
    this.notedAtMs = nowMs;
  }

  perS(nowMs: number): number {
    this.decay(nowMs);
    return this.isIdle(nowMs)
      ? 0
      : (this.weighted * MS_PER_S) / TIME_CONSTANT_MS;
  }

  /** Units of the largest request since there was no demand. */
  largestUnits(nowMs: number): number {
    return this.isIdle(nowMs) ? 0 : this.largest;
  }

  isIdle(nowMs: number): boolean {
    return nowMs - this.notedAtMs > IDLE_AFTER_MS;
  }

  private decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    this.weighted *= Math.exp(-elapsedMs / TIME_CONSTANT_MS);
  }
}
