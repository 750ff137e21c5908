/** Logs the load of an entry, and how many retries it and its schedulers count. */
import type {LoadShedding} from '../decisions/admission/load_shedding.js';
import type {SchedulerHost} from '../dispatch/scheduler_host.js';
import type {Logger} from '../logging/logger.js';
import {LoadMonitor, type LoadReport} from '../metrics/load_monitor.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {RetryShares} from './retry_shares.js';

/** A smaller event loop delay does not slow down requests noticeably. */
const NOTICEABLE_LOOP_DELAY_MS = 50;

export interface LoadLogOptions {
  readonly host: SchedulerHost;
  readonly retryShares: RetryShares;
  readonly metrics: MetricsRegistry;
  readonly logger: Logger;
  readonly requestsInFlight: () => number;
  readonly shedding: LoadShedding;
  /** Requests are shed only if the processor is known to be limited. */
  readonly processorShare: number | null | undefined;
}

/** Logs one line a second while the entry schedules or its event loop lags. */
export class LoadLog {
  private readonly monitor: LoadMonitor;
  private previousItemsTaken = 0;

  constructor(private readonly options: LoadLogOptions) {
    const {metrics, shedding, processorShare} = options;
    this.monitor = new LoadMonitor(
      metrics,
      report => this.write(report),
      sample => {
        if (processorShare != null) shedding.noteSample(sample);
      },
    );
    metrics.beforeRead(() =>
      metrics.set('admitted_share', {}, shedding.admittedShare),
    );
  }

  start(): void {
    this.monitor.start();
  }

  stop(): void {
    this.monitor.stop();
  }

  private write(report: LoadReport): void {
    const {host, retryShares, logger, requestsInFlight, shedding} =
      this.options;
    host.logRetries();
    retryShares.log();
    const {itemsTaken, queueLength} = host.load();
    const itemsScheduled = itemsTaken - this.previousItemsTaken;
    this.previousItemsTaken = itemsTaken;
    const shouldLog =
      itemsScheduled > 0 ||
      report.loopDelayMs >= NOTICEABLE_LOOP_DELAY_MS ||
      shedding.admittedShare < 1;
    if (!shouldLog) return;
    logger.info(
      {
        event: 'entry_load',
        ...report,
        itemsScheduled,
        queueLength,
        requestsInFlight: requestsInFlight(),
        admittedShare: Number(shedding.admittedShare.toFixed(2)),
      },
      'load during the last second',
    );
  }
}
