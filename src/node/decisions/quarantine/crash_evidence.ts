/**
 * Finds what the requests that crash upstreams have in common. A suspect is
 * something that requests share, such as a part of their prompts, or a request
 * itself, which its caller may send again. Each upstream process that ends counts
 * against the suspects of the requests that it ran, and each request that is
 * answered clears its suspects. A suspect is quarantined after several crashes in
 * a row without an answer in between.
 *
 * Runs count as crashes in a row only if each was sent after the crash before
 * it: when many upstreams are lost at once, every common suspect ran on all of
 * them. A crash that a quarantined suspect explains no longer counts against
 * others.
 *
 * Every instance keeps the evidence of all of them, so that it outlives the
 * instance that observed it, and decides alone.
 */
import type {SuspectId} from '../../types/ids.js';
import {
  CLEARANCE_WAIT_MS,
  CRASHES_TO_QUARANTINE,
  EXPIRY_INTERVAL_MS,
  MAX_CRASHES_KEPT,
  MAX_REPORTED_SUSPECTS,
  MAX_SUSPECTS,
  REMOTE_QUARANTINE_FACTOR,
  REPORT_MS,
  TRIAL_TIMEOUT_MS,
} from './constants.js';
import {
  compare,
  crashesInARow,
  ExplainedCrashes,
  isExpired,
  isNews,
  latestRuns,
  reportOf,
  tellsOthers,
  waitMs,
  weigh,
  type ObservedCrash,
  type SuspectRecord,
  type SuspectReport,
  type SuspectRun,
} from './suspect_record.js';

/** Whether a request may run. */
export type SuspectVerdict =
  | {readonly kind: 'clear'}
  /** It may run as the only one with this suspect; see `noteTrial`. */
  | {readonly kind: 'trial'; readonly suspect: SuspectId}
  | {
      readonly kind: 'quarantined';
      readonly suspect: SuspectId;
      readonly forMs: number;
    };

/** A change of the quarantine, for the log. */
export interface QuarantineChange {
  readonly kind: 'quarantined' | 'cleared';
  readonly suspect: SuspectId;
  /** The upstream processes whose end counts against it. */
  readonly crashIds: readonly string[];
}

const CLEAR: SuspectVerdict = {kind: 'clear'};

/** The evidence that one instance holds. */
export class CrashEvidence {
  private readonly records = new Map<SuspectId, SuspectRecord>();
  private readonly quarantined = new Set<SuspectId>();
  private changes: QuarantineChange[] = [];
  private revisionCount = 0;
  /** When the latest crash begins to count; undefined once that is decided. */
  private undecidedUntilMs: number | undefined;
  private expiredAtMs = Number.NEGATIVE_INFINITY;
  private readonly remoteFactor: number;

  /** `spread`, 0 to 1, keeps the trials of several instances apart. */
  constructor(spread = Math.random()) {
    this.remoteFactor = REMOTE_QUARANTINE_FACTOR * (1 + spread);
  }

  /** Increases with all that this instance learns by itself. */
  get revision(): number {
    return this.revisionCount;
  }

  /** Number of suspects, including those that were cleared lately. */
  get suspectCount(): number {
    return this.records.size;
  }

  get hasQuarantine(): boolean {
    return this.quarantined.size > 0;
  }

  /** Whether a request with these suspects may run. */
  verdict(suspects: readonly SuspectId[], nowMs: number): SuspectVerdict {
    const held = suspects
      .filter(each => this.quarantined.has(each))
      .flatMap(each => this.records.get(each) ?? []);
    const waits = held.map(record => ({
      suspect: record.suspect,
      forMs: waitMs(record, this.remoteFactor, nowMs),
    }));
    const longest = waits.reduce<(typeof waits)[number] | undefined>(
      (best, each) =>
        best === undefined || each.forMs > best.forMs ? each : best,
      undefined,
    );
    if (longest === undefined) return CLEAR;
    return longest.forMs > 0
      ? {kind: 'quarantined', ...longest}
      : {kind: 'trial', suspect: longest.suspect};
  }

