/**
 * The scenarios: how much each region and rank sends over time, in shares of
 * the capacity of the fleet, and which engines are lost when.
 */

/** The length of a run, which stands for one day. */
export const DAY_MS = 480_000;
/** Jobs that arrive before this time are not counted. */
export const WARM_UP_MS = 30_000;
/** Share of the capacity that the base load takes, over a day. */
const BASE_SHARE = 0.6;
/** Size of the daily swing relative to the mean. */
const DAILY_SWING = 0.7;
/** Share of urgent work in the base load. */
const URGENT_SHARE = 0.5;
/** Load of a flood in shares of the capacity of the fleet. */
const FLOOD_SHARE = 5;
const FLOOD_START_MS = 120_000;
const FLOOD_END_MS = 240_000;
const LOSS_START_MS = 120_000;
const LOSS_END_MS = 240_000;

/** What happens in a run. */
export interface Scenario {
  readonly name: string;
  /** Base load, with peaks that are offset between the regions. */
  readonly hasPeaks: boolean;
  /** The rank that floods the fleet, if any. */
  readonly flood?: 'urgent' | 'batch';
  /** Times between which all engines of the second region are lost. */
  readonly loss?: {readonly fromMs: number; readonly untilMs: number};
  /** Jobs that arrive in this span are counted. */
  readonly countFromMs: number;
  readonly countUntilMs: number;
}

const ALL = {countFromMs: WARM_UP_MS, countUntilMs: DAY_MS};
/** The flood, without the seconds in which it builds up. */
const DURING_FLOOD = {
  countFromMs: FLOOD_START_MS + 10_000,
  countUntilMs: FLOOD_END_MS,
};

/** All scenarios. `steady` is the comparison for the floods. */
export const SCENARIOS: readonly Scenario[] = [
  {name: 'steady', hasPeaks: false, ...DURING_FLOOD},
  {name: 'peak', hasPeaks: true, ...ALL},
  {name: 'flood', hasPeaks: false, flood: 'batch', ...DURING_FLOOD},
  {name: 'urgent-flood', hasPeaks: false, flood: 'urgent', ...DURING_FLOOD},
  {
    name: 'region-loss',
    hasPeaks: false,
    loss: {fromMs: LOSS_START_MS, untilMs: DAY_MS},
    countFromMs: LOSS_START_MS - 10_000,
    countUntilMs: LOSS_END_MS,
  },
  {
    name: 'cold-return',
    hasPeaks: false,
    loss: {fromMs: WARM_UP_MS, untilMs: LOSS_START_MS},
    countFromMs: LOSS_START_MS,
    countUntilMs: LOSS_END_MS,
  },
];

/** The time after which no more jobs arrive. */
export function endOfArrivalsMs(scenario: Scenario): number {
  return scenario.countUntilMs;
}

/**
 * Load that a region sends in a rank at a time, as a share of the capacity
 * of the region's own engines.
 */
export function loadShare(
  scenario: Scenario,
  regionIndex: number,
  regionCount: number,
  rank: 'urgent' | 'batch',
  nowMs: number,
): number {
  const part = rank === 'urgent' ? URGENT_SHARE : 1 - URGENT_SHARE;
  const phase = nowMs / DAY_MS - regionIndex / regionCount;
  const swing = scenario.hasPeaks
    ? 1 + DAILY_SWING * Math.cos(2 * Math.PI * phase)
    : 1;
  const isFlooding = nowMs >= FLOOD_START_MS && nowMs < FLOOD_END_MS;
  const flood = isFlooding && scenario.flood === rank ? FLOOD_SHARE : 0;
  return BASE_SHARE * swing * part + flood;
}

/** Greatest value of `loadShare` over a run. */
export function maxLoadShare(scenario: Scenario): number {
  return BASE_SHARE * (1 + DAILY_SWING) + (scenario.flood ? FLOOD_SHARE : 0);
}
