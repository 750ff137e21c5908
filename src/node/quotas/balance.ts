/** The units of one workspace that an entry may admit. */
import type {WorkspaceId} from '../types/ids.js';
import {
  EXCHANGE_MS,
  MAX_RETRY_MS,
  MIN_RETRY_MS,
  SHARE_LEASE_MS,
} from './constants.js';
import {DemandMeter} from './demand_meter.js';
import {longestMsBetween, type Instant} from './instant.js';
import type {WorkspaceGrant, WorkspaceReport} from './messages.js';

const MS_PER_S = 1_000;
/** Pause of asks after one that the pool could not serve, and after many in a row. */
const MIN_ASK_PAUSE_MS = 100;
const MAX_ASK_PAUSE_MS = 400;
/** Sums of grants are rounded. */
const ROUNDING_UNITS = 1e-6;

/** The lease that an entry acts on. */
export interface HeldLease {
  readonly version: number;
  readonly sharePerS: number;
  readonly ceilingUnits: number;
  /** Just before the announcement was sent whose reply renewed it. */
  readonly renewedAt: Instant;
}

/**
 * The balance grows by the entry's share of the rate up to its ceiling, and by grants.
 * What the demand does not need goes back to the pool with the next report.
 */
export class Balance {
  readonly demand = new DemandMeter();
  private lease: HeldLease | undefined;
  private version = 0;
  private units = 0;
  /** Given back, and not known to have arrived. */
  private returningUnits = 0;
  private returnedUnits = 0;
  private appliedUnits = 0;
  private maxUnits = Number.POSITIVE_INFINITY;
  private accruedAtMs: number;
  private exhaustedUntilMs = Number.NEGATIVE_INFINITY;
  /** Asks in a row that the pool could not serve. */
  private unservedAsks = 0;
  private nextAskAtMs = Number.NEGATIVE_INFINITY;
  private hasAsked = false;

  constructor(
    private readonly workspace: WorkspaceId,
    private readonly epoch: number,
    now: Instant,
  ) {
    this.accruedAtMs = now.monotonicMs;
  }

  /** Takes units from the balance if it has enough. */
  take(units: number, now: Instant): boolean {
    this.accrue(now);
    const isCovered =
      this.lease !== undefined &&
      this.units + ROUNDING_UNITS >= Math.min(units, this.maxUnits);
    if (isCovered) this.units -= units;
    return isCovered;
  }

  /** Puts back what did not run. */
  putBack(units: number, now: Instant): void {
    this.accrue(now);
    const room = this.ceilingUnits - this.units - this.returningUnits;
    this.units += Math.max(0, Math.min(units, room));
  }

  /** Whether to ask for a grant is pointless: the pool is empty, or it is too soon. */
  isExhausted(nowMs: number): boolean {
    return nowMs < Math.max(this.exhaustedUntilMs, this.nextAskAtMs);
  }

  /**
   * When the balance is expected to cover a request: by its share, or by a grant, for
   * which the leader is expected to be heard in `leaderMs`.
   */
  retryAfterMs(units: number, leaderMs: number, now: Instant): number {
    const leftMs = this.exhaustedUntilMs - now.monotonicMs;
    const grantMs = Math.max(MIN_RETRY_MS, leaderMs, leftMs);
    const ownMs = Math.max(MIN_RETRY_MS, this.coveredInMs(units, now));
    return Math.min(grantMs, ownMs);
  }

  /** Whether the leader has nothing to know of it. */
  isIdle(now: Instant): boolean {
    this.accrue(now);
    const holds = this.units > 0 || this.returningUnits > 0;
    const isLeased = this.ceilingUnits > 0 || (this.lease?.sharePerS ?? 0) > 0;
    return !holds && !isLeased && this.demand.isIdle(now.monotonicMs);
  }

  /** For metrics and the operator. */
  state(now: Instant): Pick<HeldLease, 'sharePerS' | 'ceilingUnits'> & {
    readonly units: number;
    readonly demandPerS: number;
    readonly hasLease: boolean;
  } {
    this.accrue(now);
    return {
      units: this.units,
      sharePerS: this.lease?.sharePerS ?? 0,
      ceilingUnits: this.ceilingUnits,
      demandPerS: this.demand.perS(now.monotonicMs),
      hasLease: this.lease !== undefined,
    };
  }

