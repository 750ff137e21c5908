/** The evidence on one suspect: its crashes, its last answer, its quarantine. */
import type {SuspectId} from '../../types/ids.js';
import {
  CLEARANCE_WAIT_MS,
  CLEARED_RETENTION_MS,
  MAX_QUARANTINE_MS,
  QUARANTINE_MS,
  QUARANTINE_RETENTION_MS,
  REMOTE_QUARANTINE_FACTOR,
  SUSPICION_MS,
} from './constants.js';

/** One run of a request that ended with a crash of its upstream. */
export interface CrashedRun {
  /** Identifies the upstream process that ended. */
  readonly crashId: string;
  readonly sentAtMs: number;
  readonly crashedAtMs: number;
}

/** The suspects of one request, the most common one first. */
export interface SuspectRun {
  readonly suspects: readonly SuspectId[];
  readonly sentAtMs: number;
}

/** The evidence on one suspect as instances exchange it. */
export interface SuspectReport {
  readonly suspect: SuspectId;
  readonly depth: number;
  /** Durations, as monotonic clocks of two instances are not comparable. */
  readonly crashes: readonly {
    readonly crashId: string;
    readonly sentAgoMs: number;
    readonly crashedAgoMs: number;
  }[];
  readonly answeredAgoMs?: number | undefined;
  readonly isQuarantined: boolean;
}

/** A crash as one instance learned of it. */
export interface ObservedCrash extends CrashedRun {
  readonly notedAtMs: number;
  /** Whether this instance observed it. */
  readonly isLocal: boolean;
}

/** What one instance knows about a suspect. */
export interface SuspectRecord {
  readonly suspect: SuspectId;
  /** Position among the suspects of a request; a deeper one is less common. */
  readonly depth: number;
  /** Crashes since the last answer, by time. */
  crashes: readonly ObservedCrash[];
  answeredAtMs: number;
  quarantinedAtMs: number | undefined;
  /** Crashes of trials since it was quarantined. */
  failedTrials: number;
  trialUntilMs: number;
}

/** Ranks the suspects of the same crashes. */
export interface Weight {
  readonly inARow: number;
  readonly total: number;
  readonly depth: number;
}

/** The last run of each suspect, with its lowest position in a request. */
export function latestRuns(
  runs: readonly SuspectRun[],
): readonly {suspect: SuspectId; depth: number; sentAtMs: number}[] {
  const latest = new Map<SuspectId, {depth: number; sentAtMs: number}>();
  runs.forEach(({suspects, sentAtMs}) =>
    suspects.forEach((suspect, depth) => {
      const known = latest.get(suspect);
      latest.set(suspect, {
        depth: Math.min(depth, known?.depth ?? depth),
        sentAtMs: Math.max(sentAtMs, known?.sentAtMs ?? sentAtMs),
      });
    }),
  );
  return [...latest].map(([suspect, run]) => ({suspect, ...run}));
}

/**
 * Time until a request with the suspect may run as a trial. The instance that
 * observed the last crash tries first, so that the others learn its result.
 */
export function waitMs(
  {crashes, failedTrials, trialUntilMs}: SuspectRecord,
  nowMs: number,
): number {
  const last = crashes.at(-1);
  const afterCrashMs = Math.min(
    MAX_QUARANTINE_MS,
    QUARANTINE_MS * 2 ** failedTrials,
  );
  const factor = last?.isLocal === true ? 1 : REMOTE_QUARANTINE_FACTOR;
  const untilMs = (last?.crashedAtMs ?? nowMs) + afterCrashMs * factor;
  return Math.max(untilMs, trialUntilMs) - nowMs;
}

/**
 * Ranks a suspect by its crashes that nothing else explains. Recent ones wait
 * for answers that other instances may still report.
 */
export function weigh(
  {crashes, depth}: SuspectRecord,
  explained: ReadonlySet<string>,
  nowMs: number,
): Weight {
  const counted = crashes
    .filter(({crashId}) => !explained.has(crashId))
    .filter(({notedAtMs}) => nowMs - notedAtMs >= CLEARANCE_WAIT_MS);
  return {inARow: crashesInARow(counted), total: counted.length, depth};
}

/** The number of crashes each of whose runs was sent after the one before. */
export function crashesInARow(crashes: readonly CrashedRun[]): number {
  return crashes.reduce(
    (row, {sentAtMs, crashedAtMs}) =>
      sentAtMs >= row.crashedAtMs ? {count: row.count + 1, crashedAtMs} : row,
    {count: 0, crashedAtMs: Number.NEGATIVE_INFINITY},
  ).count;
}

/** Compares two weights; the more suspicious one is greater. */
export function compare(left: Weight, right: Weight): number {
  return (
    left.inARow - right.inARow ||
    left.total - right.total ||
    left.depth - right.depth
  );
}

/** The record as other instances get it. */
export function reportOf(record: SuspectRecord, nowMs: number): SuspectReport {
  const {suspect, depth, crashes, answeredAtMs, quarantinedAtMs} = record;
  return {
    suspect,
    depth,
    isQuarantined: quarantinedAtMs !== undefined,
    crashes: crashes.map(({crashId, sentAtMs, crashedAtMs}) => ({
      crashId,
      sentAgoMs: nowMs - sentAtMs,
      crashedAgoMs: nowMs - crashedAtMs,
    })),
    ...(Number.isFinite(answeredAtMs)
      ? {answeredAgoMs: nowMs - answeredAtMs}
      : {}),
  };
}

/** When the suspect last crashed an upstream or was answered. */
export function lastChangeAtMs({crashes, answeredAtMs}: SuspectRecord): number {
  return Math.max(crashes.at(-1)?.crashedAtMs ?? 0, answeredAtMs);
}

/** Whether the record says nothing any more that matters. */
export function isExpired(record: SuspectRecord, nowMs: number): boolean {
  const {crashes, answeredAtMs, quarantinedAtMs} = record;
  const last = crashes.at(-1);
  if (last === undefined) return nowMs - answeredAtMs > CLEARED_RETENTION_MS;
  const retentionMs =
    quarantinedAtMs === undefined ? SUSPICION_MS : QUARANTINE_RETENTION_MS;
  return nowMs - last.crashedAtMs > retentionMs;
}
