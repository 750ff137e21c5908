/**
 * Steers callers by the load of entries: busy entries, which refuse a part of their
 * requests, are named less often, and entries of other regions are named beside them
 * for the part that a region cannot serve.
 */
import {namedEntries} from './entry_capacity.js';
import type {EntryInstance} from './messages.js';

/** An entry as the directory knows it. */
export interface LoadedEntry {
  readonly entry: EntryInstance;
  /** Share of its requests that it admits, from 0 to 1. */
  readonly admittedShare: number;
}

/** Keeps an entry from being left out for good, so that its load can fall. */
const MIN_WEIGHT_SHARE = 0.1;

/**
 * The entries of a region to name, the busy ones less often. Sizes count only if all
 * entries name theirs, as older builds do not.
 */
export function steeredEntries(
  entries: readonly LoadedEntry[],
  random: () => number,
): readonly EntryInstance[] {
  if (entries.every(({admittedShare}) => admittedShare >= 1)) {
    return namedEntries(
      entries.map(({entry}) => entry),
      random,
    );
  }
  const areSized = entries.every(({entry}) => entry.capacity !== undefined);
  const weighted = entries.map(({entry, admittedShare}) => ({
    instanceId: entry.instanceId,
    capacity:
      (areSized ? (entry.capacity ?? 1) : 1) *
      Math.max(MIN_WEIGHT_SHARE, admittedShare),
    entry,
  }));
  return namedEntries(weighted, random).map(({entry}) => entry);
}

/**
 * Entries of other regions to name beside the `own` ones that are named: about as many
 * as those refuse of themselves in sum, of the ones that refuse nothing, and at most as
 * many as there are own ones.
 */
export function helpingEntries(
  own: readonly LoadedEntry[],
  others: readonly LoadedEntry[],
  random: () => number,
): readonly EntryInstance[] {
  const refused = own.reduce((sum, each) => sum + 1 - each.admittedShare, 0);
  const count = Math.floor(refused + random());
  return others
    .filter(({admittedShare}) => admittedShare >= 1)
    .map(({entry}) => ({entry, rank: random()}))
    .sort((left, right) => left.rank - right.rank)
    .slice(0, Math.min(count, own.length))
    .map(({entry}) => entry);
}
