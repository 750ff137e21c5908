/**
 * Entries with whole quota gates on a paused clock, one leader, and links that carry
 * announcements as `ControlLink` does: periodically, at once when asked for, and one
 * at a time.
 */
import type {TestContext} from 'node:test';
import {pino} from 'pino';
import {setMonotonicSource} from '../../../clock/clock.js';
import {ANNOUNCE_INTERVAL_MS} from '../../../fleet/constants.js';
import {MetricsRegistry} from '../../../metrics/registry.js';
import type {WorkspaceSpec} from '../../../routes/route_table.js';
import {
  asId,
  asNumber,
  type InstanceId,
  type RegionId,
  type Term,
} from '../../../types/ids.js';
import {instantNow} from '../../instant.js';
import type {QuotaTolerance} from '../../limits.js';
import {QuotaGate} from '../../quota_gate.js';
import {QuotaLeader} from '../../quota_leader.js';

export const STEP_MS = 5;
const CONFIRM_INTERVAL_MS = 250;
const TERM = asNumber<Term>(1);
const CONTROL = asId<InstanceId>('c0');

export interface GateDay {
  readonly entries: number;
  readonly spec: WorkspaceSpec;
  readonly tolerance: QuotaTolerance;
  readonly lengthMs: number;
  /** One way. */
  readonly delayMs: number;
  /** Target latency of the requests' route. */
  readonly targetLatencyMs: number;
  /** Tokens of the requests that arrive at an entry in the step at `atMs`. */
  readonly arrivals: (entry: number, atMs: number) => readonly number[];
}

export interface GateDecision {
  readonly arrivedAtMs: number;
  readonly entry: number;
  readonly units: number;
  readonly isAdmitted: boolean;
  readonly waitedMs: number;
}

/** What became of a day. */
export interface GateDayResult {
  readonly decisions: readonly GateDecision[];
  /** Times of announcements beside the periodic ones, by entry. */
  readonly askedAtMs: readonly (readonly number[])[];
}

class Link {
  readonly askedAtMs: number[] = [];
  readonly gate: QuotaGate;
  private isPending = false;

  constructor(
    private readonly index: number,
    private readonly day: GateDay,
    private readonly leader: QuotaLeader,
  ) {
    this.gate = new QuotaGate({
      entries: () => day.entries,
      announceNow: () => this.announce(true),
      logger: pino({level: 'silent'}),
      metrics: new MetricsRegistry(),
    });
    this.gate.applyWorkspaces([day.spec]);
    const offsetMs = (index * 97) % ANNOUNCE_INTERVAL_MS;
    setTimeout(() => this.announcePeriodically(), offsetMs);
  }

  private announcePeriodically(): void {
    this.announce(false);
    setTimeout(() => this.announcePeriodically(), ANNOUNCE_INTERVAL_MS);
  }

  private announce(isAsked: boolean): void {
    if (this.isPending) return;
    this.isPending = true;
    if (isAsked) this.askedAtMs.push(Date.now());
    const sentAt = instantNow();
    const report = this.gate.reportFor(CONTROL);
    const entry = {
      instanceId: asId<InstanceId>(`e${this.index}`),
      region: asId<RegionId>('home'),
      incarnation: 1,
    };
    setTimeout(() => {
      const reply = this.leader.answer(entry, report, instantNow());
      setTimeout(() => {
        this.isPending = false;
        if (reply !== undefined) this.gate.apply(CONTROL, reply, sentAt);
      }, this.day.delayMs);
    }, this.day.delayMs);
  }
}

/** Plays a day; the clock of the test is paused from now on. */
export async function playGateDay(
  t: TestContext,
  day: GateDay,
): Promise<GateDayResult> {
  t.mock.timers.enable({apis: ['setTimeout', 'Date'], now: 0});
  const clock = setMonotonicSource(() => Date.now());
  t.after(() => clock.restore());
  const leader = new QuotaLeader(day.tolerance, 0);
  const links = Array.from(
    {length: day.entries},
    (_, index) => new Link(index, day, leader),
  );
  const decisions: GateDecision[] = [];
  const arrive = async (entry: number, units: number): Promise<void> => {
    const arrivedAtMs = Date.now();
    const prompt = {promptTokens: units, maxOutputTokens: 0};
    const verdict = await links[entry]?.gate.admit(
      day.spec,
      prompt,
      day.targetLatencyMs,
    );
    const waitedMs = Date.now() - arrivedAtMs;
    const isAdmitted = verdict?.kind === 'admitted';
    decisions.push({arrivedAtMs, entry, units, isAdmitted, waitedMs});
  };
  const steps = Array.from({length: day.lengthMs / STEP_MS}, (_, step) => step);
  for (const step of steps) {
    const atMs = step * STEP_MS;
    if (atMs % CONFIRM_INTERVAL_MS === 0) {
      leader.confirm(
        {term: TERM, askedAt: instantNow()},
        {workspaces: [day.spec], firstQuotaTerm: TERM},
        atMs,
      );
    }
    links.forEach((_, entry) =>
      day.arrivals(entry, atMs).forEach(units => void arrive(entry, units)),
    );
    await settleAll();
    t.mock.timers.tick(STEP_MS);
    await settleAll();
  }
  links.forEach(({gate}) => gate.stop());
  await settleAll();
  return {decisions, askedAtMs: links.map(each => each.askedAtMs)};
}

// Lets the promises of decisions run.
async function settleAll(): Promise<void> {
  await Promise.resolve();
  await Promise.resolve();
  await Promise.resolve();
}
