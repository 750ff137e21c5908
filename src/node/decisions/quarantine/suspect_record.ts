/** The evidence on one suspect: its crashes, its last answer, its quarantine. */
import type {SuspectId} from '../../types/ids.js';
import {
  CLEARANCE_WAIT_MS,
  CLEARED_RETENTION_MS,
  MAX_QUARANTINE_MS,
  QUARANTINE_MS,
  QUARANTINE_RETENTION_MS,
  SUSPICION_MS,
} from './constants.js';

/** One run of a request that ended with a crash of its upstream. */
export interface CrashedRun {
  /** Identifies the upstream process that ended. */
  readonly crashId: string;
  /** The request that ran; all copies of a request have the same id. */
  readonly request: SuspectId;
  readonly sentAtMs: number;
  readonly crashedAtMs: number;
}

/** One run of a request with all that may be to blame for its crash. */
export interface SuspectRun {
  /** What it shares with other requests, the most common one first. */
  readonly shared: readonly SuspectId[];
  /** The request itself, which its caller may send again. */
  readonly request: SuspectId;
  readonly sentAtMs: number;
}

/** The evidence on one suspect as instances exchange it. */
export interface SuspectReport {
  readonly suspect: SuspectId;
  readonly isShared: boolean;
  readonly depth: number;
  /** Durations, as monotonic clocks of two instances are not comparable. */
  readonly crashes: readonly {
    readonly crashId: string;
    readonly request: SuspectId;
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
  /** Whether different requests share it; false for a request itself. */
  readonly isShared: boolean;
  /** Position among the suspects of a request; a deeper one is less common. */
  readonly depth: number;
  /** Crashes since the last answer, by time. */
  crashes: readonly ObservedCrash[];
  answeredAtMs: number;
  quarantinedAtMs: number | undefined;
  /** Crashes of trials since it was quarantined. */
  failedTrials: number;
  trialUntilMs: number;
  /** A cleared suspect is reported until then. */
  reportUntilMs: number;
  /** When this instance last learned something of it by itself; 0 if never. */
  reportedRevision: number;
}

/** The crashes that the suspects in quarantine explain. */
export class ExplainedCrashes {
  private readonly byShared: ReadonlySet<string>;
  private readonly byRequest: ReadonlyMap<string, SuspectId>;

  constructor(quarantined: readonly SuspectRecord[]) {
    const crashesOf = (isShared: boolean) =>
      quarantined
        .filter(each => each.isShared === isShared)
        .flatMap(({crashes}) => crashes);
    this.byShared = new Set(crashesOf(true).map(({crashId}) => crashId));
    this.byRequest = new Map(
      crashesOf(false).map(({crashId, request}) => [crashId, request]),
    );
  }

  /**
   * Whether a crash no longer counts against a suspect. One that a request
   * explains still counts against what this request shares with others.
   */
  has({crashId, request}: CrashedRun): boolean {
    const explaining = this.byRequest.get(crashId);
    const isBystander = explaining !== undefined && explaining !== request;
    return isBystander || this.byShared.has(crashId);
  }
}

/** Ranks the suspects of the same crashes. */
export interface Weight {
  readonly inARow: number;
  readonly total: number;
  readonly depth: number;
}

/** A suspect with one run that counts against it. */
export interface RunOfSuspect extends Pick<
  SuspectRecord,
  'suspect' | 'isShared' | 'depth'
> {
  readonly request: SuspectId;
  readonly sentAtMs: number;
}

/** The last run of each suspect. */
export function latestRuns(
  runs: readonly SuspectRun[],
): readonly RunOfSuspect[] {
  const latest = new Map<SuspectId, RunOfSuspect>();
  runs.flatMap(suspectsOfRun).forEach(run => {
    const known = latest.get(run.suspect);
    const isLater = known === undefined || run.sentAtMs > known.sentAtMs;
    if (isLater) latest.set(run.suspect, run);
  });
  return [...latest.values()];
}

function suspectsOfRun({
  shared,
  request,
  sentAtMs,
}: SuspectRun): readonly RunOfSuspect[] {
  return [...shared, request].map((suspect, depth) => ({
    suspect,
    isShared: suspect !== request,
    depth,
    request,
    sentAtMs,
  }));
}

/**
 * Time until a request with the suspect may run as a trial. The instance that
 * observed the last crash tries first, so that the others learn its result; these
 * wait `remoteFactor` times as long.
 */
export function waitMs(
  {crashes, failedTrials, trialUntilMs}: SuspectRecord,
  remoteFactor: number,
  nowMs: number,
): number {
  const last = crashes.at(-1);
  const afterCrashMs = Math.min(
    MAX_QUARANTINE_MS,
    QUARANTINE_MS * 2 ** failedTrials,
  );
  const factor = last?.isLocal === true ? 1 : remoteFactor;
  const untilMs = (last?.crashedAtMs ?? nowMs) + afterCrashMs * factor;
  return Math.max(untilMs, trialUntilMs) - nowMs;
}

/** Ranks a suspect by those of its crashes that count. */
export function weigh(
  {crashes, depth}: SuspectRecord,
  explained: ExplainedCrashes,
  nowMs: number,
): Weight {
  const counted = crashes
    .filter(crash => !explained.has(crash))
    // Recent ones wait for answers that other instances may still report.
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
  const {suspect, isShared, depth, crashes, answeredAtMs, quarantinedAtMs} =
    record;
  return {
    suspect,
    isShared,
    depth,
    isQuarantined: quarantinedAtMs !== undefined,
    crashes: crashes.map(({crashId, request, sentAtMs, crashedAtMs}) => ({
      crashId,
      request,
      sentAgoMs: Math.round(nowMs - sentAtMs),
      crashedAgoMs: Math.round(nowMs - crashedAtMs),
    })),
    ...(Number.isFinite(answeredAtMs)
      ? {answeredAgoMs: Math.round(nowMs - answeredAtMs)}
      : {}),
  };
}

/**
 * Whether a new crash should be told to others. What this instance has observed
 * of a request is told as soon as another one has seen the same request.
 */
export function tellsOthers(
  {isShared, crashes}: SuspectRecord,
  {isLocal}: ObservedCrash,
): boolean {
  return isLocal || (!isShared && crashes.some(each => each.isLocal));
}

/**
 * Whether other instances should get the record. A request is only of interest
 * once it has crashed again: most of those that ran on a crashed upstream never
 * come back.
 */
export function isNews(
  {isShared, crashes, reportUntilMs}: SuspectRecord,
  nowMs: number,
): boolean {
  const isKnownElsewhere = crashes.some(({isLocal}) => !isLocal);
  const isSuspicious = isShared || isKnownElsewhere || crashes.length > 1;
  const isCurrent = crashes.length > 0 || nowMs <= reportUntilMs;
  return isSuspicious && isCurrent;
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
