/** The quotas of all workspaces at one entry, and its exchange with the leader. */
import {monotonicNowMs} from '../clock/clock.js';
import type {WorkspaceSpec} from '../routes/route_table.js';
import type {InstanceId, WorkspaceId} from '../types/ids.js';
import {Balance} from './balance.js';
import {
  MAX_RETRY_MS,
  RECOVERY_MS,
  REPORTS_WITHIN_MS,
  SUCCESSION_MS,
} from './constants.js';
import {Floor} from './floor.js';
import type {Instant} from './instant.js';
import type {QuotaReply, QuotaReport} from './messages.js';
import {DEFAULT_TOLERANCE, type QuotaTolerance} from './limits.js';
import {ReturnLine} from './return_line.js';

/** A leader that did not reply for so long is not waited for. */
const LEADER_SILENCE_MS = 1_200;

/** Units that were taken for a request. */
export interface QuotaCharge {
  readonly workspace: WorkspaceId;
  readonly units: number;
}

/** What to do with a request right now. */
export type Verdict =
  | {readonly kind: 'admitted'; readonly charge: QuotaCharge}
  /** The leader may grant it in a moment. */
  | {readonly kind: 'ask'}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

/** The final decision on a request. */
export type Admission = Exclude<Verdict, {readonly kind: 'ask'}>;

/** The state of one workspace at an entry. */
export interface WorkspaceState {
  readonly balance: Balance;
  readonly floor: Floor;
  readonly returns: ReturnLine;
  /** Units of requests that wait for a grant, longest wait first. */
  readonly waiting: number[];
}

/** Balances by workspace; none exists for workspaces without a quota. */
export class EntryQuotas {
  private readonly states = new Map<WorkspaceId, WorkspaceState>();
  private leader: InstanceId | undefined;
  private term = 0;
  private sequence = 0;
  private nextEpoch = 0;
  /** When the leader replied last, or could have replied first. */
  private silentFromMs: number;
  private hasQuotas = false;

  /** `entries` is how many entries divide the floor; `undefined` if unknown. */
  constructor(
    private readonly entries: () => number | undefined,
    nowMs = monotonicNowMs(),
    private readonly tolerance: QuotaTolerance = DEFAULT_TOLERANCE,
  ) {
    this.silentFromMs = nowMs;
  }

  /** Term of the leader that this entry accepts. */
  get leaderTerm(): number {
    return this.term;
  }

  /** The member that replies as the leader. */
  get leaderId(): InstanceId | undefined {
    return this.leader;
  }

  /** Decides on a request that arrives. */
  arrive(spec: WorkspaceSpec, units: number, now: Instant): Verdict {
    const {balance, waiting} = this.stateOf(spec.name, now);
    balance.demand.note(units, now.monotonicMs);
    if (waiting.length === 0 && balance.take(units, now)) {
      return this.admitted(spec, units);
    }
    const mayAsk =
      this.isLeaderExpected(now.monotonicMs) &&
      !balance.isExhausted(now.monotonicMs);
    return mayAsk ? {kind: 'ask'} : this.lastResort(spec, units, now);
  }

  /** Decides on a request that waited in vain. */
  lastResort(spec: WorkspaceSpec, units: number, now: Instant): Admission {
    const state = this.stateOf(spec.name, now);
    const {floor} = state;
    const {quota} = spec;
    const entries = this.entries();
    const hasFloor = quota !== undefined && entries !== undefined;
    if (hasFloor && floor.take(units, quota, entries, now.monotonicMs)) {
      // Taken from the floor, so nothing goes back to the balance.
      return this.admitted(spec, 0);
    }
    const retryAfterMs = this.retryAfterMs(state, spec, units, now);
    state.returns.add(units, returnsPerS(state, spec, now), now.monotonicMs);
    return {kind: 'refused', retryAfterMs};
  }

  putBack({workspace, units}: QuotaCharge, now: Instant): void {
    this.states.get(workspace)?.balance.putBack(units, now);
  }

