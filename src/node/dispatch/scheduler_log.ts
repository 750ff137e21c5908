/** Log lines and counters of the schedulers on one entry. */
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {UpstreamCrash} from '../scheduling/crash_watch.js';
import type {EntryPlacements, ServiceTraits} from '../scheduling/types.js';
import type {PoolChange} from '../scheduling/pool_changes.js';
import type {RetryCounts} from '../scheduling/retry_budget.js';
import type {UpstreamPool} from '../scheduling/upstream_pool.js';
import {toGatewayError} from '../types/errors.js';
import type {InstanceId, ServiceId, UpstreamId} from '../types/ids.js';
import {logCrash} from './crash_log.js';
import type {SchedulerScope} from './messages.js';

export interface SchedulerLogOptions {
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
}

/** Logs what the schedulers learn and assume. */
export class SchedulerLog {
  constructor(private readonly options: SchedulerLogOptions) {}

  /** A scheduler without upstreams has yet to read the list. */
  started({service, domain}: SchedulerScope, upstreams: number): void {
    this.options.logger.info(
      {event: 'scheduler_started', service, domain, upstreams},
      'scheduler started for a service in a domain',
    );
  }

  /** Other messages and other schedulers are not affected. */
  failed(thrown: unknown): void {
    this.options.logger.error(
      {
        event: 'scheduler_failed',
        err: toGatewayError(thrown, 'schedule', 'self'),
      },
      'scheduler failed to handle a message or its queue',
    );
  }

  /** Logged before the scheduler applies what the entry hands over. */
  handedOver(
    entry: InstanceId,
    handover: SchedulerScope & EntryPlacements,
    pool: UpstreamPool,
  ): void {
    const {service, domain, placements, limits} = handover;
    const isUnlisted = ({upstreamId}: {upstreamId: UpstreamId}): boolean =>
      pool.get(upstreamId) === undefined;
    this.options.logger.info(
      {
        event: 'scheduler_handover',
        service,
        domain,
        entry,
        placements: placements.length,
        unlistedPlacements: placements.filter(isUnlisted).length,
        limits: limits.map(
          each => `${each.upstreamId}:${each.maxRequestsPerS}`,
        ),
        unlistedLimits: limits.filter(isUnlisted).length,
      },
      'entry told the scheduler what it runs and which limits it knows',
    );
  }

  /** Logged at intervals while the scheduler decides on retries. */
  retriesDecided(
    {service, domain}: SchedulerScope,
    counts: RetryCounts,
    schedulerAgeMs: number,
  ): void {
    this.options.logger.info(
      {
        event: 'retry_budget',
        service,
        domain,
        ...counts,
        schedulerAgeMs: Math.round(schedulerAgeMs),
      },
      'requests and retries that a scheduler counts in the window',
    );
  }

  poolChanged(
    service: ServiceId,
    change: PoolChange,
    {coldRequestsPerS}: Pick<ServiceTraits, 'coldRequestsPerS'>,
  ): void {
    const {logger, metrics} = this.options;
    const {kind, upstreamId, ...details} = change;
    metrics.count('upstream_changes', {kind});
    logger.info(
      {
        event: `upstream_${kind}`,
        service,
        upstream: upstreamId,
        ...details,
        coldRequestsPerS,
      },
      'assumed state of an upstream changed',
    );
  }

  crashed(service: ServiceId, crash: UpstreamCrash): void {
    const {logger, metrics} = this.options;
    metrics.count('upstream_crashes', {service});
    logCrash(logger, service, crash);
  }

  laneChanged(
    service: ServiceId,
    members: readonly UpstreamId[],
    demand: number,
  ): void {
    this.options.logger.info(
      {event: 'long_prompt_lane', service, members, demand},
      'engines of the long-prompt lane changed',
    );
  }
}
