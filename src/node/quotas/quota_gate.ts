/**
 * Admits the requests of callers within the quotas of their workspaces. A request that
 * the balance of this entry does not cover asks the leader once and waits a moment for
 * the answer; if the pool is known to be empty, it is refused at once.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {WorkspaceQuota, WorkspaceSpec} from '../routes/route_table.js';
import type {PromptSize} from '../scheduling/types.js';
import type {InstanceId} from '../types/ids.js';
import {
  EntryQuotas,
  type Admission,
  type QuotaCharge,
  type WorkspaceState,
} from './entry_quotas.js';
import {ASK_TIMEOUT_MS} from './constants.js';
import {instantNow, type Instant} from './instant.js';
import type {QuotaTolerance} from './limits.js';
import {LimitedWorkspaces} from './limited_workspaces.js';
import type {QuotaReply, QuotaReport} from './messages.js';

/** Questions of requests that arrive within this time are asked together. */
const GATHER_MS = 20;
/** Bounds the announcements that an entry sends beside the periodic ones. */
const MIN_ASK_INTERVAL_MS = 100;
/** A request waits for a grant no longer than this part of its target latency. */
const WAIT_SHARE = 0.25;
const MAX_WAITING = 256;

export interface QuotaGateOptions {
  /** How many entries the deployment has; `undefined` if that is not known yet. */
  readonly entries: () => number | undefined;
  /**
   * Announces this entry to a control member, or to all while no leader is known,
   * without waiting for the interval.
   */
  readonly announceNow: (control: InstanceId | undefined) => void;
  /** As on the control members. @default `DEFAULT_TOLERANCE` */
  readonly tolerance?: QuotaTolerance;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
}

interface Waiter {
  readonly spec: WorkspaceSpec;
  readonly units: number;
  readonly settle: (admission: Admission) => void;
  readonly timer: ReturnType<typeof setTimeout>;
}

/** What a decision on a request rests on. */
export interface QuotaFigures {
  readonly requestUnits: number;
  readonly ratePerS: number;
  /** What this entry had left, and what it may add a second by itself. */
  readonly balanceUnits: number;
  readonly sharePerS: number;
  /** What callers asked this entry for recently. */
  readonly demandPerS: number;
  /** Whether a lease was valid; without one only the floor is left. */
  readonly hasLease: boolean;
}

/** What a request counts against a quota. */
export function unitsOf(
  {unit, plainTokens}: WorkspaceQuota,
  prompt: Pick<PromptSize, 'promptTokens' | 'maxOutputTokens'> | undefined,
): number {
  if (unit === 'requests') return 1;
  return prompt === undefined
    ? plainTokens
    : prompt.promptTokens + prompt.maxOutputTokens;
}

function longestWaitMs(targetLatencyMs: number): number {
  // 0 is a route without a target.
  return targetLatencyMs === 0
    ? ASK_TIMEOUT_MS
    : Math.min(ASK_TIMEOUT_MS, WAIT_SHARE * targetLatencyMs);
}