  /** Records that a request which is a trial was sent. */
  noteTrial(suspects: readonly SuspectId[], nowMs: number): void {
    suspects
      .filter(each => this.quarantined.has(each))
      .forEach(each => {
        const record = this.records.get(each);
        if (record !== undefined) {
          record.trialUntilMs = nowMs + TRIAL_TIMEOUT_MS;
        }
      });
  }

  /** Records the end of an upstream process with the requests that it ran. */
  noteCrash(
    crashId: string,
    crashedAtMs: number,
    runs: readonly SuspectRun[],
    nowMs: number,
  ): void {
    latestRuns(runs).forEach(({request, sentAtMs, ...suspect}) =>
      this.addCrash(this.recordOf(suspect), {
        crashId,
        request,
        sentAtMs,
        crashedAtMs,
        notedAtMs: nowMs,
        isLocal: true,
      }),
    );
  }

  /** Records an answered request: its suspects do not crash upstreams. */
  noteAnswered(suspects: readonly SuspectId[], nowMs: number): void {
    suspects
      .flatMap(each => this.records.get(each) ?? [])
      .forEach(record => {
        const isNew = record.crashes.length > 0;
        this.clear(record, nowMs);
        if (isNew) this.report(record, nowMs);
      });
  }

  /**
   * The evidence for other instances, that on the worst suspects first: all of
   * it, or what this instance has learned by itself since a revision.
   */
  reports(nowMs: number, sinceRevision = 0): readonly SuspectReport[] {
    return [...this.records.values()]
      .filter(({reportedRevision}) => reportedRevision >= sinceRevision)
      .filter(each => isNews(each, nowMs))
      .sort((left, right) => right.crashes.length - left.crashes.length)
      .slice(0, MAX_REPORTED_SUSPECTS)
      .map(record => reportOf(record, nowMs));
  }

  /** Merges the evidence of another instance; idempotent. */
  merge(reports: readonly SuspectReport[], nowMs: number): void {
    reports.forEach(report => this.mergeReport(report, nowMs));
  }

