/** What the leader knows of one entry's lease on the quota of one workspace. */
import type {WorkspaceReport} from './messages.js';

/** A version of a lease. */
export interface LeaseTerms {
  readonly version: number;
  readonly sharePerS: number;
  readonly ceilingUnits: number;
}

/** What one account, or all of them, may take from the quota. */
export interface Reserved {
  readonly sharePerS: number;
  readonly ceilingUnits: number;
  /** Granted and not known to have arrived. */
  readonly transitUnits: number;
  readonly demandPerS: number;
  /** Waiting at the entry, and not granted. */
  readonly unmetUnits: number;
  readonly activeEntries: number;
}

export const NOTHING_RESERVED: Reserved = {
  sharePerS: 0,
  ceilingUnits: 0,
  transitUnits: 0,
  demandPerS: 0,
  unmetUnits: 0,
  activeEntries: 0,
};

/** The sum of two, or their difference with a `sign` of -1. */
export function sumOf(left: Reserved, right: Reserved, sign = 1): Reserved {
  return {
    sharePerS: left.sharePerS + sign * right.sharePerS,
    ceilingUnits: left.ceilingUnits + sign * right.ceilingUnits,
    transitUnits: left.transitUnits + sign * right.transitUnits,
    demandPerS: left.demandPerS + sign * right.demandPerS,
    unmetUnits: left.unmetUnits + sign * right.unmetUnits,
    activeEntries: left.activeEntries + sign * right.activeEntries,
  };
}

/**
 * The account of one process of an entry. Until the entry confirms a version, it may
 * act on any version since the last that it confirmed, so the largest counts.
 */
export class LeaseAccount {
  /** Versions that the entry may act on, oldest first. */
  private versions: readonly LeaseTerms[];
  private readonly epoch: number;
  private granted: number;
  private applied: number;
  private returned: number;
  private demandPerS = 0;
  private unmet = 0;

  constructor(
    private readonly incarnation: number,
    private sequence: number,
    report: WorkspaceReport,
    public renewedAtMs: number,
  ) {
    const {version, sharePerS, ceilingUnits} = report;
    this.versions = [{version, sharePerS, ceilingUnits}];
    this.epoch = report.epoch;
    this.granted = report.appliedUnits;
    this.applied = report.appliedUnits;
    this.returned = report.returnedUnits;
    this.demandPerS = report.demandPerS;
  }

  /** Whether a report comes from the holder of this account. */
  isHeldBy(incarnation: number, epoch: number): boolean {
    return incarnation === this.incarnation && epoch === this.epoch;
  }

  /** Whether it comes from an earlier holder. */
  isAfter(incarnation: number, epoch: number): boolean {
    return incarnation === this.incarnation
      ? epoch < this.epoch
      : incarnation < this.incarnation;
  }

  get lease(): LeaseTerms {
    return this.versions[this.versions.length - 1] as LeaseTerms;
  }

  get grantedUnits(): number {
    return this.granted;
  }

  get returnedUnits(): number {
    return this.returned;
  }

  get reserved(): Reserved {
    const {versions, demandPerS} = this;
    return {
      sharePerS: Math.max(...versions.map(each => each.sharePerS)),
      ceilingUnits: Math.max(...versions.map(each => each.ceilingUnits)),
      transitUnits: this.granted - this.applied,
      demandPerS,
      unmetUnits: this.unmet,
      activeEntries: demandPerS > 0 ? 1 : 0,
    };
  }

  /** Whether a report was sent after all that were received. */
  isNews(sequence: number): boolean {
    return sequence > this.sequence;
  }

  /** Records a report; returns the units that it gives back. */
  update(sequence: number, report: WorkspaceReport, nowMs: number): number {
    this.sequence = sequence;
    this.renewedAtMs = nowMs;
    this.versions = this.versions.filter(
      each => each.version >= report.version,
    );
    this.demandPerS = report.demandPerS;
    this.applied = Math.min(this.granted, report.appliedUnits);
    const returned = Math.max(0, report.returnedUnits - this.returned);
    this.returned += returned;
    return returned;
  }

  changeLease(sharePerS: number, ceilingUnits: number): void {
    const version = this.lease.version + 1;
    this.versions = [...this.versions, {version, sharePerS, ceilingUnits}];
  }

  grant(units: number, unmetUnits: number): void {
    this.granted += units;
    this.unmet = unmetUnits;
  }
}
