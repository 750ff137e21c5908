/**
 * The in-memory part of a log: the entries after a base position, up to which
 * the log was compacted. All values are immutable. Indexes and terms are plain
 * numbers inside the core.
 */
import type {ReplicaMember} from '../replicated_log.js';

/** What an entry is for. A leader appends a `noop` when its term starts. */
export type EntryKind = 'command' | 'members' | 'noop';

/** One entry; `value` is the command, or the members of a `members` entry. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  readonly value?: unknown;
}

/** Entries after `baseIndex`; the compacted entry there had `baseTerm`. */
export interface LogState {
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly entries: readonly LogEntry[];
}

export const EMPTY_LOG: LogState = {baseIndex: 0, baseTerm: 0, entries: []};

export function lastIndex(log: LogState): number {
  return log.baseIndex + log.entries.length;
}

export function lastTerm(log: LogState): number {
  return log.entries.at(-1)?.term ?? log.baseTerm;
}

/** The entry at an index, or `undefined` if it is compacted or missing. */
export function entryAt(log: LogState, index: number): LogEntry | undefined {
  return index > log.baseIndex
    ? log.entries[index - log.baseIndex - 1]
    : undefined;
}

/** The term at an index, or `undefined` if it is compacted or missing. */
export function termAt(log: LogState, index: number): number | undefined {
  if (index === log.baseIndex) return log.baseTerm;
  return entryAt(log, index)?.term;
}

/** Limits of a batch of entries. */
export interface BatchLimits {
  readonly maxEntries: number;
  /** Length of the JSON of all values. */
  readonly maxChars: number;
}

/**
 * The entries from index `from` on that fit into one message; at least one,
 * even if it alone exceeds `maxChars`.
 */
export function entriesFrom(
  log: LogState,
  from: number,
  limits: BatchLimits,
): readonly LogEntry[] {
  const start = from - log.baseIndex - 1;
  const entries = log.entries.slice(start, start + limits.maxEntries);
  let chars = 0;
  const end = entries.findIndex((entry, position) => {
    chars += charsOf(entry);
    return position > 0 && chars > limits.maxChars;
  });
  return end < 0 ? entries : entries.slice(0, end);
}

// Each entry is sent to several members, so its size is computed only once.
const cachedChars = new WeakMap<LogEntry, number>();

/** Length of the JSON of an entry's value. */
export function charsOf(entry: LogEntry): number {
  const cached = cachedChars.get(entry);
  if (cached !== undefined) return cached;
  const chars = JSON.stringify(entry.value ?? null).length;
  cachedChars.set(entry, chars);
  return chars;
}

/** Drops everything after `prevIndex` and appends `entries` there. */
export function replaceSuffix(
  log: LogState,
  prevIndex: number,
  entries: readonly LogEntry[],
): LogState {
  const kept =
    prevIndex === lastIndex(log)
      ? log.entries
      : log.entries.slice(0, prevIndex - log.baseIndex);
  return {...log, entries: kept.concat(entries)};
}

/** Drops the entries up to and including `index`. */
export function compactTo(log: LogState, index: number): LogState {
  const term = termAt(log, index);
  if (index <= log.baseIndex || term === undefined) return log;
  return {
    baseIndex: index,
    baseTerm: term,
    entries: log.entries.slice(index - log.baseIndex),
  };
}

/**
 * The index before the longest run of entries that ends at `index` and stays
 * within the limits of number and size.
 */
export function indexBeforeTail(
  log: LogState,
  index: number,
  limits: BatchLimits,
): number {
  let before = index;
  let chars = 0;
  while (before > log.baseIndex && index - before < limits.maxEntries) {
    const entry = entryAt(log, before);
    chars += entry === undefined ? 0 : charsOf(entry);
    if (chars > limits.maxChars) return before;
    before--;
  }
  return before;
}

/** The first index of the run of entries that share the term at `index`. */
export function firstIndexOfTerm(log: LogState, index: number): number {
  const term = termAt(log, index);
  let first = index;
  while (first - 1 > log.baseIndex && termAt(log, first - 1) === term) first--;
  return first;
}

/** The members listed in an entry of kind `members`. */
export function membersOf(entry: LogEntry): readonly ReplicaMember[] {
  return entry.value as readonly ReplicaMember[];
}
