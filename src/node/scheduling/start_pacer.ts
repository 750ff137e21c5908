/** Limits the rate of requests to an upstream. */

const MS_PER_S = 1_000;

/**
 * Spaces starts evenly instead of allowing bursts: two entries may briefly
 * schedule the same upstream when they disagree on which entries are alive.
 */
export class StartPacer {
  private nextStartAtMs = 0;

  /** Time of the next allowed start; it may lie in the past. */
  readyAtMs(): number {
    return this.nextStartAtMs;
  }

  /** Records a start at an upstream that gets `startsPerS` requests a second. */
  noteStart(startsPerS: number, nowMs: number): void {
    const spacingMs = MS_PER_S / startsPerS;
    this.nextStartAtMs = Math.max(this.nextStartAtMs, nowMs) + spacingMs;
  }
}