/** The quotas of one entry. */
export class QuotaGate {
  private readonly quotas: EntryQuotas;
  private readonly limited: LimitedWorkspaces;
  private readonly waiters = new Map<WorkspaceState, Waiter[]>();
  private askTimer: ReturnType<typeof setTimeout> | undefined;
  private reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: QuotaGateOptions) {
    this.quotas = new EntryQuotas(
      options.entries,
      monotonicNowMs(),
      options.tolerance,
    );
    this.limited = new LimitedWorkspaces(options);
    options.metrics.beforeRead(() => this.exportGauges());
  }

  /** Charges a request, or names the time after which it may come back. */
  async admit(
    spec: WorkspaceSpec,
    prompt: Pick<PromptSize, 'promptTokens' | 'maxOutputTokens'> | undefined,
    targetLatencyMs: number,
  ): Promise<Admission> {
    const {quota} = spec;
    if (quota === undefined) {
      return {kind: 'admitted', charge: {workspace: spec.name, units: 0}};
    }
    const now = instantNow();
    const units = unitsOf(quota, prompt);
    const state = this.quotas.stateOf(spec.name, now);
    // The share may have covered requests that wait for a grant.
    this.serveCovered(state, now);
    const verdict = this.quotas.arrive(spec, units, now);
    const admission =
      verdict.kind === 'ask'
        ? await this.ask(spec, units, state, targetLatencyMs)
        : verdict;
    this.limited.note(spec, units, admission, state.balance);
    return admission;
  }

  /** What a decision on a request rests on, rounded. */
  figures(
    {name, quota}: WorkspaceSpec,
    prompt: Pick<PromptSize, 'promptTokens' | 'maxOutputTokens'> | undefined,
  ): QuotaFigures {
    const now = instantNow();
    const state = this.quotas.stateOf(name, now).balance.state(now);
    return {
      requestUnits: quota === undefined ? 0 : unitsOf(quota, prompt),
      ratePerS: quota?.ratePerS ?? 0,
      balanceUnits: Math.round(state.units),
      sharePerS: Math.round(state.sharePerS),
      demandPerS: Math.round(state.demandPerS),
      hasLease: state.hasLease,
    };
  }

  /** Takes back the charge of a request that did not run. */
  refund(charge: QuotaCharge): void {
    this.quotas.putBack(charge, instantNow());
    const {workspace, units} = charge;
    this.options.metrics.count('quota_units_refunded', {workspace}, units);
  }

  /** Workspaces of a new route table. */
  applyWorkspaces(workspaces: readonly WorkspaceSpec[]): void {
    const limited = workspaces.filter(each => each.quota !== undefined);
    this.quotas.retain(
      new Set(limited.map(each => each.name)),
      monotonicNowMs(),
    );
  }

  /** Control members take this process for another one from now on. */
  reset(): void {
    this.quotas.reset();
  }

  reportFor(control: InstanceId): QuotaReport | undefined {
    const report = this.quotas.reportFor(control, instantNow());
    if (report === undefined) return undefined;
    this.reportedAtMs = monotonicNowMs();
    const workspaces = report.workspaces.map(each => ({
      ...each,
      limitedForMs: this.limited.limitedForMs(each.workspace),
    }));
    return {...report, workspaces};
  }

  /** The reply to an announcement that was sent at `sentAt`. */
  apply(control: InstanceId, reply: QuotaReply, sentAt: Instant): void {
    const now = instantNow();
    const {leaderTerm} = this.quotas;
    if (!this.quotas.apply(control, reply, sentAt, now)) return;
    // A new leader recovers until it knows what each entry holds.
    if (this.quotas.leaderTerm !== leaderTerm) this.scheduleAnnouncement(0);
    reply.workspaces.forEach(({workspace}) => {
      const state = this.quotas.workspaces.get(workspace);
      if (state !== undefined) this.serveWaiting(state, now);
    });
    if (this.waiters.size === 0) return;
    clearTimeout(this.askTimer);
    this.askTimer = undefined;
    this.scheduleAnnouncement(0);
  }

  stop(): void {
    clearTimeout(this.askTimer);
    [...this.waiters.entries()].forEach(([state, queue]) =>
      [...queue].forEach(waiter => this.giveUp(state, waiter)),
    );
  }

  private ask(
    spec: WorkspaceSpec,
    units: number,
    state: WorkspaceState,
    targetLatencyMs: number,
  ): Promise<Admission> {
    const queue = this.waiters.get(state) ?? [];
    if (queue.length >= MAX_WAITING) {
      return Promise.resolve(this.lastResort(spec, units));
    }
    return new Promise(settle => {
      const timer = setTimeout(
        () => this.giveUp(state, waiter),
        longestWaitMs(targetLatencyMs),
      );
      const waiter: Waiter = {spec, units, settle, timer};
      queue.push(waiter);
      state.waiting.push(units);
      this.waiters.set(state, queue);
      this.scheduleAnnouncement();
    });
  }

  // Requests that arrive together are asked for together.
  private scheduleAnnouncement(gatherMs = GATHER_MS): void {
    if (this.askTimer !== undefined) return;
    const restMs = this.reportedAtMs + MIN_ASK_INTERVAL_MS - monotonicNowMs();
    this.askTimer = setTimeout(
      () => this.announce(),
      Math.max(gatherMs, restMs),
    );
  }

  // One under way makes this one void, and its reply may be lost: requests that still
  // wait are asked for again.
  private announce(): void {
    this.askTimer = undefined;
    this.options.announceNow(this.quotas.leaderId);
    if (this.waiters.size === 0) return;
    this.options.metrics.count('quota_asks');
    this.scheduleAnnouncement(MIN_ASK_INTERVAL_MS);
  }

  private serveCovered(state: WorkspaceState, now: Instant): void {
    const queue = this.waiters.get(state) ?? [];
    const firstUncovered = queue.findIndex(
      ({units}) => !state.balance.take(units, now),
    );
    const covered = firstUncovered < 0 ? queue : queue.slice(0, firstUncovered);
    [...covered].forEach(waiter => {
      const {spec, units} = waiter;
      const charge = {workspace: spec.name, units};
      this.settle(state, waiter, {kind: 'admitted', charge});
    });
  }

  private serveWaiting(state: WorkspaceState, now: Instant): void {
    this.serveCovered(state, now);
    state.balance.settle();
    if (!state.balance.isExhausted(now.monotonicMs)) return;
    [...(this.waiters.get(state) ?? [])].forEach(waiter =>
      this.giveUp(state, waiter),
    );
  }

  private giveUp(state: WorkspaceState, waiter: Waiter): void {
    const {spec, units} = waiter;
    this.settle(state, waiter, this.lastResort(spec, units));
  }

  private lastResort(spec: WorkspaceSpec, units: number): Admission {
    return this.quotas.lastResort(spec, units, instantNow());
  }

  private settle(
    state: WorkspaceState,
    waiter: Waiter,
    admission: Admission,
  ): void {
    clearTimeout(waiter.timer);
    const queue = this.waiters.get(state) ?? [];
    const position = queue.indexOf(waiter);
    queue.splice(position, 1);
    state.waiting.splice(position, 1);
    if (queue.length === 0) this.waiters.delete(state);
    waiter.settle(admission);
  }

  private exportGauges(): void {
    const now = instantNow();
    const {metrics} = this.options;
    this.quotas.workspaces.forEach(({balance}, workspace) => {
      const {units, sharePerS, ceilingUnits, demandPerS, hasLease} =
        balance.state(now);
      metrics.set('quota_balance_units', {workspace}, units);
      metrics.set('quota_share_per_s', {workspace}, sharePerS);
      metrics.set('quota_ceiling_units', {workspace}, ceilingUnits);
      metrics.set('quota_demand_per_s', {workspace}, demandPerS);
      metrics.set('quota_has_lease', {workspace}, hasLease ? 1 : 0);
    });
  }
}
