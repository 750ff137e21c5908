/**
 * Runs the schedulers assigned to this entry, one for each service and failure
 * domain. An actor owns them, so that messages are handled one at a time.
 */
import {monotonicNowMs} from '../clock/clock.js';
import {CrashEvidence} from '../decisions/quarantine/crash_evidence.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {ServiceSpec} from '../routes/route_table.js';
import {RetryReport} from '../scheduling/retry_report.js';
import {Scheduler} from '../scheduling/scheduler.js';
import type {SchedulerOptions} from '../scheduling/scheduler_options.js';
import type {
  CapacityDigest,
  Decision,
  ListReading,
  ServiceTraits,
} from '../scheduling/types.js';
import type {UpstreamCrash} from '../scheduling/crash_watch.js';
import {suspectRuns} from '../scheduling/suspects.js';
import type {PoolChange} from '../scheduling/pool_changes.js';
import type {
  DomainId,
  InstanceId,
  RegionId,
  ServiceId,
  UpstreamId,
} from '../types/ids.js';
import {BatchingActor} from './batching_actor.js';
import type {SchedulerScope, SubmissionPart} from './messages.js';
import {SchedulerLog} from './scheduler_log.js';

const PROBED_CHANGES: ReadonlySet<PoolChange['kind']> = new Set([
  'down',
  'suspected',
]);
/** Interval of queue processing while requests wait. */
const QUEUE_CHECK_MS = 8;
/** A scheduler that got no message for this long may be dropped. */
const IDLE_SCHEDULER_MS = 10_000;

export interface SchedulerHostOptions {
  readonly region: RegionId;
  readonly retries: SchedulerOptions['retries'];
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly serviceSpec: (service: ServiceId) => ServiceSpec | undefined;
  readonly deliver: (decision: Decision) => void;
  /** Called when an upstream becomes down or suspected and must be probed. */
  readonly onDown: () => void;
  /** Called when a scheduler starts, which needs a reading of the list. */
  readonly onStarted: () => void;
}

/** An upstream that is down or suspected and must be probed. */
export interface ProbeTarget {
  readonly service: ServiceId;
  readonly domain: DomainId;
  readonly upstreamId: UpstreamId;
  readonly address: string;
}

/** The load of the schedulers on one entry. */
export interface SchedulerLoad {
  /** Number of requests submitted since the start. */
  readonly itemsTaken: number;
  /** Number of queued requests. */
  readonly queueLength: number;
}

interface HostedScheduler {
  readonly scope: SchedulerScope;
  readonly scheduler: Scheduler;
  readonly startedAtMs: number;
  lastUsedAtMs: number;
}

type HostMessage =
  | {
      readonly kind: 'submission';
      readonly from: InstanceId;
      readonly parts: readonly SubmissionPart[];
      /** Called once the immediate decisions are delivered. */
      readonly onHandled: () => void;
    }
  | {readonly kind: 'check'};

/** The schedulers on one entry. */
export class SchedulerHost {
  /** What crashes upstreams, for the schedulers of all services. */
  readonly evidence = new CrashEvidence();
  private readonly hosted = new Map<string, HostedScheduler>();
  private readonly actor: BatchingActor<HostMessage>;
  private readonly log: SchedulerLog;
  private readonly retryReport = new RetryReport();
  private reading: ListReading | undefined;
  private evacuated: readonly DomainId[] = [];
  private timer: ReturnType<typeof setTimeout> | undefined;
  private isStopped = false;
  private itemsTaken = 0;

  constructor(private readonly options: SchedulerHostOptions) {
    this.log = new SchedulerLog(options);
    this.actor = new BatchingActor({
      name: 'scheduler_host',
      handle: message => this.handle(message),
      onBatch: messages => this.finish(messages),
      onFailure: (_message, thrown) => this.log.failed(thrown),
    });
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.actor.stop();
  }

  /** Resolves once the parts are handled and immediate decisions delivered. */
  submit(from: InstanceId, parts: readonly SubmissionPart[]): Promise<void> {
    if (this.isStopped) return Promise.resolve();
    return new Promise(onHandled =>
      this.actor.send({kind: 'submission', from, parts, onHandled}),
    );
  }

  /** Creates the scheduler of a scope if it does not exist yet. */
  ensureScheduler(scope: SchedulerScope): void {
    this.schedulerOf(scope);
  }

  scopes(): readonly SchedulerScope[] {
    return [...this.hosted.values()].map(({scope}) => scope);
  }

