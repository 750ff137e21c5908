/** How slow one engine is, learned from the times of its first answers. */

/** Weight of one first answer in the moving average. */
const WEIGHT = 0.05;
/**
 * Minimum expected time of a first answer that counts: for a short prompt,
 * network delay dominates.
 */
const MIN_SAMPLE_MS = 70;
const MAX_SLOWNESS = 6;
const MIN_SLOWNESS = 0.6;

/** Ratio of an engine's answer times to those of one of nominal speed. */
export class EngineSlowness {
  private average = 1;

  get factor(): number {
    return this.average;
  }

  /** Records a first answer; `expectedMs` was predicted with the factor. */
  note(firstAnswerMs: number, expectedMs: number): void {
    if (expectedMs < MIN_SAMPLE_MS) return;
    const ratio = (this.average * firstAnswerMs) / expectedMs;
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
    this.average += WEIGHT * (bounded - this.average);
  }
}
