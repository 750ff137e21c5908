/** The fake platform of one run: engines, links, callers, faults. */
import type {
  Configuration,
  InstanceConfig,
  UpstreamConfig,
} from '../config/configuration.js';
import {listEntries} from '../decisions/index.js';
import type {RegionId, UpstreamId} from '../types/ids.js';
import {EventQueue} from './event_queue.js';
import {FakeEngine} from './fake_engine.js';
import type {Job} from './job.js';
import {RandomStream} from './random.js';
import {Recorder} from './recorder.js';
import type {Scenario} from './scenarios.js';

/** One-way delay between a caller and an entry of its region. */
const CALLER_DELAY_MS = 3;
/** One-way delay inside a domain. */
const INNER_DELAY_MS = 0.5;
/** Mean of the jitter between regions. */
const JITTER_MS = 5;
/** Messages between regions that are lost, and the time until resent. */
const LOSS_SHARE = 0.01;
const RESEND_MS = 200;
/** Delay of the platform's list of live instances. */
const PLATFORM_LIST_DELAY_MS = 5_000;
const BYTES_PER_MEGABYTE = 1e6;
/** After this a run ends, whatever is still open. */
const DRAIN_MS = 70_000;

/** Hears about engines from the platform, late. */
export type PlatformListener = (
  upstreamId: UpstreamId,
  isListed: boolean,
) => void;

/** How jobs are placed: the gateway's decisions, or a baseline. */
export abstract class Strategy {
  abstract readonly name: string;
  /** A job reaches an entry. */
  abstract arrive(job: Job, entry: InstanceConfig): void;
  /** Its deadline passed without an answer: stop working on it. */
  abstract cancel(job: Job): void;
}

/** The platform of one run. */
export class World {
  readonly events = new EventQueue();
  readonly recorder: Recorder;
  readonly engines: ReadonlyMap<UpstreamId, FakeEngine>;
  readonly random: RandomStream;
  private readonly platformListeners: PlatformListener[] = [];
  private readonly open = new Set<string>();

  constructor(
    readonly configuration: Configuration,
    readonly scenario: Scenario,
    seed: number,
  ) {
    this.random = new RandomStream(seed * 104_729 + 5);
    this.recorder = new Recorder(configuration, scenario);
    this.engines = new Map(
      configuration.upstreams.map(upstream => [
        upstream.upstreamId,
        new FakeEngine(upstream, this.events, (job, tokens) =>
          this.payTokens(job, tokens, upstream),
        ),
      ]),
    );
  }

  onPlatformList(listener: PlatformListener): void {
    this.platformListeners.push(listener);
  }

  /** One-way delay of one message. */
  delayMs(from: RegionId, to: RegionId): number {
    if (from === to) return INNER_DELAY_MS;
    const link = this.link(from, to);
    const resend = this.random.next() < LOSS_SHARE ? RESEND_MS : 0;
    return link.oneWayDelayMs + this.random.exponential(JITTER_MS) + resend;
  }

  /** Charges the bytes of a job that ran in another region. */
  payBytes(job: Job, from: RegionId, to: RegionId): void {
    if (from === to) return;
    const megabytes = (job.requestBytes + job.answerBytes) / BYTES_PER_MEGABYTE;
    const micros = megabytes * this.link(from, to).costMicrosPerMegabyte;
    this.recorder.cost(job, micros);
  }

  isOpen(job: Job): boolean {
    return this.open.has(job.requestId);
  }

  /** The first token reaches the entry at which the job arrived. */
  firstToken(job: Job): void {
    this.recorder.firstToken(job, this.events.nowMs + CALLER_DELAY_MS);
  }

  /** The end of the answer reaches the entry at which the job arrived. */
  answer(job: Job, regionId: RegionId): void {
    if (!this.open.delete(job.requestId)) return;
    this.recorder.answered(job, regionId, this.events.nowMs + CALLER_DELAY_MS);
  }

  /** The job ends without an answer. */
  lose(job: Job, cause: string): void {
    if (this.open.delete(job.requestId)) this.recorder.lost(job, cause);
  }

  /** Runs all jobs through a strategy. */
  run(jobs: readonly Job[], strategy: Strategy): void {
    const entries = this.configuration.instances.map(entry => ({
      ...entry,
      state: 'alive' as const,
      loadShare: 0,
    }));
    jobs.forEach(job =>
      this.events.after(job.arrivedAtMs, () => {
        const {homeRegionId, allowedRegionIds} = job.workspace;
        const {callerDigest} = job;
        const first = listEntries(
          {callerDigest, homeRegionId, allowedRegionIds},
          entries,
        ).entries[0];
        const entry = entries.find(
          each => each.instanceId === first?.instanceId,
        );
        this.recorder.arrived(job);
        this.open.add(job.requestId);
        if (entry === undefined) return this.lose(job, 'no_entry');
        this.events.after(CALLER_DELAY_MS, () => strategy.arrive(job, entry));
        this.events.after(job.deadlineAtMs - job.arrivedAtMs, () => {
          if (!this.isOpen(job)) return;
          this.lose(job, 'deadline');
          strategy.cancel(job);
        });
      }),
    );
    this.planLoss();
    this.events.runUntil(this.scenario.countUntilMs + DRAIN_MS);
  }

  private planLoss(): void {
    const {loss} = this.scenario;
    const regionId = this.configuration.regions[1]?.regionId;
    if (loss === undefined) return;
    [...this.engines.values()]
      .filter(engine => engine.config.regionId === regionId)
      .forEach(engine => {
        this.events.after(loss.fromMs, () => engine.kill());
        this.events.after(loss.untilMs, () => engine.revive());
        [loss.fromMs, loss.untilMs].forEach((atMs, index) =>
          this.events.after(atMs + PLATFORM_LIST_DELAY_MS, () =>
            this.platformListeners.forEach(listener =>
              listener(engine.upstreamId, index === 1),
            ),
          ),
        );
      });
  }

  private payTokens(job: Job, tokens: number, upstream: UpstreamConfig): void {
    this.recorder.cost(job, (tokens / 1_000) * upstream.costMicros);
  }

  private link(from: RegionId, to: RegionId): Configuration['links'][number] {
    const found = this.configuration.links.find(
      link =>
        (link.fromRegionId === from && link.toRegionId === to) ||
        (link.fromRegionId === to && link.toRegionId === from),
    );
    if (found === undefined) throw new Error(`no link ${from} to ${to}`);
    return found;
  }
}