  load(): SchedulerLoad {
    const queued = [...this.hosted.values()].reduce(
      (sum, {scheduler}) => sum + scheduler.queueLength,
      0,
    );
    return {itemsTaken: this.itemsTaken, queueLength: queued};
  }

  /** Logs the counts of schedulers that decided on retries since the last call. */
  logRetries(): void {
    const nowMs = monotonicNowMs();
    this.hosted.forEach(({scope, scheduler, startedAtMs}) =>
      this.retryReport.report(scheduler.retryBudget, nowMs, counts =>
        this.log.retriesDecided(scope, counts, nowMs - startedAtMs),
      ),
    );
  }

  applyReading(reading: ListReading): void {
    this.reading = reading;
    this.hosted.forEach(hosted => applyReadingTo(hosted, reading));
    this.requestQueueCheck();
  }

  /** Applies a changed route table or changed evacuations. */
  applyControl(evacuated: readonly DomainId[]): void {
    const nowMs = monotonicNowMs();
    this.evacuated = evacuated;
    this.hosted.forEach(({scheduler, scope}) => {
      scheduler.setEvacuated(evacuated, nowMs);
      scheduler.pool.setTraits(this.traitsOf(scope.service));
    });
    this.requestQueueCheck();
  }

  recordDigests(digests: readonly CapacityDigest[]): void {
    const nowMs = monotonicNowMs();
    digests.forEach(digest =>
      [...this.hosted.values()]
        .filter(({scope}) => scope.service === digest.service)
        .filter(({scope}) => scope.domain !== digest.domain)
        .forEach(({scheduler}) => scheduler.board.record(digest, nowMs)),
    );
  }

  digests(): readonly CapacityDigest[] {
    const nowMs = monotonicNowMs();
    return [...this.hosted.values()].map(({scope, scheduler}) =>
      scheduler.digest(scope.service, nowMs),
    );
  }

  probeTargets(): readonly ProbeTarget[] {
    return [...this.hosted.values()].flatMap(({scope, scheduler}) =>
      scheduler.pool.toProbe().map(({listed: {upstreamId, address}}) => ({
        ...scope,
        upstreamId,
        address,
      })),
    );
  }

  noteProbe(target: ProbeTarget, coldRemainingMs: number): void {
    this.hosted
      .get(scopeKey(target))
      ?.scheduler.pool.noteProbe(
        target.upstreamId,
        coldRemainingMs,
        monotonicNowMs(),
      );
    this.requestQueueCheck();
  }

  /** `isRefused` says that nothing listens at the upstream's address. */
  noteProbeFailure(target: ProbeTarget, isRefused: boolean): void {
    this.hosted
      .get(scopeKey(target))
      ?.scheduler.pool.noteProbeFailure(
        target.upstreamId,
        monotonicNowMs(),
        isRefused,
      );
  }

  /** Removes the requests and placements of entries that left or expired. */
  pruneEntries(isKnown: (entry: InstanceId) => boolean): void {
    this.hosted.forEach(({scheduler}) => scheduler.pruneEntries(isKnown));
  }

  /** Drops idle schedulers that are not needed. */
  dropIdle(isNeeded: (scope: SchedulerScope) => boolean): void {
    const nowMs = monotonicNowMs();
    [...this.hosted]
      .filter(([, hosted]) => {
        const isIdle = nowMs - hosted.lastUsedAtMs > IDLE_SCHEDULER_MS;
        return isIdle && !isNeeded(hosted.scope);
      })
      .forEach(([key]) => this.hosted.delete(key));
  }

  private requestQueueCheck(): void {
    this.actor.send({kind: 'check'});
  }

  private handle(message: HostMessage): void {
    if (message.kind === 'check') return;
    message.parts.forEach(part => this.handlePart(message.from, part));
  }

  /** Delivers what the messages of one turn have led to. */
  private finish(messages: readonly HostMessage[]): void {
    const isCheckDue = messages.some(({kind}) => kind === 'check');
    const nowMs = monotonicNowMs();
    this.schedulers().forEach(each =>
      this.guard(() =>
        this.deliver(isCheckDue ? each.decide(nowMs) : each.takeDecisions()),
      ),
    );
    this.armQueueTimer();
    messages.forEach(each => {
      if (each.kind === 'submission') each.onHandled();
    });
  }

