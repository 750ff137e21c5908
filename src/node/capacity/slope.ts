/** Least-squares lines through measured points. */

/** A figure at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** `value = base + slope * size`. */
export interface Line {
  readonly base: number;
  readonly slope: number;
  readonly points: readonly Point[];
}

export function round(value: number): number {
  return Number(value.toPrecision(4));
}

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** The line with the least squared errors; needs two different sizes. */
export function lineThrough(points: readonly Point[]): Line {
  const meanSize = mean(points.map(({size}) => size));
  const meanValue = mean(points.map(({value}) => value));
  const covariance = points.reduce(
    (sum, {size, value}) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const variance = points.reduce(
    (sum, {size}) => sum + (size - meanSize) ** 2,
    0,
  );
  const slope = covariance / variance;
  return {
    base: round(meanValue - slope * meanSize),
    slope: round(slope),
    points: points.map(({size, value}) => ({size, value: round(value)})),
  };
}

/** Measures one size after the other. */
export async function inTurn<Item, Figure>(
  items: readonly Item[],
  measure: (item: Item) => Promise<Figure>,
): Promise<Figure[]> {
  const figures: Figure[] = [];
  for (const item of items) figures.push(await measure(item));
  return figures;
}
