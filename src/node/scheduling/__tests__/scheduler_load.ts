/**
 * Plays arrivals against one scheduler in simulated time. Callers that are
 * refused come back once, when they are told to.
 */
import {seededRandom} from '../../__tests__/support/random.js';
import {asId, type RequestId, type WorkspaceId} from '../../types/ids.js';
import type {Decision, Release, ServiceTraits, WorkItem} from '../types.js';
import {chat, createScheduler, upstream} from './scheduling_fixture.js';

/** Callers wait at most this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3;
const JITTER = 0.3;
const DECIDE_INTERVAL_MS = 2;

/** The request of one caller. */
export interface Arrival {
  readonly atMs: number;
  readonly item: WorkItem;
}

/** Arrivals of one kind at a steady rate. */
export interface Stream {
  readonly name: string;
  readonly perS: number;
  readonly fromMs: number;
  readonly toMs: number;
  readonly itemOf: (name: string, random: () => number) => WorkItem;
}

export interface LoadOptions {
  readonly traits: ServiceTraits;
  readonly upstreams: number;
  readonly slots: number;
  readonly streams: readonly Stream[];
  readonly durationMs: number;
  /** Time from the grant to the first answer and to the end. */
  readonly serviceMs: (item: WorkItem) => {firstMs: number; totalMs: number};
}

/** What became of one caller. */
export interface Outcome {
  readonly stream: string;
  readonly item: WorkItem;
  readonly atMs: number;
  refusals: number;
  /** When it was told to come back, after each refusal. */
  readonly returnsMs: number[];
  /** From its first arrival to its first answer. */
  answeredMs?: number;
}

interface Running {
  readonly release: Release;
  readonly endsAtMs: number;
}

/** Plays the load and returns the outcome of each caller. */
export function playLoad(options: LoadOptions): readonly Outcome[] {
  return new LoadPlay(options).run();
}

/** A plain request. */
export function plainItem(
  name: string,
  fields: Partial<WorkItem> = {},
): WorkItem {
  const {prompt: _prompt, ...rest} = chat(name, {
    targetLatencyMs: 500,
    remainingMs: 4_000,
  });
  return {...rest, ...fields};
}

export function inWorkspace(name: string): Pick<WorkItem, 'workspace'> {
  return {workspace: asId<WorkspaceId>(name)};
}

/** Share of the outcomes answered within their target. */
export function timelyShare(outcomes: readonly Outcome[]): number {
  const timely = outcomes.filter(
    ({answeredMs = Infinity, item}) => answeredMs <= item.targetLatencyMs,
  );
  return timely.length / outcomes.length;
}

/** Share of the outcomes that were answered at all. */
export function answeredShare(outcomes: readonly Outcome[]): number {
  const answered = outcomes.filter(each => each.answeredMs !== undefined);
  return answered.length / outcomes.length;
}

class LoadPlay {
  private readonly random = seededRandom(11);
  private readonly scheduler;
  private readonly outcomes = new Map<string, Outcome>();
  private arrivals: Arrival[] = [];
  private running: Running[] = [];

  constructor(private readonly options: LoadOptions) {
    this.scheduler = createScheduler(options.traits);
    this.scheduler.pool.applyReading({
      readAtMs: 0,
      lagMs: 0,
      upstreams: Array.from({length: options.upstreams}, (_, index) =>
        upstream(`u${index}`, {slots: options.slots}),
      ),
    });
    options.streams.forEach(each => this.plan(each));
  }

  run(): readonly Outcome[] {
    Array.from({length: this.options.durationMs}, (_, nowMs) =>
      this.step(nowMs),
    );
    return [...this.outcomes.values()];
  }

  private plan({name, perS, fromMs, toMs, itemOf}: Stream): void {
    const count = Math.round(((toMs - fromMs) / 1_000) * perS);
    Array.from({length: count}, (_, index) => {
      const atMs = Math.floor(fromMs + this.random() * (toMs - fromMs));
      const item = itemOf(`${name}-${index}`, this.random);
      this.arrivals.push({atMs, item});
      this.outcomes.set(item.fingerprint, {
        stream: name,
        item,
        atMs,
        refusals: 0,
        returnsMs: [],
      });
    });
  }

  private step(nowMs: number): void {
    const {scheduler} = this;
    const ended = this.running.filter(each => each.endsAtMs <= nowMs);
    this.running = this.running.filter(each => each.endsAtMs > nowMs);
    scheduler.release(
      ended.map(each => each.release),
      nowMs,
    );
    const due = this.arrivals.filter(each => each.atMs <= nowMs);
    this.arrivals = this.arrivals.filter(each => each.atMs > nowMs);
    due.forEach(({item}) => scheduler.submit(item, nowMs));
    const decisions =
      nowMs % DECIDE_INTERVAL_MS === 0
        ? scheduler.decide(nowMs)
        : scheduler.takeDecisions();
    decisions.forEach(each => this.apply(each, nowMs));
  }

  private apply(decision: Decision, nowMs: number): void {
    const [fingerprint = ''] = decision.requestId.split('#');
    const outcome = this.outcomes.get(fingerprint);
    if (outcome === undefined) return;
    if (decision.kind === 'grant') this.start(outcome, decision, nowMs);
    if (decision.kind === 'refuse') {
      this.comeBack(outcome, decision.retryAfterMs, nowMs);
    }
  }

  private start(
    outcome: Outcome,
    {requestId, upstreamId}: Extract<Decision, {kind: 'grant'}>,
    nowMs: number,
  ): void {
    const {firstMs, totalMs} = this.options.serviceMs(outcome.item);
    outcome.answeredMs = nowMs + firstMs - outcome.atMs;
    this.running.push({
      endsAtMs: nowMs + totalMs,
      release: {
        requestId,
        upstreamId,
        outcome: 'answered',
        firstAnswerMs: firstMs,
        totalMs,
      },
    });
  }

  private comeBack(
    outcome: Outcome,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    const {item, atMs} = outcome;
    outcome.refusals += 1;
    const leftMs = item.remainingMs - (nowMs - atMs);
    const toldMs = retryAfterMs * (1 + JITTER * this.random());
    const returnMs = nowMs + Math.min(toldMs, leftMs * MAX_WAIT_SHARE);
    outcome.returnsMs.push(returnMs);
    if (outcome.refusals > 1) return;
    this.arrivals.push({
      atMs: Math.ceil(returnMs),
      item: {
        ...item,
        requestId: asId<RequestId>(`${item.fingerprint}#again`),
        remainingMs: leftMs - (returnMs - nowMs),
      },
    });
  }
}
