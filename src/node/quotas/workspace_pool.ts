/**
 * The units of one workspace that the leader gives to entries. The pool is filled with
 * the part of the rate that is not leased to entries as shares, and with what entries
 * return. Pool, ceilings and grants on their way never exceed the capacity in sum, so
 * that in no window more runs than the rate allows plus that capacity.
 */
import type {InstanceId, RegionId, WorkspaceId} from '../types/ids.js';
import {
  MAX_CLOCK_DRIFT,
  RECOVERY_MS,
  FENCE_MS,
  MAX_RETRY_MS,
  MIN_SHARE_CHANGE,
  MIN_SHARE_CHANGE_IF_SHORT,
  SHORT_FOR_MS,
  MIN_RETRY_MS,
  SHARE_LEASE_MS,
} from './constants.js';
import {
  LeaseAccount,
  NOTHING_RESERVED,
  sumOf,
  type Reserved,
} from './lease_account.js';
import {isWorthChange, leaseTarget, type LeaseRoom} from './lease_targets.js';
import type {PoolLimits} from './limits.js';
import type {WorkspaceGrant, WorkspaceReport} from './messages.js';

import {
  statusByRegion,
  type EntryUse,
  type WorkspaceStatus,
} from './workspace_use.js';

const MS_PER_S = 1_000;
const ACCOUNT_EXPIRY_MS = SHARE_LEASE_MS * (1 + MAX_CLOCK_DRIFT);
const EXPIRY_CHECK_INTERVAL_MS = 250;
/** Part of the pool that one entry may take in advance. */
const PREFETCH_SHARE = 0.25;

const UNLIMITED: LeaseRoom = {
  sharePerS: Number.POSITIVE_INFINITY,
  ceilingUnits: Number.POSITIVE_INFINITY,
};

/** Which process of an entry sent a report, and its position among its reports. */
export interface ReportSource {
  readonly entry: InstanceId;
  readonly incarnation: number;
  readonly sequence: number;
}

export interface WorkspacePoolOptions {
  readonly limits: PoolLimits;
  /** Whether entries may hold leases of an earlier leader. */
  readonly mayHavePredecessor: boolean;
  readonly nowMs: number;
}

/** The pool of one workspace during one term of a leader. */
export class WorkspacePool {
  private readonly accounts = new Map<InstanceId, LeaseAccount>();
  private totals: Reserved = NOTHING_RESERVED;
  private limits: PoolLimits;
  private level = 0;
  private filledAtMs: number;
  private expiredAtMs: number;
  private grantsFromMs: number;
  private recoversUntilMs: number;
  /** Until then some entry counts as getting less than it should. */
  private shortUntilMs = Number.NEGATIVE_INFINITY;
  private expectedRecoveryEndMs: number;
  /** Leases of earlier leaders that entries told of. */
  private carried: LeaseRoom = {sharePerS: 0, ceilingUnits: 0};

  constructor({limits, mayHavePredecessor, nowMs}: WorkspacePoolOptions) {
    this.limits = limits;
    this.filledAtMs = nowMs;
    this.expiredAtMs = nowMs;
    this.grantsFromMs = mayHavePredecessor ? nowMs + FENCE_MS : nowMs;
    this.recoversUntilMs = mayHavePredecessor ? nowMs + RECOVERY_MS : nowMs;
    this.expectedRecoveryEndMs = this.recoversUntilMs;
    if (!mayHavePredecessor) this.level = this.maxLevel(nowMs);
  }

  /** No entry holds a lease of which this leader does not know. */
  endRecovery(nowMs: number): void {
    this.fill(nowMs);
    this.grantsFromMs = Math.min(this.grantsFromMs, nowMs);
    this.recoversUntilMs = Math.min(this.recoversUntilMs, nowMs);
  }

  /** The recovery is expected to end by itself, or earlier at `endsAtMs`. */
  expectRecovery(endsAtMs: number): void {
    this.expectedRecoveryEndMs = Math.min(this.recoversUntilMs, endsAtMs);
  }

  applyLimits(limits: PoolLimits, nowMs: number): void {
    this.fill(nowMs);
    this.limits = limits;
    this.level = Math.min(this.level, this.maxLevel(nowMs));
  }

  /** What all entries may take. */
  get reserved(): Reserved {
    return this.totals;
  }

