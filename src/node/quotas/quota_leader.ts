/** Divides the quotas of all workspaces among entries, while this member leads. */
import type {QuotaUnit, WorkspaceSpec} from '../routes/route_table.js';
import type {InstanceId, RegionId, Term, WorkspaceId} from '../types/ids.js';
import {LEADERSHIP_VALIDITY_MS, RECOVERY_MS} from './constants.js';
import {EntryContacts, type KnownEntry} from './entry_contacts.js';
import {longestMsBetween, type Instant} from './instant.js';
import {poolLimits, type QuotaTolerance} from './limits.js';
import type {QuotaReply, QuotaReport, WorkspaceGrant} from './messages.js';
import {WorkspacePool} from './workspace_pool.js';
import type {QuotaStatus} from './workspace_use.js';

/** That a quorum confirmed the leadership of this member. */
export interface Confirmation {
  readonly term: Term;
  /** Before the quorum was asked. */
  readonly askedAt: Instant;
}

/** What the replicated state says of quotas. */
export interface QuotaTable {
  readonly workspaces: readonly WorkspaceSpec[];
  /** Term of the leader that appended the first quota of all; missing if unknown. */
  readonly firstQuotaTerm?: number | undefined;
}

/** What an announcement tells beside its report. */
export interface ReportingEntry extends KnownEntry {
  readonly incarnation: number;
  /** Whether it holds a state that the group of this member has not reached. */
  readonly isOfOtherGroup?: boolean;
}

/** The quotas as one member of the control group sees them. */
export class QuotaLeader {
  private confirmation: Confirmation | undefined;
  private pools = new Map<WorkspaceId, WorkspacePool>();
  private workspaces: readonly WorkspaceSpec[] | undefined;
  /** Names whose pool was dropped while their leases may still be in use. */
  private readonly droppedAtMs = new Map<WorkspaceId, number>();

  private readonly contacts: EntryContacts;
  private recoversUntilMs = Number.NEGATIVE_INFINITY;
  private hasOtherGroup = false;

  constructor(
    private readonly tolerance: QuotaTolerance,
    nowMs: number,
  ) {
    this.contacts = new EntryContacts(nowMs);
  }

  /** A quorum confirmed that this member leads; pools of another term are void. */
  confirm(
    confirmation: Confirmation,
    {workspaces, firstQuotaTerm}: QuotaTable,
    nowMs: number,
  ): void {
    const {term} = confirmation;
    const isNewTerm = this.confirmation?.term !== term;
    this.confirmation = confirmation;
    if (isNewTerm) {
      this.pools = new Map();
      this.workspaces = undefined;
      this.recoversUntilMs = nowMs + RECOVERY_MS;
    }
    const isFirstOfAll = firstQuotaTerm === term && !this.hasOtherGroup;
    if (isFirstOfAll) this.recoversUntilMs = nowMs;
    this.applyWorkspaces(workspaces, nowMs);
    this.endRecovery(term, nowMs);
    this.expectRecovery(term, nowMs);
  }

  /** The reply to an entry; `undefined` unless this member certainly leads. */
  answer(
    entry: ReportingEntry,
    report: QuotaReport | undefined,
    now: Instant,
  ): QuotaReply | undefined {
    const {confirmation} = this;
    const leads = isCurrent(confirmation, now);
    this.hasOtherGroup ||= entry.isOfOtherGroup === true;
    const {instanceId, incarnation} = entry;
    const adopted = leads ? report?.term : undefined;
    this.contacts.note(entry, adopted, now.monotonicMs);
    if (!leads || this.pools.size === 0) return undefined;
    const {term} = confirmation;
    if (adopted === term) this.endRecovery(term, now.monotonicMs);
    // What the entry holds counts only once it takes nothing from others.
    const reports = report?.term === term ? report.workspaces : [];
    const source = {
      entry: instanceId,
      incarnation,
      sequence: report?.sequence ?? 0,
    };
    const workspaces = reports.flatMap<WorkspaceGrant>(
      each =>
        this.pools.get(each.workspace)?.answer(source, each, now.monotonicMs) ??
        [],
    );
    return {term, workspaces};
  }

  /** The use of all quotas, as far as this member knows it. */
  status(now: Instant): QuotaStatus {
    if (!isCurrent(this.confirmation, now)) {
      return {isLeader: false, workspaces: []};
    }
    const regionOf = (entry: InstanceId): RegionId | undefined =>
      this.contacts.regionOf(entry);
    const workspaces = [...this.pools].map(([name, pool]) => ({
      ...pool.status(name, regionOf),
      unit: this.unitOf(name),
    }));
    return {isLeader: true, workspaces};
  }

  private unitOf(workspace: WorkspaceId): QuotaUnit | undefined {
    const spec = this.workspaces?.find(each => each.name === workspace);
    return spec?.quota?.unit;
  }

  private endRecovery(term: Term, nowMs: number): void {
    if (nowMs >= this.recoversUntilMs) return;
    if (!this.contacts.haveAllReported(term, nowMs)) return;
    this.recoversUntilMs = nowMs;
    this.pools.forEach(pool => pool.endRecovery(nowMs));
  }

  private expectRecovery(term: Term, nowMs: number): void {
    if (nowMs >= this.recoversUntilMs) return;
    const endsAtMs = this.contacts.allReportedAtMs(term, nowMs);
    this.pools.forEach(pool => pool.expectRecovery(endsAtMs));
  }

  private applyWorkspaces(
    workspaces: readonly WorkspaceSpec[],
    nowMs: number,
  ): void {
    if (this.workspaces === workspaces) return;
    this.workspaces = workspaces;
    const limited = workspaces.filter(each => each.quota !== undefined);
    this.dropOthers(new Set(limited.map(each => each.name)), nowMs);
    limited.forEach(spec => this.applyQuota(spec, nowMs));
  }

  private dropOthers(kept: ReadonlySet<WorkspaceId>, nowMs: number): void {
    [...this.pools.keys()]
      .filter(name => !kept.has(name))
      .forEach(name => {
        this.pools.delete(name);
        this.droppedAtMs.set(name, nowMs);
      });
    [...this.droppedAtMs]
      .filter(([, atMs]) => nowMs - atMs > RECOVERY_MS)
      .forEach(([name]) => this.droppedAtMs.delete(name));
  }

  private applyQuota({name, quota}: WorkspaceSpec, nowMs: number): void {
    if (quota === undefined) return;
    const limits = poolLimits(quota, this.tolerance);
    const known = this.pools.get(name);
    if (known !== undefined) {
      known.applyLimits(limits, nowMs);
      return;
    }
    // Entries may still hold leases of this name, of an earlier leader or quota.
    const mayHavePredecessor =
      nowMs < this.recoversUntilMs || this.droppedAtMs.has(name);
    this.pools.set(
      name,
      new WorkspacePool({limits, mayHavePredecessor, nowMs}),
    );
  }
}

function isCurrent(
  confirmation: Confirmation | undefined,
  now: Instant,
): confirmation is Confirmation {
  return (
    confirmation !== undefined &&
    longestMsBetween(confirmation.askedAt, now) < LEADERSHIP_VALIDITY_MS
  );
}
