/** The gateway: the serving decisions, wired as an entry wires them. */
import type {InstanceConfig, RankConfig} from '../config/configuration.js';
import {
  chooseDomain,
  chooseUpstream,
  hasFreeOwner,
  latencyScale,
  poolCapacity,
  retryVerdict,
  type AdmissionRequest,
  type OffloadChoice,
  type RouteRequest,
} from '../decisions/index.js';
import type {InstanceId, UpstreamId} from '../types/ids.js';
import {EntryState} from './entry_state.js';
import {WARM_PREFILL_SHARE, type FakeEngine} from './fake_engine.js';
import {startFeeds} from './feeds.js';
import type {Job} from './job.js';
import {BYTES_PER_TOKEN} from './load_generator.js';
import {Strategy, type World} from './world.js';

/** A job at the entry that runs it. */
interface Held {
  readonly job: Job;
  readonly entry: EntryState;
  /** The entry that received it from the caller. */
  readonly origin: EntryState;
  /** When the first token must leave `entry`. */
  readonly dueAtMs: number;
  readonly tryCount: number;
  readonly failed: ReadonlySet<UpstreamId>;
  engine?: FakeEngine;
}

/** The strategy under test. */
export class GatewayStrategy extends Strategy {
  readonly name = 'gateway';
  private readonly entries: ReadonlyMap<InstanceId, EntryState>;
  private readonly held = new Map<string, Held>();

  constructor(private readonly world: World) {
    super();
    const {configuration} = world;
    this.entries = new Map(
      configuration.instances.map(instance => [
        instance.instanceId,
        new EntryState(instance, configuration),
      ]),
    );
    startFeeds(world, [...this.entries.values()], entry => this.pump(entry));
  }

  override arrive(job: Job, instance: InstanceConfig): void {
    const entry = this.entries.get(instance.instanceId);
    if (entry === undefined) return this.world.lose(job, 'no_entry');
    entry.budgets.recordFirstTry(job.workspace.workspaceId);
    const choice = this.place(job, entry);
    if (choice.kind === 'refused') return this.world.lose(job, choice.cause);
    if (choice.kind === 'away') return this.forward(job, entry, choice);
    this.admit(this.hold(job, entry, entry, 1, new Set()));
  }

  override cancel(job: Job): void {
    const held = this.held.get(job.requestId);
    if (held === undefined) return;
    this.held.delete(job.requestId);
    if (held.entry.admission.remove(job.requestId) !== 'running') return;
    held.engine?.cancel(job.requestId);
    this.freeSlot(held);
  }

  /** Where a job should run, by price. */
  private place(job: Job, entry: EntryState): OffloadChoice {
    const {nowMs} = this.world.events;
    const {policy, links, ranks} = this.world.configuration;
    const rank = this.rank(job);
    entry.refreshSlots(nowMs);
    const request = this.admissionRequest(job, entry);
    const preview = entry.admission.preview(request, nowMs);
    const hasCapacity =
      preview.kind === 'queued' || preview.cause !== 'no_capacity';
    const view = entry.view(nowMs);
    const tokens = entry.tokens.get(job.rankId)?.mean ?? 0;
    const key = `${job.poolId} ${job.rankId}`;
    const local = poolCapacity(view, job.poolId, nowMs);
    const choice = chooseDomain(
      {
        poolId: job.poolId,
        rankId: job.rankId,
        homeRegionId: job.workspace.homeRegionId,
        allowedRegionIds: job.workspace.allowedRegionIds,
        isForwarded: false,
        requestBytes: job.requestBytes,
        answerBytes: tokens * BYTES_PER_TOKEN,
        costUnits: tokens / 1_000,
        prefixSavedMs: this.prefixSavedMs(job),
        latencyScale: latencyScale(
          ranks[0]?.firstTokenTargetMs ?? 1,
          rank.firstTokenTargetMs,
        ),
        revenueMicros: rank.revenuePerJobMicros,
        allowedDelayMs: rank.firstTokenTargetMs - entry.firstToken.mean,
        localWaitMs: hasCapacity ? preview.predictedWaitMs : Infinity,
        localBacklogMs: hasCapacity
          ? entry.admission.backlogMs(job.poolId, job.rankId, nowMs)
          : Infinity,
        localFillShare: 1 - local.freeSlots / Math.max(1, local.slotCount),
        localMeanServiceMs: local.meanServiceMs,
        localCostMicros: local.costMicros,
        isRejectedLocally: preview.kind === 'refused',
        wasAway: entry.wasAway.get(key) ?? false,
      },
      view,
      links,
      policy,
      nowMs,
    );
    entry.wasAway.set(key, choice.kind === 'away');
    return choice;
  }