  /** The use of the quota; `regionOf` tells where an entry is. */
  status(
    workspace: WorkspaceId,
    regionOf: (entry: InstanceId) => RegionId | undefined,
  ): WorkspaceStatus {
    const uses = [...this.accounts].flatMap<EntryUse>(([entry, account]) => {
      const region = regionOf(entry);
      if (region === undefined) return [];
      const {demandPerS} = account.reserved;
      const {sharePerS} = account.lease;
      const {limitedForMs} = account;
      return [{region, demandPerS, sharePerS, limitedForMs}];
    });
    return {
      workspace,
      ratePerS: this.limits.ratePerS,
      poolUnits: Math.round(this.level),
      regions: [...statusByRegion(uses)],
    };
  }

  /** Records a report and decides the reply; `undefined` for one that came late. */
  answer(
    source: ReportSource,
    report: WorkspaceReport,
    nowMs: number,
  ): WorkspaceGrant | undefined {
    this.fill(nowMs);
    this.expire(nowMs);
    const account = this.accountOf(source, report, nowMs);
    if (account === undefined) return undefined;
    this.adjustLease(account, report, nowMs);
    const unmetUnits = this.grant(account, report, nowMs);
    return {
      workspace: report.workspace,
      ...account.lease,
      grantedUnits: account.grantedUnits,
      returnedUnits: account.returnedUnits,
      maxUnits: this.limits.maxGrantUnits,
      ...(unmetUnits > 0 || this.isTooEmptyFor(report, nowMs)
        ? {retryAfterMs: this.retryAfterMs(report, nowMs)}
        : {}),
    };
  }

  private accountOf(
    source: ReportSource,
    report: WorkspaceReport,
    nowMs: number,
  ): LeaseAccount | undefined {
    const {entry, incarnation, sequence} = source;
    const known = this.accounts.get(entry);
    if (known?.isHeldBy(incarnation, report.epoch) === true) {
      if (!known.isNews(sequence)) return undefined;
      const returned = this.change(known, () =>
        known.update(sequence, report, nowMs),
      );
      this.level = Math.min(this.level + returned, this.maxLevel(nowMs));
      return known;
    }
    if (known !== undefined) {
      if (known.isAfter(incarnation, report.epoch)) return undefined;
      this.remove(entry, known);
    }
    return this.adopt(source, report, nowMs);
  }

  // Accounts go on from what the entry holds and has counted.
  private adopt(
    {entry, incarnation, sequence}: ReportSource,
    report: WorkspaceReport,
    nowMs: number,
  ): LeaseAccount {
    const account = new LeaseAccount(incarnation, sequence, report, nowMs);
    this.accounts.set(entry, account);
    this.totals = sumOf(this.totals, account.reserved);
    if (nowMs < this.recoversUntilMs) {
      this.carried = {
        sharePerS: this.carried.sharePerS + report.sharePerS,
        ceilingUnits: this.carried.ceilingUnits + report.ceilingUnits,
      };
    }
    return account;
  }

  private adjustLease(
    account: LeaseAccount,
    report: WorkspaceReport,
    nowMs: number,
  ): void {
    const {lease} = account;
    const {totals, limits} = this;
    const room = this.roomFor(account, nowMs);
    const target = leaseTarget(report, totals, limits, room, lease);
    const wish = leaseTarget(report, totals, limits, UNLIMITED, lease);
    if (isWorthChange(target, wish)) this.shortUntilMs = nowMs + SHORT_FOR_MS;
    const minChange =
      nowMs < this.shortUntilMs ? MIN_SHARE_CHANGE_IF_SHORT : MIN_SHARE_CHANGE;
    if (!isWorthChange(lease, target, minChange)) return;
    this.change(account, () =>
      account.changeLease(target.sharePerS, target.ceilingUnits),
    );
    this.level = Math.min(this.level, this.maxLevel(nowMs));
  }

  // What is reserved for versions that the entry no longer acts on is no room yet.
  private roomFor(account: LeaseAccount, nowMs: number): LeaseRoom {
    const {sharePerS, ceilingUnits} = this.leasable(nowMs);
    const {lease, reserved} = account;
    const heldFree = this.limits.heldUnits - this.takenUnits;
    const ceilingFree = ceilingUnits - this.totals.ceilingUnits;
    return {
      sharePerS:
        sharePerS -
        this.totals.sharePerS +
        (reserved.sharePerS - lease.sharePerS),
      ceilingUnits:
        Math.min(heldFree, ceilingFree) +
        (reserved.ceilingUnits - lease.ceilingUnits),
    };
  }

  // Until leases of an earlier leader have expired, only those may be passed on
  // of which entries told.
  private leasable(nowMs: number): LeaseRoom {
    const {ratePerS, ceilingsUnits} = this.limits;
    if (nowMs >= this.recoversUntilMs) {
      return {sharePerS: ratePerS, ceilingUnits: ceilingsUnits};
    }
    const {carried} = this;
    return {
      sharePerS: Math.min(ratePerS, carried.sharePerS),
      ceilingUnits: Math.min(ceilingsUnits, carried.ceilingUnits),
    };
  }

