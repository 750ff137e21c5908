/** Engines of different speed under load, without a network. */
import type {Scheduler} from '../scheduler.js';
import type {Decision, WorkItem} from '../types.js';
import {
  createScheduler,
  ENGINE_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const STEP_MS = 5;
/** Prefill rate of an engine of speed 1. */
export const ACTUAL_TOKENS_PER_MS = 40;
const DECODE_MS = 4.7;
const DECODE_GROWTH_MS = 0.1;
const HOP_MS = 8;
const SLOTS = 32;
const MIN_SLACK_MS = 60;
const SLACK_SHARE = 0.3;

type Grant = Extract<Decision, {kind: 'grant'}>;

interface Run {
  readonly grant: Grant;
  readonly item: WorkItem;
  readonly grantedAtMs: number;
  readonly begunAtMs: number;
  readonly endsAtMs: number;
  isOverdue: boolean;
  hasBegun: boolean;
}

/** An engine that reads one prompt after the other and writes in a batch. */
class Engine {
  readonly runs: Run[] = [];
  private running: Run[] = [];
  private readAtMs = 0;
  private readonly cached = new Set<string>();

  constructor(readonly speed: number) {}

  take(grant: Grant, item: WorkItem, nowMs: number): void {
    const parts = item.prompt?.parts ?? [];
    const missing = parts.filter(each => !this.cached.has(each.partId));
    const tokens = missing.reduce((sum, each) => sum + each.tokens, 0);
    const prefillMs = tokens / ACTUAL_TOKENS_PER_MS / this.speed;
    this.readAtMs = Math.max(this.readAtMs, nowMs) + prefillMs;
    parts.forEach(each => this.cached.add(each.partId));
    // What is read for others while it writes.
    this.running = this.running.map(each =>
      each.begunAtMs <= nowMs
        ? {...each, endsAtMs: each.endsAtMs + prefillMs}
        : each,
    );
    const batch = this.running.length + 1;
    const stepMs = (DECODE_MS + DECODE_GROWTH_MS * batch) / this.speed;
    const begunAtMs = this.readAtMs + HOP_MS + stepMs;
    const output = item.prompt?.expectedOutputTokens ?? 0;
    const endsAtMs = begunAtMs + output * stepMs;
    const times = {grantedAtMs: nowMs, begunAtMs, endsAtMs};
    const run = {grant, item, ...times, isOverdue: false, hasBegun: false};
    this.running.push(run);
    this.runs.push(run);
  }

  /** Those that are not known to have begun. */
  pending(): readonly Run[] {
    return this.running.filter(each => !each.hasBegun);
  }

  /** Removes and returns what has ended. */
  takeEnded(nowMs: number): readonly Run[] {
    const ended = this.running.filter(each => each.endsAtMs <= nowMs);
    this.running = this.running.filter(each => each.endsAtMs > nowMs);
    return ended;
  }
}

/** A scheduler with engines of the given speeds. */
export class UnevenEngines {
  readonly scheduler: Scheduler;
  readonly engines: readonly Engine[];
  private readonly items = new Map<string, WorkItem>();

  constructor(speeds: readonly number[], traits = ENGINE_TRAITS) {
    this.scheduler = createScheduler(traits);
    this.engines = speeds.map(speed => new Engine(speed));
    this.scheduler.pool.applyReading({
      upstreams: speeds.map((_, index) =>
        upstream(`engine-${index}`, {slots: SLOTS}),
      ),
      readAtMs: 0,
      lagMs: 800,
    });
  }

  /** Plays a load; `arrivals` returns the requests of one step of time. */
  play(
    fromMs: number,
    toMs: number,
    arrivals: (nowMs: number) => readonly WorkItem[],
  ): void {
    const steps = (toMs - fromMs) / STEP_MS;
    Array.from({length: steps}, (_, step) => fromMs + step * STEP_MS).forEach(
      nowMs => {
        this.engines.forEach(each => {
          each.pending().forEach(run => this.report(run, nowMs));
          this.release(each, nowMs);
        });
        arrivals(nowMs).forEach(item => {
          this.items.set(item.requestId, item);
          this.scheduler.submit(item, nowMs);
        });
        this.scheduler
          .decide(nowMs)
          .flatMap(each => (each.kind === 'grant' ? [each] : []))
          .forEach(grant => this.start(grant, nowMs));
      },
    );
  }

  /** Learned ratios of prefill times to those of an average engine. */
  slownesses(): readonly number[] {
    return this.scheduler.pool.all().map(each => each.slownessFactor);
  }

  private start(grant: Grant, nowMs: number): void {
    const item = this.items.get(grant.requestId);
    const index = Number(grant.upstreamId.split('-')[1]);
    if (item !== undefined) this.engines[index]?.take(grant, item, nowMs);
  }

  /** As entries report a first answer that is late. */
  private report(run: Run, nowMs: number): void {
    const {upstreamId, requestId, expectedMs} = run.grant;
    const state = this.scheduler.pool.get(upstreamId);
    const slackMs = Math.max(MIN_SLACK_MS, expectedMs * SLACK_SHARE);
    if (run.begunAtMs <= nowMs) {
      run.hasBegun = true;
      if (run.isOverdue) state?.noteBegun(requestId, nowMs);
    } else if (
      !run.isOverdue &&
      run.grantedAtMs + expectedMs + slackMs <= nowMs
    ) {
      run.isOverdue = true;
      state?.noteOverdue(requestId);
    }
  }

  private release(engine: Engine, nowMs: number): void {
    const releases = engine.takeEnded(nowMs).map(run => ({
      requestId: run.grant.requestId,
      upstreamId: run.grant.upstreamId,
      outcome: 'answered' as const,
      firstAnswerMs: run.begunAtMs - run.grantedAtMs,
      totalMs: run.endsAtMs - run.grantedAtMs,
      events: eventsOf(run.item),
    }));
    this.scheduler.release(releases, nowMs);
  }
}

function eventsOf({prompt}: WorkItem): number {
  const {tokensPerEvent} = ENGINE_TRAITS;
  return Math.round((prompt?.expectedOutputTokens ?? 0) / tokensPerEvent);
}