  /** Sends a job to an entry of another domain, once. */
  private forward(
    job: Job,
    origin: EntryState,
    choice: Extract<OffloadChoice, {kind: 'away'}>,
  ): void {
    const {events} = this.world;
    const targets = [...this.entries.values()].filter(
      each => each.instance.domainId === choice.domainId,
    );
    const index = Math.floor(this.world.random.next() * targets.length);
    const entry = targets[index];
    if (entry === undefined) return this.world.lose(job, 'no_entry');
    origin.recordSentAway(choice.domainId, job.poolId, events.nowMs);
    const from = origin.instance.regionId;
    const to = entry.instance.regionId;
    this.world.payBytes(job, from, to);
    events.after(this.world.delayMs(from, to), () => {
      if (!this.world.isOpen(job)) return;
      this.admit(this.hold(job, entry, origin, 1, new Set()));
    });
  }

  private hold(
    job: Job,
    entry: EntryState,
    origin: EntryState,
    tryCount: number,
    failed: ReadonlySet<UpstreamId>,
  ): Held {
    const backMs =
      entry === origin
        ? 0
        : this.world.delayMs(entry.instance.regionId, origin.instance.regionId);
    const dueAtMs =
      job.arrivedAtMs + this.rank(job).firstTokenTargetMs - backMs;
    return {job, entry, origin, dueAtMs, tryCount, failed};
  }

  private admit(held: Held): void {
    const {job, entry, origin} = held;
    const {nowMs} = this.world.events;
    entry.refreshSlots(nowMs);
    const request = this.admissionRequest(job, entry, held.dueAtMs);
    const verdict = entry.admission.enqueue(request, nowMs);
    if (verdict.kind === 'queued') {
      this.held.set(job.requestId, held);
      this.pump(entry);
      return;
    }
    const isLocalAllowed = job.workspace.allowedRegionIds.includes(
      origin.instance.regionId,
    );
    if (entry === origin || !isLocalAllowed) {
      this.world.lose(job, verdict.cause);
      return;
    }
    // The other domain answered `not_run`: the origin queues it itself.
    this.world.events.after(
      this.world.delayMs(entry.instance.regionId, origin.instance.regionId),
      () => {
        if (!this.world.isOpen(job)) return;
        this.admit(this.hold(job, origin, origin, 1, new Set()));
      },
    );
  }

  /** Starts what may start. */
  private pump(entry: EntryState): void {
    const {nowMs} = this.world.events;
    entry.refreshSlots(nowMs);
    for (;;) {
      const view = entry.view(nowMs);
      const started = entry.admission.next(nowMs, request => {
        const held = this.held.get(request.requestId);
        return (
          held !== undefined &&
          hasFreeOwner(
            this.routeRequest(held, held.job.priority > 0),
            view,
            nowMs,
          )
        );
      });
      entry.admission.expire(nowMs).forEach(({request, cause}) => {
        const late = this.held.get(request.requestId);
        this.held.delete(request.requestId);
        if (late !== undefined) this.world.lose(late.job, `queued_${cause}`);
      });
      if (started === undefined) return;
      const held = this.held.get(started.request.requestId);
      if (held === undefined) {
        entry.admission.complete(started.request.requestId, nowMs);
      } else {
        this.dispatch(held, started.leavesReserve);
      }
      entry.refreshSlots(nowMs);
    }
  }

  private dispatch(held: Held, leavesReserve: boolean): void {
    const {job, entry} = held;
    const {events} = this.world;
    const choice = chooseUpstream(
      this.routeRequest(held, leavesReserve),
      entry.view(events.nowMs),
      events.nowMs,
      () => this.world.random.next(),
    );
    const engine =
      choice.kind === 'chosen'
        ? this.world.engines.get(choice.upstreamId)
        : undefined;
    if (engine === undefined) {
      entry.admission.complete(job.requestId, events.nowMs);
      this.held.delete(job.requestId);
      this.world.lose(job, 'no_upstream');
      return;
    }
    held.engine = engine;
    entry.addInFlight(engine.upstreamId, 1);
    this.submit(held, engine, events.nowMs);
  }

