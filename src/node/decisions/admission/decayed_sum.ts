/** A sum of values that decay exponentially with a half-life. */
export class DecayedSum {
  private sum = 0;
  private updatedAtMs = 0;

  constructor(private readonly halfLifeMs: number) {}

  add(value: number, nowMs: number): void {
    this.sum = this.valueAt(nowMs) + value;
    this.updatedAtMs = Math.max(nowMs, this.updatedAtMs);
  }

  valueAt(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.updatedAtMs);
    return this.sum * 0.5 ** (ageMs / this.halfLifeMs);
  }

  /** The sum as a rate: value per millisecond. */
  ratePerMs(nowMs: number): number {
    return (this.valueAt(nowMs) * Math.LN2) / this.halfLifeMs;
  }
}
