/**
 * Runs the schedulers of the services that fall to this entry. An actor owns
 * them, so that each message is handled whole before the next one.
 */
import {dispatch, spawn, start, stop} from 'nact';
import {monotonicNowMs} from '../clock/clock.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {ServiceSpec} from '../routes/route_table.js';
import {Scheduler, type SchedulerOptions} from '../scheduling/scheduler.js';
import type {
  CapacityDigest,
  Decision,
  ServiceTraits,
} from '../scheduling/types.js';
import type {ListReading, PoolChange} from '../scheduling/upstream_pool.js';
import {toGatewayError} from '../types/errors.js';
import type {
  DomainId,
  InstanceId,
  RegionId,
  ServiceId,
  UpstreamId,
} from '../types/ids.js';
import type {SubmissionPart} from './messages.js';

const MUST_BE_PROBED: ReadonlySet<PoolChange['kind']> = new Set([
  'down',
  'suspected',
]);
/** Queued requests are looked at again this often. */
const QUEUE_CHECK_MS = 8;
/** A service without messages for so long is no longer scheduled here. */
const IDLE_SERVICE_MS = 10_000;

export interface SchedulerHostOptions {
  readonly region: RegionId;
  readonly retries: SchedulerOptions['retries'];
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly serviceSpec: (service: ServiceId) => ServiceSpec | undefined;
  readonly deliver: (decision: Decision) => void;
  /** An upstream must be probed before it gets further work. */
  readonly onDown: () => void;
}

/** An upstream that must answer a probe before it gets work. */
export interface ProbeTarget {
  readonly service: ServiceId;
  readonly upstreamId: UpstreamId;
  readonly address: string;
}

/** The work of the schedulers on one entry. */
export interface SchedulerLoad {
  /** Requests that they were asked about since the start. */
  readonly itemsTaken: number;
  /** Requests that wait now. */
  readonly queueLength: number;
}

interface Hosted {
  readonly scheduler: Scheduler;
  usedAtMs: number;
}

type HostMessage =
  | {
      readonly kind: 'submission';
      readonly from: InstanceId;
      readonly parts: readonly SubmissionPart[];
      /** Called when all that can be decided at once is decided. */
      readonly onHandled: () => void;
    }
  | {readonly kind: 'check'};

/** The schedulers on one entry. */
export class SchedulerHost {
  private readonly system = start();
  private readonly hosted = new Map<ServiceId, Hosted>();
  private readonly actor;
  private reading: ListReading | undefined;
  private evacuated: readonly DomainId[] = [];
  private timer: ReturnType<typeof setTimeout> | undefined;
  private isStopped = false;
  private itemsTaken = 0;

  constructor(private readonly options: SchedulerHostOptions) {
    this.actor = spawn(
      this.system,
      (_state: undefined, message: HostMessage) => this.handle(message),
      'scheduler_host',
      {
        onCrash: (message, error, context) => {
          options.logger.error(
            {
              event: 'scheduler_failed',
              err: toGatewayError(error, 'schedule', 'self'),
            },
            'a message to the scheduler failed and was dropped',
          );
          if (message?.kind === 'submission') message.onHandled();
          return context.resume;
        },
      },
    );
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    stop(this.system);
  }

  /** Resolves once the parts are handled and first decisions are delivered. */
  submit(from: InstanceId, parts: readonly SubmissionPart[]): Promise<void> {
    if (this.isStopped) return Promise.resolve();
    return new Promise(onHandled =>
      dispatch(this.actor, {kind: 'submission', from, parts, onHandled}),
    );
  }

  /** Begins to schedule a service before its first request. */
  ensure(service: ServiceId): void {
    this.schedulerOf(service);
  }

  /** Services that are scheduled here now. */
  services(): readonly ServiceId[] {
    return [...this.hosted.keys()];
  }

  /** What the schedulers here have to do. */
  load(): SchedulerLoad {
    const queued = [...this.hosted.values()].reduce(
      (sum, {scheduler}) => sum + scheduler.queueLength,
      0,
    );
    return {itemsTaken: this.itemsTaken, queueLength: queued};
  }

  applyReading(reading: ListReading): void {
    this.reading = reading;
    this.hosted.forEach((hosted, service) =>
      applyTo(hosted.scheduler, service, reading),
    );
    this.check();
  }

  /** The route table or the evacuations changed. */
  applyControl(evacuated: readonly DomainId[]): void {
    const nowMs = monotonicNowMs();
    this.evacuated = evacuated;
    this.hosted.forEach(({scheduler}, service) => {
      scheduler.setEvacuated(evacuated, nowMs);
      scheduler.pool.setTraits(this.traitsOf(service));
    });
    this.check();
  }

  recordDigests(digests: readonly CapacityDigest[]): void {
    const nowMs = monotonicNowMs();
    digests.forEach(digest =>
      this.hosted.get(digest.service)?.scheduler.board.record(digest, nowMs),
    );
  }

