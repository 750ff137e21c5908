/** Seeded random numbers, so that a run can be repeated exactly. */

/** A stream of random numbers (mulberry32). */
export class RandomStream {
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /** Uniform in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** Exponential with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /** Log-normal around a median. */
  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.next());
    return median * Math.exp(sigma * normal);
  }

  /** An index in proportion to the weights. */
  pick(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let left = this.next() * total;
    const found = weights.findIndex(weight => {
      left -= weight;
      return left < 0;
    });
    return found < 0 ? weights.length - 1 : found;
  }
}
