/**
 * Which entries may hold leases of an earlier leader. Every control member keeps it,
 * from the announcements that it gets anyway.
 */
import type {InstanceId, RegionId, Term} from '../types/ids.js';
import {CONTACT_EXPIRY_MS, REPORTS_WITHIN_MS} from './constants.js';

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

/** The entries that this member has heard of, and that may still run. */
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
    if (known === undefined) this.forgetLost(nowMs);
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
          : Number.POSITIVE_INFINITY,
      );
    return Math.max(this.startedAtMs + CONTACT_EXPIRY_MS, nowMs, ...endsAtMs);
  }

  /**
   * Whether all entries that may hold a lease have told this leader what they hold.
   * A member that has just started cannot know them. An entry that is not heard here
   * may have had a lease of the last leader until a moment ago.
   */
  haveAllReported(term: Term, nowMs: number): boolean {
    if (nowMs - this.startedAtMs < CONTACT_EXPIRY_MS) return false;
    this.forgetLost(nowMs);
    return [...this.contacts.values()].every(each => each.term === term);
  }

  private forgetLost(nowMs: number): void {
    [...this.contacts]
      .filter(([, {heardAtMs}]) => nowMs - heardAtMs > CONTACT_EXPIRY_MS)
      .forEach(([entry]) => this.contacts.delete(entry));
  }
}