  digests(): readonly CapacityDigest[] {
    const nowMs = monotonicNowMs();
    return [...this.hosted].map(([service, {scheduler}]) =>
      scheduler.digest(service, nowMs),
    );
  }

  probeTargets(): readonly ProbeTarget[] {
    return [...this.hosted].flatMap(([service, {scheduler}]) =>
      scheduler.pool.toProbe().map(({listed: {upstreamId, address}}) => ({
        service,
        upstreamId,
        address,
      })),
    );
  }

  noteProbe(target: ProbeTarget, coldRemainingMs: number): void {
    this.hosted
      .get(target.service)
      ?.scheduler.pool.noteProbe(
        target.upstreamId,
        coldRemainingMs,
        monotonicNowMs(),
      );
    this.check();
  }

  noteProbeFailure(target: ProbeTarget): void {
    this.hosted
      .get(target.service)
      ?.scheduler.pool.noteProbeFailure(target.upstreamId, monotonicNowMs());
  }

  /** Forgets entries that are gone. */
  forgetMissing(isKnown: (entry: InstanceId) => boolean): void {
    this.hosted.forEach(({scheduler}) => scheduler.forgetMissing(isKnown));
  }

  /** Drops services that nobody asks for any more. */
  dropIdle(isNeeded: (service: ServiceId) => boolean): void {
    const nowMs = monotonicNowMs();
    [...this.hosted]
      .filter(([service, hosted]) => {
        const isIdle = nowMs - hosted.usedAtMs > IDLE_SERVICE_MS;
        return isIdle && !isNeeded(service);
      })
      .forEach(([service]) => this.hosted.delete(service));
  }

  private check(): void {
    if (!this.isStopped) dispatch(this.actor, {kind: 'check'});
  }

  private handle(message: HostMessage): undefined {
    if (message.kind === 'check') {
      this.checkQueues();
      return undefined;
    }
    message.parts.forEach(part => this.take(message.from, part));
    this.deliver(this.schedulers().flatMap(each => each.takeDecisions()));
    this.watchQueues();
    message.onHandled();
    return undefined;
  }

  private take(from: InstanceId, part: SubmissionPart): void {
    const nowMs = monotonicNowMs();
    const service = part.kind === 'item' ? part.item.service : part.service;
    const scheduler = this.schedulerOf(service);
    switch (part.kind) {
      case 'item':
        this.itemsTaken += 1;
        return scheduler.submit(part.item, nowMs);
      case 'release':
        return scheduler.release([part.release], nowMs);
      case 'cancel':
        return scheduler.cancel(part.requestId);
      case 'stalled':
        return scheduler.pool.suspect(part.upstreamId, nowMs);
      case 'running':
        return scheduler.syncRunning(from, part.placements, nowMs);
    }
  }

  private checkQueues(): void {
    const nowMs = monotonicNowMs();
    this.deliver(this.schedulers().flatMap(each => each.decide(nowMs)));
    this.watchQueues();
  }

  private watchQueues(): void {
    const hasQueue = this.schedulers().some(each => each.queueLength > 0);
    if (!hasQueue || this.timer !== undefined) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.check();
    }, QUEUE_CHECK_MS);
  }

  private schedulers(): readonly Scheduler[] {
    return [...this.hosted.values()].map(each => each.scheduler);
  }

  private deliver(decisions: readonly Decision[]): void {
    decisions.forEach(decision => this.options.deliver(decision));
  }

  private schedulerOf(service: ServiceId): Scheduler {
    const known = this.hosted.get(service);
    const nowMs = monotonicNowMs();
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known.scheduler;
    }
    const {region, retries, logger} = this.options;
    const scheduler = new Scheduler({
      region,
      retries,
      traits: this.traitsOf(service),
      onPoolChange: change => this.notePoolChange(service, change),
      onLaneChange: (members, demand) =>
        logger.info(
          {event: 'long_prompt_lane', service, members, demand},
          'other engines read the long prompts',
        ),
    });
    scheduler.setEvacuated(this.evacuated, nowMs);
    if (this.reading !== undefined) applyTo(scheduler, service, this.reading);
    this.hosted.set(service, {scheduler, usedAtMs: nowMs});
    logger.info(
      {event: 'scheduler_started', service},
      'this entry schedules a service',
    );
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
    const {logger, metrics} = this.options;
    metrics.count('upstream_changes', {kind: change.kind});
    logger.info(
      {
        event: `upstream_${change.kind}`,
        service,
        upstream: change.upstreamId,
        cause: change.cause,
        coldRemainingMs: change.coldRemainingMs,
        coldRequestsPerS: this.traitsOf(service).coldRequestsPerS,
      },
      'the belief about an upstream changed',
    );
    if (MUST_BE_PROBED.has(change.kind)) this.options.onDown();
  }
}

function applyTo(
  scheduler: Scheduler,
  service: ServiceId,
  reading: ListReading,
): void {
  scheduler.pool.applyReading({
    ...reading,
    upstreams: reading.upstreams.filter(each => each.service === service),
  });
}