  stateOf(workspace: WorkspaceId, now: Instant): WorkspaceState {
    const known = this.states.get(workspace);
    if (known !== undefined) return known;
    this.nextEpoch += 1;
    const state: WorkspaceState = {
      balance: new Balance(workspace, this.nextEpoch, now),
      floor: new Floor(now.monotonicMs, this.tolerance),
      returns: new ReturnLine(now.monotonicMs),
      waiting: [],
    };
    this.states.set(workspace, state);
    return state;
  }

  get workspaces(): ReadonlyMap<WorkspaceId, WorkspaceState> {
    return this.states;
  }

  /**
   * Drops the states of workspaces that have no quota any more. With the first quota
   * the leader begins to reply.
   */
  retain(limited: ReadonlySet<WorkspaceId>, nowMs: number): void {
    const isFirst = !this.hasQuotas && limited.size > 0;
    this.hasQuotas = limited.size > 0;
    if (isFirst) this.silentFromMs = nowMs;
    [...this.states.keys()]
      .filter(name => !limited.has(name))
      .forEach(name => this.states.delete(name));
  }

  /** Forgets all leases: control members take this process for another one now. */
  reset(): void {
    this.states.clear();
    this.leader = undefined;
  }

  /** What to tell a control member; `undefined` unless it leads. */
  reportFor(control: InstanceId, now: Instant): QuotaReport | undefined {
    if (control !== this.leader) return undefined;
    this.sequence += 1;
    const workspaces = [...this.states.values()]
      .filter(each => each.waiting.length > 0 || !each.balance.isIdle(now))
      .map(({balance, waiting}) => balance.report(waiting, now));
    return {term: this.term, sequence: this.sequence, workspaces};
  }

  /** Acts on the reply to an announcement; `false` if it comes from a former leader. */
  apply(
    control: InstanceId,
    reply: QuotaReply,
    sentAt: Instant,
    now: Instant,
  ): boolean {
    if (reply.term < this.term) return false;
    this.term = reply.term;
    this.leader = control;
    this.silentFromMs = now.monotonicMs;
    reply.workspaces.forEach(grant =>
      this.states.get(grant.workspace)?.balance.apply(grant, sentAt, now),
    );
    return true;
  }

  private retryAfterMs(
    state: WorkspaceState,
    spec: WorkspaceSpec,
    units: number,
    now: Instant,
  ): number {
    const leaderMs = this.leaderInMs(now.monotonicMs);
    const ownMs = state.balance.retryAfterMs(units, leaderMs, now);
    const perS = returnsPerS(state, spec, now);
    const lineMs = state.returns.waitMs(perS, now.monotonicMs);
    return ownMs + Math.min(MAX_RETRY_MS, lineMs);
  }

  /**
   * Until a leader grants again. At first a lost message or a calm succession is
   * expected. Then the next leader may have to wait for the leases of the silent one.
   * After that time this entry is cut off, or there is no quorum, and nothing is known.
   */
  private leaderInMs(nowMs: number): number {
    if (this.leader !== undefined && this.isLeaderExpected(nowMs)) return 0;
    const succeededAtMs = this.silentFromMs + SUCCESSION_MS;
    const grantsAtMs =
      succeededAtMs + (nowMs < succeededAtMs ? REPORTS_WITHIN_MS : RECOVERY_MS);
    return nowMs < grantsAtMs ? grantsAtMs - nowMs : MAX_RETRY_MS;
  }

  private isLeaderExpected(nowMs: number): boolean {
    return nowMs - this.silentFromMs < LEADER_SILENCE_MS;
  }

  private admitted({name}: WorkspaceSpec, units: number): Admission {
    return {kind: 'admitted', charge: {workspace: name, units}};
  }
}

// Without a share the pool serves callers, by the whole rate.
function returnsPerS(
  {balance}: WorkspaceState,
  {quota}: WorkspaceSpec,
  now: Instant,
): number {
  const {sharePerS} = balance.state(now);
  return sharePerS > 0 ? sharePerS : (quota?.ratePerS ?? 1);
}