  /** The report to the leader; `waiting` are the units of requests that wait. */
  report(waiting: readonly number[], now: Instant): WorkspaceReport {
    this.accrue(now);
    const {monotonicMs: nowMs} = now;
    const largestUnits = this.demand.largestUnits(nowMs);
    const demandPerS = this.demand.perS(nowMs);
    const waitingUnits = waiting.reduce((sum, each) => sum + each, 0);
    const wanted = this.wantedUnits(demandPerS, largestUnits);
    this.hasAsked = waiting.length > 0;
    if (!this.hasAsked) this.giveBack(this.units - wanted);
    return {
      workspace: this.workspace,
      epoch: this.epoch,
      version: this.version,
      sharePerS: this.lease?.sharePerS ?? 0,
      ceilingUnits: this.ceilingUnits,
      appliedUnits: this.appliedUnits,
      returnedUnits: this.returnedUnits,
      demandPerS,
      largestUnits,
      waitingUnits: Math.max(0, waitingUnits - Math.max(0, this.units)),
      firstUnits: Math.max(0, (waiting[0] ?? 0) - this.units),
      refillUnits: Math.max(0, wanted - this.units),
    };
  }

  /** Acts on a reply to an announcement that was sent at `sentAt`. */
  apply(grant: WorkspaceGrant, sentAt: Instant, now: Instant): void {
    this.accrue(now);
    if (grant.version < this.version) return;
    const {version, sharePerS, ceilingUnits} = grant;
    const granted = Math.max(0, grant.grantedUnits - this.appliedUnits);
    this.version = version;
    this.lease = {version, sharePerS, ceilingUnits, renewedAt: sentAt};
    this.appliedUnits += granted;
    this.units += granted;
    this.returningUnits = Math.max(0, this.returnedUnits - grant.returnedUnits);
    this.maxUnits = grant.maxUnits;
    this.noteExhaustion(grant.retryAfterMs, now.monotonicMs);
  }

  // A pool that is empty again and again is asked less often; the usual reports go on.
  private noteExhaustion(
    retryAfterMs: number | undefined,
    nowMs: number,
  ): void {
    this.exhaustedUntilMs = nowMs + (retryAfterMs ?? 0);
    if (!this.hasAsked) return;
    this.unservedAsks = retryAfterMs === undefined ? 0 : this.unservedAsks + 1;
    const pauseMs = MIN_ASK_PAUSE_MS * (2 ** this.unservedAsks - 1);
    this.nextAskAtMs = nowMs + Math.min(MAX_ASK_PAUSE_MS, pauseMs);
  }

  /** Gives back what exceeds the ceiling, after waiting requests had their part. */
  settle(): void {
    this.giveBack(this.units + this.returningUnits - this.ceilingUnits);
  }

  // Until the share covers a request; never, if the lease ends before.
  private coveredInMs(units: number, now: Instant): number {
    this.accrue(now);
    if (this.lease === undefined) return Number.POSITIVE_INFINITY;
    const {sharePerS, ceilingUnits, renewedAt} = this.lease;
    const needed = Math.min(units, this.maxUnits);
    if (ceilingUnits < needed) return Number.POSITIVE_INFINITY;
    const coveredInMs = ((needed - this.units) * MS_PER_S) / sharePerS;
    const endsInMs = SHARE_LEASE_MS - longestMsBetween(renewedAt, now);
    const isCovered = coveredInMs < Math.min(endsInMs, MAX_RETRY_MS);
    return isCovered ? coveredInMs : Number.POSITIVE_INFINITY;
  }

  private get ceilingUnits(): number {
    return this.lease?.ceilingUnits ?? 0;
  }

  // A balance that no request fits into is of more use in the pool.
  private wantedUnits(demandPerS: number, largestUnits: number): number {
    const isUsable = largestUnits > 0 && this.ceilingUnits >= largestUnits;
    if (!isUsable) return 0;
    const exchangeS = EXCHANGE_MS / MS_PER_S;
    const prefetch = demandPerS * exchangeS + largestUnits;
    // Leaves room for what the share gains until the next report, which would be lost.
    const sharePerS = this.lease?.sharePerS ?? 0;
    const gained = sharePerS * exchangeS;
    const most = Math.max(largestUnits, this.ceilingUnits - gained);
    return Math.min(most, prefetch);
  }

  private giveBack(surplusUnits: number): void {
    const units = Math.max(0, Math.min(surplusUnits, this.units));
    this.units -= units;
    this.returningUnits += units;
    this.returnedUnits += units;
  }

  private accrue(now: Instant): void {
    const elapsedMs = Math.max(0, now.monotonicMs - this.accruedAtMs);
    this.accruedAtMs = Math.max(now.monotonicMs, this.accruedAtMs);
    if (this.lease === undefined) return;
    if (longestMsBetween(this.lease.renewedAt, now) >= SHARE_LEASE_MS) {
      this.expire();
      return;
    }
    const room = this.ceilingUnits - this.units - this.returningUnits;
    const gained = (this.lease.sharePerS * elapsedMs) / MS_PER_S;
    this.units += Math.max(0, Math.min(gained, room));
  }

  // A debt outlives the lease.
  private expire(): void {
    this.lease = undefined;
    this.units = Math.min(0, this.units);
    this.returningUnits = 0;
  }
}
