/**
 * Entries and control members that exchange reports and grants over links which
 * delay, lose, double and cut, on clocks that stand still and are set. Time advances
 * in steps; nothing else runs.
 */
import type {WorkspaceSpec} from '../../../routes/route_table.js';
import {
  asId,
  asNumber,
  type InstanceId,
  type RegionId,
  type Term,
  type WorkspaceId,
} from '../../../types/ids.js';
import {ASK_TIMEOUT_MS} from '../../constants.js';
import {EntryQuotas} from '../../entry_quotas.js';
import type {Instant} from '../../instant.js';
import type {QuotaTolerance} from '../../limits.js';
import type {QuotaReply, QuotaReport} from '../../messages.js';
import {QuotaLeader} from '../../quota_leader.js';

export const STEP_MS = 25;
const REGION = asId<RegionId>('home');
const ANNOUNCE_STEPS = 16;
const CALL_TIMEOUT_MS = 800;
const CONFIRM_STEPS = 10;
/** They know all entries that may hold a lease. */
const MEMBERS_UP_MS = 60_000;
const NO_WORKSPACES: readonly WorkspaceSpec[] = [];

/** A fault from `atMs` for `forMs`. */
export type Fault =
  /** The entry reaches no control member. */
  | {readonly kind: 'cut'; readonly entry: number}
  /** Its process ends and starts again; lasts no time. */
  | {readonly kind: 'restart'; readonly entry: number}
  /** It runs no code, and its monotonic clock stands still. */
  | {readonly kind: 'suspend'; readonly entry: number}
  /** Its wall clock is set; lasts no time. */
  | {readonly kind: 'set_clock'; readonly entry: number; readonly byMs: number}
  /** The entry and one control member do not reach each other. */
  | {
      readonly kind: 'cut_link';
      readonly entry: number;
      readonly member: number;
    }
  /** Another member leads from now on. */
  | {readonly kind: 'new_leader'; readonly member: number}
  /** The processes of all control members end and start again; lasts no time. */
  | {readonly kind: 'restart_members'; readonly member: number}
  /** Links lose and double messages. */
  | {readonly kind: 'lossy'};

export type TimedFault = Fault & {
  readonly atMs: number;
  readonly forMs: number;
};

export interface QuotaDay {
  readonly entries: number;
  readonly spec: WorkspaceSpec;
  readonly tolerance: QuotaTolerance;
  readonly lengthMs: number;
  readonly faults: readonly TimedFault[];
  /** When the first table with a quota is committed. @default 0 */
  readonly tableAtMs?: number;
  /** For how long the members have run at the start. @default 60000 */
  readonly membersUpMs?: number;
  /** Units of the requests that arrive at an entry in the step at `atMs`. */
  readonly arrivals: (entry: number, atMs: number) => readonly number[];
  /** One way, with each use another value. */
  readonly delayMs: () => number;
  /** From 0 to 1, with each use another value. */
  readonly random: () => number;
}

export interface Decision {
  readonly atMs: number;
  readonly entry: number;
  readonly units: number;
  readonly isAdmitted: boolean;
}

interface Waiting {
  readonly units: number;
  readonly sinceMs: number;
}

interface Entry {
  readonly id: InstanceId;
  quotas: EntryQuotas;
  incarnation: number;
  suspendedMs: number;
  wallOffsetMs: number;
  waiting: Waiting[];
  /** Members whose reply is due, with the deadline of the call. */
  readonly pending: Map<number, number>;
}

interface Delivery {
  readonly dueMs: number;
  readonly run: () => void;
}

/** Plays one day; `decisions` has what became of each request. */
export class QuotaDays {
  readonly decisions: Decision[] = [];
  /** The largest sums over all entries that run, at any moment. */
  readonly most = {sharePerS: 0, heldUnits: 0};
  private readonly entries: Entry[];
  private readonly leaders = [0, 1, 2];
  private members: QuotaLeader[];
  private deliveries: Delivery[] = [];
  private term = 1;
  private leading = 0;
  private atMs = 0;
  private firstQuotaTerm = 0;

  private readonly limited: readonly WorkspaceSpec[];

  constructor(private readonly day: QuotaDay) {
    this.limited = [day.spec];
    const upMs = day.membersUpMs ?? MEMBERS_UP_MS;
    this.members = this.startMembers(-upMs);
    this.entries = Array.from({length: day.entries}, (_, index) => ({
      id: asId<InstanceId>(`e${index}`),
      quotas: new EntryQuotas(() => day.entries),
      incarnation: 1,
      suspendedMs: 0,
      wallOffsetMs: 0,
      waiting: [],
      pending: new Map(),
    }));
  }

  run(): readonly Decision[] {
    const steps = Math.ceil(this.day.lengthMs / STEP_MS);
    Array.from({length: steps}, (_, step) => this.step(step));
    return this.decisions;
  }