  /** Grants from the pool; returns what waits and was not granted. */
  private grant(
    account: LeaseAccount,
    report: WorkspaceReport,
    nowMs: number,
  ): number {
    const available = this.availableUnits(nowMs);
    const {waitingUnits, refillUnits} = report;
    const firstUnits = Math.min(report.firstUnits, this.limits.maxGrantUnits);
    const most = available >= firstUnits ? available : 0;
    const urgent = Math.min(waitingUnits, most);
    const spare = (available - urgent) * PREFETCH_SHARE;
    const isWaiting = urgent < waitingUnits;
    const units = urgent + (isWaiting ? 0 : Math.min(refillUnits, spare));
    const unmetUnits = waitingUnits - urgent;
    this.level -= units;
    this.change(account, () => account.grant(units, unmetUnits));
    return unmetUnits;
  }

  private availableUnits(nowMs: number): number {
    if (nowMs < this.grantsFromMs) return 0;
    const room = this.limits.heldUnits - this.takenUnits;
    return Math.max(0, Math.min(this.level, room));
  }

  private get takenUnits(): number {
    return this.totals.ceilingUnits + this.totals.transitUnits;
  }

  // While it recovers, the entry need not ask to hear that.
  private isTooEmptyFor(
    {largestUnits}: WorkspaceReport,
    nowMs: number,
  ): boolean {
    const needed = Math.min(largestUnits, this.limits.maxGrantUnits);
    const isRecovering = nowMs < this.recoversUntilMs;
    return isRecovering && this.availableUnits(nowMs) < needed;
  }

  /** When the pool is expected to have what waits; little comes while it recovers. */
  private retryAfterMs({largestUnits}: WorkspaceReport, nowMs: number): number {
    const {ratePerS, maxGrantUnits} = this.limits;
    const {unmetUnits} = this.totals;
    const needed =
      unmetUnits > 0 ? unmetUnits : Math.min(largestUnits, maxGrantUnits);
    const missing = Math.max(0, needed - this.level);
    const fillMs = (missing * MS_PER_S) / ratePerS;
    const isRecovering = nowMs < this.recoversUntilMs;
    const recoveryMs = isRecovering
      ? Math.max(0, this.expectedRecoveryEndMs - nowMs)
      : 0;
    return Math.max(MIN_RETRY_MS, recoveryMs + Math.min(MAX_RETRY_MS, fillMs));
  }

  private maxLevel(nowMs: number): number {
    const {capacityUnits, heldUnits} = this.limits;
    // Entries that did not report yet may hold as much as earlier leaders gave.
    const taken =
      nowMs < this.recoversUntilMs
        ? heldUnits + this.totals.transitUnits
        : this.takenUnits;
    return Math.max(0, capacityUnits - taken);
  }

  private fill(nowMs: number): void {
    // More fills it from the end of the recovery on.
    if (this.filledAtMs < this.recoversUntilMs) {
      this.fillUntil(Math.min(nowMs, this.recoversUntilMs));
    }
    this.fillUntil(nowMs);
  }

  private fillUntil(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.filledAtMs);
    const freePerS = this.leasable(this.filledAtMs).sharePerS;
    const ratePerS = Math.max(0, freePerS - this.totals.sharePerS);
    const filled = this.level + (ratePerS * elapsedMs) / MS_PER_S;
    this.filledAtMs = Math.max(nowMs, this.filledAtMs);
    this.level = Math.min(filled, this.maxLevel(nowMs));
  }

  private expire(nowMs: number): void {
    if (nowMs - this.expiredAtMs < EXPIRY_CHECK_INTERVAL_MS) return;
    this.expiredAtMs = nowMs;
    [...this.accounts]
      .filter(([, {renewedAtMs}]) => nowMs - renewedAtMs > ACCOUNT_EXPIRY_MS)
      .forEach(([entry, account]) => this.remove(entry, account));
  }

  private remove(entry: InstanceId, account: LeaseAccount): void {
    this.accounts.delete(entry);
    this.totals =
      this.accounts.size === 0
        ? NOTHING_RESERVED
        : sumOf(this.totals, account.reserved, -1);
  }

  private change<Value>(account: LeaseAccount, action: () => Value): Value {
    const before = account.reserved;
    const value = action();
    this.totals = sumOf(sumOf(this.totals, before, -1), account.reserved);
    return value;
  }
}
