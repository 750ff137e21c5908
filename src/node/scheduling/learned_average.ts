/** Averages that learn fast while they have few samples. */

export interface LearnedAverageOptions {
  /** The first guess. */
  readonly guess: number;
  /** How many samples the first guess is worth. */
  readonly guessSamples: number;
  /** Weight of one sample once there are many. */
  readonly minWeight: number;
  /**
   * Share of the weight that samples above the average get: less than 1 if waits for
   * something else may lengthen what is measured. @default 1
   */
  readonly weightAbove?: number;
}

/** A moving average whose first samples weigh more than later ones. */
export class LearnedAverage {
  private current: number;
  private samples = 0;

  constructor(private readonly options: LearnedAverageOptions) {
    this.current = options.guess;
  }

  get value(): number {
    return this.current;
  }

  note(sample: number): void {
    const {guessSamples, minWeight, weightAbove = 1} = this.options;
    this.samples += 1;
    const weight = Math.max(minWeight, 1 / (guessSamples + this.samples));
    const share = sample > this.current ? weightAbove : 1;
    this.current += weight * share * (sample - this.current);
  }

  /** Moves the average towards the first guess by a share, 0 to 1. */
  relax(share: number): void {
    this.current += share * (this.options.guess - this.current);
  }

  clear(): void {
    this.current = this.options.guess;
    this.samples = 0;
  }
}
