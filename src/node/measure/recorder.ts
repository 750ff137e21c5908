/** Records how each job of a run ended and what it cost. */
import type {Configuration} from '../config/configuration.js';
import type {RankId, RegionId} from '../types/ids.js';
import {ASSUMED_WARMTH, capacityWorkPerMs} from './load_generator.js';
import type {Job} from './job.js';
import type {Scenario} from './scenarios.js';

interface Entry {
  readonly job: Job;
  firstTokenMs?: number;
  wholeMs?: number;
  ranIn?: RegionId;
  lostBy?: string;
  costMicros: number;
  retries: number;
}

/** Quantiles of a time in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** The figures of one rank. */
export interface RankFigures {
  readonly rankId: RankId;
  readonly arrived: number;
  /** Share answered before the deadline. */
  readonly answeredShare: number;
  /** Share answered with the first token within the target of the rank. */
  readonly goodShare: number;
  /** Of the capacity, the share that good answers of this rank used. */
  readonly capacityShare: number;
  readonly costPer1000: number;
  readonly firstTokenMs: Quantiles;
  readonly wholeMs: Quantiles;
}

/** The figures of one strategy in one scenario. */
export interface Figures {
  readonly strategy: string;
  readonly ranks: readonly RankFigures[];
  /** Micros per 1,000 answered jobs: tokens, wasted ones too, and bytes. */
  readonly costPer1000: number;
  /** Share of answered jobs that ran outside their home region. */
  readonly awayShare: number;
  /** Work of good answers as a share of the capacity. */
  readonly goodputShare: number;
  /** Retries per first try. */
  readonly retryShare: number;
  /** Shares of arrived jobs that were refused or lost, by cause. */
  readonly refusals: Readonly<Record<string, number>>;
}

function quantiles(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number): number =>
    Math.round(
      sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ??
        0,
    );
  return {p50: at(0.5), p95: at(0.95), p99: at(0.99)};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}

/** Work of an answer with the prefix warm as often as the load assumes. */
function valueMs(job: Job): number {
  return job.prefillMs * ASSUMED_WARMTH + job.tokenCount * job.decodeMs;
}

/** The outcomes of one run. */
export class Recorder {
  private readonly entries = new Map<string, Entry>();

  constructor(
    private readonly configuration: Configuration,
    private readonly scenario: Scenario,
  ) {}

  arrived(job: Job): void {
    this.entries.set(job.requestId, {job, costMicros: 0, retries: 0});
  }

  /** The first token reaches the caller at `atMs`. */
  firstToken(job: Job, atMs: number): void {
    const entry = this.entry(job);
    entry.firstTokenMs ??= atMs - job.arrivedAtMs;
  }

  /** The end of the answer reaches the caller at `atMs`. */
  answered(job: Job, regionId: RegionId, atMs: number): void {
    const entry = this.entry(job);
    entry.wholeMs = atMs - job.arrivedAtMs;
    entry.ranIn = regionId;
  }

  /** The job ended without an answer. */
  lost(job: Job, cause: string): void {
    this.entry(job).lostBy ??= cause;
  }

  cost(job: Job, micros: number): void {
    this.entry(job).costMicros += micros;
  }

  retried(job: Job): void {
    this.entry(job).retries += 1;
  }

  /** The figures of the jobs that arrived in the counted span. */
  figures(strategy: string): Figures {
    const counted = [...this.entries.values()].filter(
      ({job}) =>
        job.arrivedAtMs >= this.scenario.countFromMs &&
        job.arrivedAtMs < this.scenario.countUntilMs,
    );
    const answered = counted.filter(each => each.wholeMs !== undefined);
    const away = answered.filter(
      each => each.ranIn !== each.job.workspace.homeRegionId,
    );
    const causes = [
      ...new Set(counted.flatMap(each => lostCause(each) ?? [])),
    ].sort();
    return {
      strategy,
      ranks: this.configuration.ranks.map(rank =>
        this.rankFigures(counted, rank.rankId),
      ),
      costPer1000: costPer1000(counted),
      awayShare: ratio(away.length, answered.length),
      goodputShare: this.capacityShare([...this.entries.values()]),
      retryShare: ratio(sum(counted.map(each => each.retries)), counted.length),
      refusals: Object.fromEntries(
        causes.map(cause => [
          cause,
          ratio(
            counted.filter(each => lostCause(each) === cause).length,
            counted.length,
          ),
        ]),
      ),
    };
  }

  private rankFigures(all: readonly Entry[], rankId: RankId): RankFigures {
    const entries = all.filter(each => each.job.rankId === rankId);
    const answered = entries.filter(each => each.wholeMs !== undefined);
    const good = entries.filter(each => this.isGood(each));
    const inRank = [...this.entries.values()].filter(
      each => each.job.rankId === rankId,
    );
    return {
      rankId,
      arrived: entries.length,
      answeredShare: ratio(answered.length, entries.length),
      goodShare: ratio(good.length, entries.length),
      capacityShare: this.capacityShare(inRank),
      costPer1000: costPer1000(entries),
      firstTokenMs: quantiles(answered.map(each => each.firstTokenMs ?? 0)),
      wholeMs: quantiles(answered.map(each => each.wholeMs ?? 0)),
    };
  }

  /** Good answers that ended in the counted span, by their work. */
  private capacityShare(entries: readonly Entry[]): number {
    const {countFromMs, countUntilMs} = this.scenario;
    const value = sum(
      entries
        .filter(each => this.isGood(each))
        .filter(each => {
          const endMs = each.job.arrivedAtMs + (each.wholeMs ?? 0);
          return endMs >= countFromMs && endMs < countUntilMs;
        })
        .map(each => valueMs(each.job)),
    );
    const capacity = capacityWorkPerMs(this.configuration.upstreams);
    return value / (capacity * (countUntilMs - countFromMs));
  }

  private isGood(entry: Entry): boolean {
    const rank = this.configuration.ranks.find(
      each => each.rankId === entry.job.rankId,
    );
    return (
      entry.wholeMs !== undefined &&
      (entry.firstTokenMs ?? Infinity) <= (rank?.firstTokenTargetMs ?? 0)
    );
  }

  private entry(job: Job): Entry {
    const found = this.entries.get(job.requestId);
    if (found === undefined) throw new Error(`unknown job ${job.requestId}`);
    return found;
  }
}

function lostCause(entry: Entry): string | undefined {
  return entry.wholeMs === undefined ? (entry.lostBy ?? 'open') : undefined;
}

function costPer1000(entries: readonly Entry[]): number {
  const answered = entries.filter(each => each.wholeMs !== undefined);
  const cost = sum(entries.map(each => each.costMicros));
  return Math.round(ratio(cost, answered.length) * 1_000);
}