  // A fault in one scheduler must not keep the decisions of the others back.
  private guard(action: () => void): void {
    try {
      action();
    } catch (thrown) {
      this.log.failed(thrown);
    }
  }

  private handlePart(from: InstanceId, part: SubmissionPart): void {
    const nowMs = monotonicNowMs();
    const service = part.kind === 'item' ? part.item.service : part.service;
    const scheduler = this.schedulerOf({service, domain: part.domain});
    switch (part.kind) {
      case 'item':
        this.itemsTaken += 1;
        return scheduler.submit(part.item, nowMs);
      case 'release':
        return scheduler.release([part.release], nowMs);
      case 'cancel':
        return scheduler.cancel(part.requestId);
      case 'stalled':
        return scheduler.pool.suspect(part.upstreamId, nowMs, from);
      case 'leaving':
        return scheduler.pool.noteLeaving(part.upstreamId);
      case 'overdue':
        return scheduler.pool.get(part.upstreamId)?.noteOverdue(part.requestId);
      case 'begun':
        return scheduler.pool
          .get(part.upstreamId)
          ?.noteBegun(part.requestId, nowMs);
      case 'limits':
        return scheduler.pool.noteLimits(
          part.upstreamId,
          part.requestId,
          part.limits,
        );
      case 'running':
        this.log.handedOver(from, part, scheduler.pool);
        return scheduler.syncRunning(from, part, nowMs);
    }
  }

  private armQueueTimer(): void {
    const hasQueue = this.schedulers().some(each => each.queueLength > 0);
    if (!hasQueue || this.timer !== undefined) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.requestQueueCheck();
    }, QUEUE_CHECK_MS);
  }

  private schedulers(): readonly Scheduler[] {
    return [...this.hosted.values()].map(each => each.scheduler);
  }

  private deliver(decisions: readonly Decision[]): void {
    decisions.forEach(decision => this.options.deliver(decision));
  }

  private schedulerOf(scope: SchedulerScope): Scheduler {
    const known = this.hosted.get(scopeKey(scope));
    const nowMs = monotonicNowMs();
    if (known !== undefined) {
      known.lastUsedAtMs = nowMs;
      return known.scheduler;
    }
    const {region, retries} = this.options;
    const {service, domain} = scope;
    const scheduler = new Scheduler({
      region,
      domain,
      retries,
      traits: this.traitsOf(service),
      onPoolChange: change => this.notePoolChange(service, change),
      onCrash: crash => this.noteCrash(service, crash),
      evidence: this.evidence,
      onLaneChange: (members, demand) =>
        this.log.laneChanged(service, members, demand),
    });
    scheduler.setEvacuated(this.evacuated, nowMs);
    const created: HostedScheduler = {
      scope: {service, domain},
      scheduler,
      startedAtMs: nowMs,
      lastUsedAtMs: nowMs,
    };
    if (this.reading !== undefined) applyReadingTo(created, this.reading);
    this.hosted.set(scopeKey(scope), created);
    this.log.started(scope, scheduler.pool.all().length);
    this.options.onStarted();
    return scheduler;
  }

  private traitsOf(service: ServiceId): ServiceTraits {
    const spec = this.options.serviceSpec(service);
    return {
      coldRequestsPerS: spec?.coldRequestsPerS ?? 0,
      kvCacheTokens: spec?.engine?.kvCacheTokens ?? 0,
      tokensPerEvent: spec?.engine?.tokensPerEvent ?? 1,
      fetchMsPerToken: spec?.engine?.fetchMsPerToken ?? 0,
    };
  }

  private notePoolChange(service: ServiceId, change: PoolChange): void {
    this.log.poolChanged(service, change, this.traitsOf(service));
    if (PROBED_CHANGES.has(change.kind)) this.options.onDown();
  }

  private noteCrash(service: ServiceId, crash: UpstreamCrash): void {
    const {crashId, atMs, running} = crash;
    const runs = suspectRuns(running);
    this.evidence.noteCrash(crashId, atMs, runs, monotonicNowMs());
    this.log.crashed(service, crash);
  }
}

function scopeKey({service, domain}: SchedulerScope): string {
  return `${domain} ${service}`;
}

function applyReadingTo(
  {scheduler, scope}: HostedScheduler,
  reading: ListReading,
): void {
  scheduler.pool.applyReading({
    ...reading,
    upstreams: reading.upstreams
      .filter(each => each.service === scope.service)
      .filter(each => each.domain === scope.domain),
  });
}