  private step(step: number): void {
    this.atMs = step * STEP_MS;
    this.beginFaults();
    const due = this.deliveries.filter(each => each.dueMs <= this.atMs);
    this.deliveries = this.deliveries.filter(each => each.dueMs > this.atMs);
    due.forEach(each => each.run());
    if (this.hasTable && this.firstQuotaTerm === 0) {
      this.firstQuotaTerm = this.term;
    }
    if (step % CONFIRM_STEPS === 0) this.confirm();
    this.entries.forEach((entry, index) => {
      if (this.isUnder('suspend', index)) {
        entry.suspendedMs += STEP_MS;
        return;
      }
      this.runEntry(entry, index, step);
    });
    this.noteSums();
  }

  private get hasTable(): boolean {
    return this.atMs >= (this.day.tableAtMs ?? 0);
  }

  private confirm(): void {
    const {firstQuotaTerm} = this;
    const workspaces = this.hasTable ? this.limited : NO_WORKSPACES;
    this.members[this.leading]?.confirm(
      this.confirmation(),
      {workspaces, firstQuotaTerm},
      this.atMs,
    );
  }

  private startMembers(atMs: number): QuotaLeader[] {
    return this.leaders.map(() => new QuotaLeader(this.day.tolerance, atMs));
  }

  private noteSums(): void {
    const states = this.entries
      .filter((_, index) => !this.isUnder('suspend', index))
      .map(entry => this.stateOf(entry).balance.state(this.now(entry)));
    const sharePerS = states.reduce((sum, each) => sum + each.sharePerS, 0);
    const heldUnits = states.reduce(
      (sum, each) => sum + Math.max(0, each.units),
      0,
    );
    this.most.sharePerS = Math.max(this.most.sharePerS, sharePerS);
    this.most.heldUnits = Math.max(this.most.heldUnits, heldUnits);
  }

  private runEntry(entry: Entry, index: number, step: number): void {
    const arrivals = this.day.arrivals(index, this.atMs);
    (this.hasTable ? arrivals : []).forEach(units =>
      this.arrive(entry, index, units),
    );
    const late = entry.waiting.filter(
      each => this.atMs - each.sinceMs >= ASK_TIMEOUT_MS,
    );
    if (late.length > 0) this.refuseWaiting(entry, index);
    const isDue = step % ANNOUNCE_STEPS === index % ANNOUNCE_STEPS;
    this.leaders
      .filter(member => {
        const isUrgent =
          entry.waiting.length > 0 &&
          entry.quotas.leaderId === memberId(member);
        return isDue || isUrgent;
      })
      .forEach(member => this.announce(entry, index, member));
  }

  private arrive(entry: Entry, index: number, units: number): void {
    const verdict = entry.quotas.arrive(this.day.spec, units, this.now(entry));
    if (verdict.kind === 'ask') {
      entry.waiting.push({units, sinceMs: this.atMs});
      this.stateOf(entry).waiting.push(units);
      return;
    }
    this.decide(index, units, verdict.kind === 'admitted');
  }

  private announce(entry: Entry, index: number, member: number): void {
    const deadlineMs = entry.pending.get(member);
    if (deadlineMs !== undefined && deadlineMs > this.atMs) return;
    entry.pending.set(member, this.atMs + CALL_TIMEOUT_MS);
    const sentAt = this.now(entry);
    const {quotas, incarnation, id} = entry;
    const report = quotas.reportFor(memberId(member), sentAt);
    const ask = (isCopy: boolean): void =>
      this.send(index, member, () => {
        const answer = this.members[member]?.answer(
          {instanceId: id, incarnation, region: REGION},
          report as QuotaReport | undefined,
          this.memberNow(),
        );
        if (isCopy) return;
        this.send(index, member, () =>
          this.reply(entry, index, member, {
            answer,
            sentAt,
            incarnation,
          }),
        );
      });
    ask(false);
    if (this.isUnder('lossy') && this.day.random() < 0.3) ask(true);
  }

  private reply(
    entry: Entry,
    index: number,
    member: number,
    call: {
      readonly answer: QuotaReply | undefined;
      readonly sentAt: Instant;
      readonly incarnation: number;
    },
  ): void {
    const now = this.now(entry);
    const tookMs = now.monotonicMs - call.sentAt.monotonicMs;
    const isLate = tookMs >= CALL_TIMEOUT_MS;
    if (isLate || call.incarnation !== entry.incarnation) return;
    if (this.isUnder('suspend', index)) return;
    entry.pending.delete(member);
    if (call.answer === undefined) return;
    const {quotas} = entry;
    const {leaderTerm} = quotas;
    if (!quotas.apply(memberId(member), call.answer, call.sentAt, now)) return;
    if (quotas.leaderTerm !== leaderTerm) this.announce(entry, index, member);
    if (call.answer.workspaces.length > 0) this.serveWaiting(entry, index);
  }

