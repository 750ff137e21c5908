/**
 * The strategies that the gateway is compared with. They know no queue, no
 * ranks and no prices: each job goes at once to an engine that the rule picks.
 * They respect residency and skip an engine that refused a connection.
 */
import type {InstanceConfig} from '../config/configuration.js';
import type {UpstreamId} from '../types/ids.js';
import type {FakeEngine} from './fake_engine.js';
import type {Job} from './job.js';
import {Strategy, type World} from './world.js';

/** An engine that refused is skipped for this time. */
const SKIP_MS = 5_000;
const MAX_TRIES = 3;

/** How a baseline picks among the engines that may run a job. */
export type BaselineRule = 'round_robin' | 'least_outstanding' | 'home_only';

/** A baseline. */
export class BaselineStrategy extends Strategy {
  readonly name: string;
  private readonly turns = new Map<string, number>();
  private readonly outstanding = new Map<string, number>();
  private readonly skippedUntilMs = new Map<string, number>();
  private readonly running = new Map<
    string,
    {engine: FakeEngine; key: string}
  >();

  constructor(
    private readonly world: World,
    private readonly rule: BaselineRule,
  ) {
    super();
    this.name = rule;
  }

  override arrive(job: Job, entry: InstanceConfig): void {
    this.send(job, entry, 1, new Set());
  }

  override cancel(job: Job): void {
    const running = this.running.get(job.requestId);
    if (running === undefined) return;
    running.engine.cancel(job.requestId);
    this.release(job);
  }

  private send(
    job: Job,
    entry: InstanceConfig,
    tryCount: number,
    failed: ReadonlySet<UpstreamId>,
  ): void {
    const engine = this.pick(job, entry, failed);
    if (engine === undefined) return this.world.lose(job, 'no_engine');
    const {regionId, upstreamId} = engine.config;
    const key = `${entry.instanceId} ${upstreamId}`;
    this.outstanding.set(key, (this.outstanding.get(key) ?? 0) + 1);
    this.running.set(job.requestId, {engine, key});
    this.world.payBytes(job, entry.regionId, regionId);
    const back = (run: () => void): void =>
      this.world.events.after(
        this.world.delayMs(regionId, entry.regionId),
        run,
      );
    const failure = (cause: string): void => {
      this.release(job);
      if (!engine.isAlive) {
        this.skippedUntilMs.set(key, this.world.events.nowMs + SKIP_MS);
      }
      if (!this.world.isOpen(job)) return;
      if (tryCount >= MAX_TRIES) return this.world.lose(job, cause);
      this.world.recorder.retried(job);
      this.send(job, entry, tryCount + 1, new Set([...failed, upstreamId]));
    };
    this.world.events.after(
      this.world.delayMs(entry.regionId, regionId),
      () => {
        if (!this.world.isOpen(job)) return this.release(job);
        const answer = engine.submit(job, {
          onFirstToken: () => back(() => this.world.firstToken(job)),
          onDone: () =>
            back(() => {
              this.release(job);
              this.world.answer(job, regionId);
            }),
          onLost: () => back(() => failure('upstream_failed')),
        });
        if (answer === 'refused') back(() => failure('upstream_refused'));
      },
    );
  }

  private release(job: Job): void {
    const running = this.running.get(job.requestId);
    if (running === undefined) return;
    this.running.delete(job.requestId);
    const count = this.outstanding.get(running.key) ?? 1;
    this.outstanding.set(running.key, count - 1);
  }

  private pick(
    job: Job,
    entry: InstanceConfig,
    failed: ReadonlySet<UpstreamId>,
  ): FakeEngine | undefined {
    const {allowedRegionIds, homeRegionId} = job.workspace;
    const regionIds =
      this.rule === 'home_only' ? [homeRegionId] : allowedRegionIds;
    const key = (engine: FakeEngine): string =>
      `${entry.instanceId} ${engine.upstreamId}`;
    const fit = [...this.world.engines.values()]
      .filter(engine => regionIds.includes(engine.config.regionId))
      .filter(engine => engine.config.modelIds.includes(job.modelId))
      .filter(engine => !failed.has(engine.upstreamId));
    const well = fit.filter(
      engine =>
        (this.skippedUntilMs.get(key(engine)) ?? 0) <= this.world.events.nowMs,
    );
    const engines = well.length > 0 ? well : fit;
    const turn = this.turns.get(entry.instanceId) ?? 0;
    this.turns.set(entry.instanceId, turn + 1);
    const start = turn % Math.max(1, engines.length);
    const inTurn = [...engines.slice(start), ...engines.slice(0, start)];
    if (this.rule === 'round_robin') return inTurn[0];
    return inTurn.reduce<FakeEngine | undefined>((best, each) => {
      const load = (engine: FakeEngine): number =>
        this.outstanding.get(key(engine)) ?? 0;
      return best === undefined || load(each) < load(best) ? each : best;
    }, undefined);
  }
}
