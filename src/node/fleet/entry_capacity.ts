/**
 * How much an entry bears, relative to a reference entry that uses its processor,
 * link, memory and descriptors evenly. Entries announce it, so that larger ones get
 * more callers, relays and schedulers.
 */
import type {EntryInstance} from './messages.js';
import {rankOf} from './rendezvous.js';

/** What the settings of an entry say of its size; all parts are optional. */
export interface EntrySize {
  /** Share of a core's time, times the speed of the core. */
  readonly processorShare?: number | null | undefined;
  readonly memoryMb?: number | null | undefined;
  readonly linkMbps?: number | null | undefined;
  readonly maxDescriptors?: number | null | undefined;
}

const REFERENCE: Required<{[Name in keyof EntrySize]: number}> = {
  processorShare: 1,
  memoryMb: 600,
  linkMbps: 20,
  maxDescriptors: 10_000,
};
const DIGITS = 2;
/** Callers need some other entry to turn to when one does not answer. */
const MIN_NAMED = 4;
/** Hexadecimal digits of a rank that a number holds exactly. */
const RANK_DIGITS = 13;

type Capable = Pick<EntryInstance, 'capacity' | 'instanceId'>;

/** What binds an entry first; `undefined` if its settings do not say. */
export function capacityOf(size: EntrySize): number | undefined {
  const names = Object.keys(REFERENCE) as (keyof EntrySize)[];
  const shares = names.flatMap(name => {
    const value = size[name];
    return typeof value === 'number' ? [value / REFERENCE[name]] : [];
  });
  if (shares.length === 0) return undefined;
  return Math.max(10 ** -DIGITS, Number(Math.min(...shares).toFixed(DIGITS)));
}

/** Whether all of them say what they bear, and it differs. */
function areUneven(entries: readonly Capable[]): boolean {
  const capacities = new Set(entries.map(each => each.capacity));
  return capacities.size > 1 && !capacities.has(undefined);
}

/**
 * Entries of which callers choose one at random: smaller ones are left out now and
 * then, so that each gets callers in proportion to its capacity.
 */
export function namedEntries<Entry extends Capable>(
  entries: readonly Entry[],
  random: () => number,
): readonly Entry[] {
  if (!areUneven(entries)) return entries;
  const largest = Math.max(...entries.map(weightOf));
  const drawn = entries
    .map(entry => ({entry, draw: (random() * largest) / weightOf(entry)}))
    .sort((left, right) => left.draw - right.draw);
  const count = drawn.filter(each => each.draw < 1).length;
  return drawn.slice(0, Math.max(MIN_NAMED, count)).map(each => each.entry);
}

/** One of the entries at random, in proportion to their capacities. */
export function drawnEntry<Entry extends Capable>(
  entries: readonly Entry[],
  random: () => number,
): Entry | undefined {
  const weights = areUneven(entries)
    ? entries.map(weightOf)
    : entries.map(() => 1);
  const total = weights.reduce((sum, each) => sum + each, 0);
  let left = random() * total;
  return entries.find((_, index) => (left -= weights[index] ?? 0) < 0);
}

/**
 * The entry that a job is assigned to: the same on all instances that know the same
 * entries, and more often a larger one.
 */
export function assignedByCapacity<Entry extends Capable>(
  entries: readonly Entry[],
  job: string,
): Entry | undefined {
  const weigh = areUneven(entries) ? weightOf : () => 1;
  const score = (entry: Entry): number =>
    -Math.log1p(-unitRank(job, entry.instanceId)) / weigh(entry);
  return entries.reduce<Entry | undefined>(
    (first, each) =>
      first === undefined || score(each) < score(first) ? each : first,
    undefined,
  );
}

function weightOf({capacity = 1}: Capable): number {
  return capacity;
}

/** The rank as a number from 0 to below 1, in the same order. */
function unitRank(job: string, candidateId: string): number {
  const digits = rankOf(job, candidateId).slice(0, RANK_DIGITS);
  return Number.parseInt(digits, 16) / 16 ** RANK_DIGITS;
}
