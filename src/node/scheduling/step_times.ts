/**
 * Learns how the time of a step of the engines of one service grows with the
 * number of requests in the batch. Each step writes one token of each request.
 */
import {DECODE_MS_PER_TOKEN, MIN_DECODE_MS_PER_TOKEN} from './constants.js';

/** Share of earlier samples that is kept with each new one. */
const KEPT_SHARE = 0.995;
/** How many samples each of the two first guesses is worth. */
const GUESS_SAMPLES = 0.5;

/** A least-squares line through the samples, in which recent ones weigh more. */
export class StepTimes {
  private weight = 0;
  private sumX = 0;
  private sumY = 0;
  private sumXx = 0;
  private sumXy = 0;

  /** `slots` is the size of a full batch, for which the first guess holds. */
  constructor(slots: number) {
    this.add(1, MIN_DECODE_MS_PER_TOKEN, GUESS_SAMPLES);
    this.add(Math.max(2, slots), DECODE_MS_PER_TOKEN, GUESS_SAMPLES);
  }

  /** Time of a step in a batch of `running` requests. */
  stepMs(running: number): number {
    const {growthMs} = this;
    const atNoneMs = (this.sumY - growthMs * this.sumX) / this.weight;
    return Math.max(0, atNoneMs) + growthMs * running;
  }

  /** By how much one more request in the batch lengthens each step. */
  get growthMs(): number {
    const {weight, sumX, sumY, sumXx, sumXy} = this;
    const spread = weight * sumXx - sumX * sumX;
    return spread <= 0
      ? 0
      : Math.max(0, (weight * sumXy - sumX * sumY) / spread);
  }

  /** Records the mean time of the steps of a request. */
  note(running: number, stepMs: number): void {
    this.weight *= KEPT_SHARE;
    this.sumX *= KEPT_SHARE;
    this.sumY *= KEPT_SHARE;
    this.sumXx *= KEPT_SHARE;
    this.sumXy *= KEPT_SHARE;
    this.add(running, stepMs, 1);
  }

  private add(x: number, y: number, weight: number): void {
    this.weight += weight;
    this.sumX += weight * x;
    this.sumY += weight * y;
    this.sumXx += weight * x * x;
    this.sumXy += weight * x * y;
  }
}