  private routeRequest(held: Held, leavesReserve: boolean): RouteRequest {
    const {job, failed} = held;
    return {
      poolId: job.poolId,
      prefixDigest: job.prefixDigest,
      prefixSavedMs: this.prefixSavedMs(job),
      leavesReserve,
      excludedUpstreamIds: failed,
    };
  }

  private submit(held: Held, engine: FakeEngine, startedAtMs: number): void {
    const {job, entry} = held;
    const {events} = this.world;
    const {regionId} = entry.instance;
    const innerMs = this.world.delayMs(regionId, regionId);
    const isCurrent = (): boolean => this.held.get(job.requestId) === held;
    const failed = (): void => {
      if (isCurrent()) this.onFailure(held, engine);
    };
    events.after(innerMs, () => {
      if (!isCurrent()) return;
      const answer = engine.submit(job, {
        onFirstToken: () => {
          entry.firstToken.add(events.nowMs - startedAtMs);
          this.toOrigin(held, () => this.world.firstToken(job));
        },
        onDone: () => {
          if (!isCurrent()) return;
          this.held.delete(job.requestId);
          entry.health.recordSuccess(engine.upstreamId);
          entry.tokens.get(job.rankId)?.add(job.tokenCount);
          entry.recordService(engine.upstreamId, events.nowMs - startedAtMs);
          this.toOrigin(held, () => this.world.answer(job, regionId));
          this.freeSlot(held);
        },
        onLost: () => events.after(innerMs, failed),
      });
      if (answer === 'refused') events.after(innerMs, failed);
    });
  }

  private toOrigin(held: Held, run: () => void): void {
    const {entry, origin} = held;
    const backMs =
      entry === origin
        ? 0
        : this.world.delayMs(entry.instance.regionId, origin.instance.regionId);
    this.world.events.after(backMs + 0.5, run);
  }

  private onFailure(held: Held, engine: FakeEngine): void {
    const {job, entry} = held;
    const {nowMs} = this.world.events;
    const {workspaceId} = job.workspace;
    this.held.delete(job.requestId);
    if (engine.isAlive) entry.health.recordFailure(engine.upstreamId, nowMs);
    else entry.health.recordUnreachable(engine.upstreamId, nowMs);
    this.freeSlot(held);
    const verdict = retryVerdict(
      {
        isIdempotent: true,
        tryCount: held.tryCount,
        relayedBytes: 0,
        canResume: true,
        deadlineAtMs: job.deadlineAtMs,
        expectedMs: entry.firstToken.mean,
        hasBudget: entry.budgets.canSpend(workspaceId),
      },
      nowMs,
      () => this.world.random.next(),
    );
    if (verdict.kind === 'give_up') {
      this.world.lose(job, `retry_${verdict.cause}`);
      return;
    }
    entry.budgets.trySpend(workspaceId);
    this.world.recorder.retried(job);
    const failed = new Set([...held.failed, engine.upstreamId]);
    this.world.events.after(verdict.delayMs, () => {
      if (!this.world.isOpen(job)) return;
      const {origin, tryCount} = held;
      this.admit(this.hold(job, entry, origin, tryCount + 1, failed));
    });
  }

  /** Gives the slot of a job back and starts the next one. */
  private freeSlot(held: Held): void {
    const {job, entry, engine} = held;
    if (!entry.admission.complete(job.requestId, this.world.events.nowMs)) {
      return;
    }
    if (engine !== undefined) entry.addInFlight(engine.upstreamId, -1);
    this.pump(entry);
  }

  private admissionRequest(
    job: Job,
    entry: EntryState,
    firstTokenDueAtMs?: number,
  ): AdmissionRequest {
    return {
      requestId: job.requestId,
      workspaceId: job.workspace.workspaceId,
      poolId: job.poolId,
      rankId: job.rankId,
      fairWeight: job.workspace.fairWeight,
      deadlineAtMs: job.deadlineAtMs,
      firstTokenDueAtMs,
      expectedFirstTokenMs: entry.firstToken.mean,
    };
  }

  /** The entry knows what is typical of a model, not of this prompt. */
  private prefixSavedMs(job: Job): number {
    const {models} = this.world.configuration;
    const model = models.find(each => each.modelId === job.modelId);
    return (model?.prefillMs ?? 0) * (1 - WARM_PREFILL_SHARE);
  }

  private rank(job: Job): RankConfig {
    const found = this.world.configuration.ranks.find(
      each => each.rankId === job.rankId,
    );
    if (found === undefined) throw new Error(`unknown rank ${job.rankId}`);
    return found;
  }
}