  /** Decides on new evidence and drops what is old; call it at intervals. */
  update(nowMs: number): void {
    if (this.undecidedUntilMs !== undefined) {
      this.quarantineWorst(nowMs);
      if (nowMs >= this.undecidedUntilMs) this.undecidedUntilMs = undefined;
    }
    if (nowMs - this.expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    [...this.records.values()]
      .filter(each => isExpired(each, nowMs))
      .forEach(each => this.remove(each));
  }

  /** Returns the changes of the quarantine since the last call. */
  takeChanges(): readonly QuarantineChange[] {
    const taken = this.changes;
    this.changes = [];
    return taken;
  }

  // One suspect at a time, as its quarantine explains crashes of the others.
  private quarantineWorst(nowMs: number): void {
    const explained = new ExplainedCrashes(
      [...this.quarantined].flatMap(each => this.records.get(each) ?? []),
    );
    const worst = [...this.records.values()]
      .filter(each => each.quarantinedAtMs === undefined)
      .filter(({crashes}) => crashes.length >= CRASHES_TO_QUARANTINE)
      .map(record => ({record, weight: weigh(record, explained, nowMs)}))
      .filter(({weight}) => weight.inARow >= CRASHES_TO_QUARANTINE)
      .sort((left, right) => compare(right.weight, left.weight))
      .at(0);
    if (worst === undefined) return;
    this.quarantine(worst.record, nowMs);
    this.quarantineWorst(nowMs);
  }

  private quarantine(record: SuspectRecord, nowMs: number): void {
    record.quarantinedAtMs = nowMs;
    this.quarantined.add(record.suspect);
    this.noteChange('quarantined', record);
  }

  private clear(record: SuspectRecord, answeredAtMs: number): void {
    if (answeredAtMs <= record.answeredAtMs) return;
    const before = record.crashes;
    record.answeredAtMs = answeredAtMs;
    record.crashes = before.filter(each => each.crashedAtMs > answeredAtMs);
    // An answer that was given before the crashes says nothing about them.
    const isUnaffected = crashesInARow(record.crashes) >= CRASHES_TO_QUARANTINE;
    if (record.quarantinedAtMs === undefined || isUnaffected) return;
    record.quarantinedAtMs = undefined;
    record.failedTrials = 0;
    this.quarantined.delete(record.suspect);
    this.noteChange('cleared', {...record, crashes: before});
  }

  private addCrash(record: SuspectRecord, crash: ObservedCrash): void {
    const isKnown = record.crashes.some(each => each.crashId === crash.crashId);
    if (isKnown) return;
    const isCleared = crash.crashedAtMs <= record.answeredAtMs;
    if (isCleared || tellsOthers(record, crash)) {
      this.report(record, crash.notedAtMs);
    }
    if (isCleared) return;
    record.crashes = [...record.crashes, crash]
      .sort((left, right) => left.crashedAtMs - right.crashedAtMs)
      .slice(-MAX_CRASHES_KEPT);
    this.undecidedUntilMs = crash.notedAtMs + CLEARANCE_WAIT_MS;
    const {quarantinedAtMs} = record;
    if (quarantinedAtMs === undefined) return;
    if (crash.sentAtMs > quarantinedAtMs) record.failedTrials += 1;
    record.trialUntilMs = 0;
  }

  private mergeReport(report: SuspectReport, nowMs: number): void {
    const {suspect, isShared, depth, crashes, answeredAgoMs} = report;
    const known = this.records.get(suspect);
    if (known === undefined && crashes.length === 0) return;
    const record = known ?? this.recordOf({suspect, isShared, depth});
    if (answeredAgoMs !== undefined) this.clear(record, nowMs - answeredAgoMs);
    crashes.forEach(({crashId, request, sentAgoMs, crashedAgoMs}) =>
      this.addCrash(record, {
        crashId,
        request,
        sentAtMs: nowMs - sentAgoMs,
        crashedAtMs: nowMs - crashedAgoMs,
        notedAtMs: nowMs,
        isLocal: false,
      }),
    );
    // Its sender has waited for answers, so this instance need not.
    const isDecided =
      report.isQuarantined &&
      record.quarantinedAtMs === undefined &&
      crashesInARow(record.crashes) >= CRASHES_TO_QUARANTINE;
    if (isDecided) this.quarantine(record, nowMs);
  }

  private recordOf(
    identity: Pick<SuspectRecord, 'suspect' | 'isShared' | 'depth'>,
  ): SuspectRecord {
    const known = this.records.get(identity.suspect);
    if (known !== undefined) return known;
    this.makeRoom();
    const created: SuspectRecord = {
      ...identity,
      crashes: [],
      answeredAtMs: Number.NEGATIVE_INFINITY,
      quarantinedAtMs: undefined,
      failedTrials: 0,
      trialUntilMs: 0,
      reportUntilMs: 0,
      reportedRevision: 0,
    };
    this.records.set(identity.suspect, created);
    return created;
  }

  private report(record: SuspectRecord, nowMs: number): void {
    this.revisionCount += 1;
    record.reportUntilMs = nowMs + REPORT_MS;
    record.reportedRevision = this.revisionCount;
  }

  private makeRoom(): void {
    if (this.records.size < MAX_SUSPECTS) return;
    const all = [...this.records.values()];
    const evicted =
      all.find(each => each.quarantinedAtMs === undefined) ?? all.at(0);
    if (evicted !== undefined) this.remove(evicted);
  }

  private remove({suspect}: SuspectRecord): void {
    this.records.delete(suspect);
    this.quarantined.delete(suspect);
  }

  private noteChange(
    kind: QuarantineChange['kind'],
    {suspect, crashes}: SuspectRecord,
  ): void {
    const crashIds = crashes.map(({crashId}) => crashId);
    this.changes.push({kind, suspect, crashIds});
  }
}