  private serveWaiting(entry: Entry, index: number): void {
    const state = this.stateOf(entry);
    const now = this.now(entry);
    const uncovered = entry.waiting.findIndex(
      ({units}) => !state.balance.take(units, now),
    );
    const count = uncovered < 0 ? entry.waiting.length : uncovered;
    entry.waiting
      .splice(0, count)
      .forEach(({units}) => this.decide(index, units, true));
    state.waiting.splice(0, count);
    state.balance.settle();
    if (state.balance.isExhausted(now.monotonicMs)) {
      this.refuseWaiting(entry, index);
    }
  }

  private refuseWaiting(entry: Entry, index: number): void {
    const {spec} = this.day;
    entry.waiting.splice(0).forEach(({units}) => {
      const {kind} = entry.quotas.lastResort(spec, units, this.now(entry));
      this.decide(index, units, kind === 'admitted');
    });
    this.stateOf(entry).waiting.splice(0);
  }

  // Links that are cut hold messages back no longer than a call lasts.
  private send(entry: number, member: number, run: () => void): void {
    const isCut =
      this.isUnder('cut', entry) || this.isUnder('cut_link', entry, member);
    const isLost = this.isUnder('lossy') && this.day.random() < 0.3;
    if (isCut || isLost) return;
    const dueMs = this.atMs + this.day.delayMs();
    this.deliveries.push({dueMs, run});
  }

  private beginFaults(): void {
    this.day.faults
      .filter(({atMs}) => atMs >= this.atMs && atMs < this.atMs + STEP_MS)
      .forEach(fault => this.begin(fault));
  }

  private begin(fault: TimedFault): void {
    if (fault.kind === 'new_leader') {
      this.leading = fault.member;
      this.term += 1;
    }
    if (fault.kind === 'restart_members') {
      this.leading = fault.member;
      this.term += 1;
      this.members = this.startMembers(this.atMs);
    }
    if (fault.kind === 'restart') {
      const entry = this.entries[fault.entry];
      if (entry === undefined) return;
      entry.incarnation += 1;
      entry.quotas = new EntryQuotas(() => this.day.entries);
      entry.waiting = [];
      entry.pending.clear();
    }
    if (fault.kind === 'set_clock') {
      const entry = this.entries[fault.entry];
      if (entry !== undefined) entry.wallOffsetMs += fault.byMs;
    }
  }

  private isUnder(
    kind: Fault['kind'],
    entry?: number,
    member?: number,
  ): boolean {
    return this.day.faults.some(
      fault =>
        fault.kind === kind &&
        (!('entry' in fault) || fault.entry === entry) &&
        (fault.kind !== 'cut_link' || fault.member === member) &&
        this.atMs >= fault.atMs &&
        this.atMs < fault.atMs + fault.forMs,
    );
  }

  private decide(entry: number, units: number, isAdmitted: boolean): void {
    this.decisions.push({atMs: this.atMs, entry, units, isAdmitted});
  }

  private stateOf(entry: Entry): ReturnType<EntryQuotas['stateOf']> {
    return entry.quotas.stateOf(this.day.spec.name, this.now(entry));
  }

  private now({suspendedMs, wallOffsetMs}: Entry): Instant {
    return {
      monotonicMs: this.atMs - suspendedMs,
      wallMs: this.atMs + wallOffsetMs,
    };
  }

  private memberNow(): Instant {
    return {monotonicMs: this.atMs, wallMs: this.atMs};
  }

  private confirmation(): {term: Term; askedAt: Instant} {
    return {term: asNumber<Term>(this.term), askedAt: this.memberNow()};
  }
}

function memberId(member: number): InstanceId {
  return asId<InstanceId>(`c${member}`);
}

/** A workspace with a quota in tokens. */
export function limitedWorkspace(
  ratePerS: number,
  burst: number,
): WorkspaceSpec {
  return {
    name: asId<WorkspaceId>('limited'),
    keyDigests: [],
    homeRegions: [],
    quota: {unit: 'tokens', ratePerS, burst, plainTokens: 200},
  };
}

/** The most units that were admitted in any window of a length. */
export function worstWindow(
  decisions: readonly Decision[],
  windowMs: number,
): number {
  const admitted = decisions.filter(each => each.isAdmitted);
  let first = 0;
  let sum = 0;
  let worst = 0;
  admitted.forEach(({atMs, units}) => {
    sum += units;
    for (
      let oldest = admitted[first];
      oldest !== undefined && atMs - oldest.atMs > windowMs;
      oldest = admitted[first]
    ) {
      sum -= oldest.units;
      first += 1;
    }
    worst = Math.max(worst, sum);
  });
  return worst;
}
