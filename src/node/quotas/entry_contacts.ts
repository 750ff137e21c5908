/**
 * Which entries may hold leases of an earlier leader. Every control member keeps it,
 * from the announcements that it gets anyway.
 */
import type {InstanceId, RegionId, Term} from '../types/ids.js';
import {RECOVERY_MS, REPORTS_WITHIN_MS} from './constants.js';

interface Contact {
  readonly heardAtMs: number;
  readonly region: RegionId;
  /** Term of the leader that the entry accepts; `undefined` before its report. */
  readonly term: number | undefined;
}

/** Where an entry is. */
export interface KnownEntry {
  readonly instanceId: InstanceId;
  readonly region: RegionId;
}

/** The entries that were heard of since leases of earlier leaders are valid. */
export class EntryContacts {
  private readonly contacts = new Map<InstanceId, Contact>();
  private readonly startedAtMs: number;

  constructor(nowMs: number) {
    this.startedAtMs = nowMs;
  }

  note(
    {instanceId, region}: KnownEntry,
    term: number | undefined,
    nowMs: number,
  ): void {
    const known = this.contacts.get(instanceId);
    this.contacts.set(instanceId, {
      heardAtMs: nowMs,
      region,
      term: term ?? known?.term,
    });
  }

  regionOf(entry: InstanceId): RegionId | undefined {
    return this.contacts.get(entry)?.region;
  }

  /**
   * When all entries that may hold a lease are expected to have told this leader what
   * they hold, or to hold none. Those that were heard of a moment ago soon report.
   */
  allReportedAtMs(term: Term, nowMs: number): number {
    const endsAtMs = [...this.contacts.values()]
      .filter(each => each.term !== term)
      .map(({heardAtMs}) =>
        nowMs - heardAtMs < REPORTS_WITHIN_MS
          ? nowMs + REPORTS_WITHIN_MS
          : heardAtMs + RECOVERY_MS,
      );
    return Math.max(this.startedAtMs + RECOVERY_MS, nowMs, ...endsAtMs);
  }

  /**
   * Whether all entries that may hold a lease have told this leader what they hold.
   * A member that has just started cannot know them.
   */
  haveAllReported(term: Term, nowMs: number): boolean {
    const sinceMs = nowMs - RECOVERY_MS;
    if (this.startedAtMs > sinceMs) return false;
    [...this.contacts]
      .filter(([, {heardAtMs}]) => heardAtMs < sinceMs)
      .forEach(([entry]) => this.contacts.delete(entry));
    return [...this.contacts.values()].every(each => each.term === term);
  }
}
