/** Writes whether an entry keeps up with the work that falls to it. */
import type {SchedulerHost} from '../dispatch/scheduler_host.js';
import type {Logger} from '../logging/logger.js';
import {LoadMonitor, type LoadReport} from '../metrics/load_monitor.js';
import type {MetricsRegistry} from '../metrics/registry.js';

/** An event loop that is late by less does not delay a request noticeably. */
const TELLING_LOOP_DELAY_MS = 50;

export interface LoadLogOptions {
  readonly host: SchedulerHost;
  readonly metrics: MetricsRegistry;
  readonly logger: Logger;
  readonly requestsInFlight: () => number;
}

/** One line a second from an entry that schedules or falls behind. */
export class LoadLog {
  private readonly monitor: LoadMonitor;
  private itemsReported = 0;

  constructor(private readonly options: LoadLogOptions) {
    this.monitor = new LoadMonitor(options.metrics, report =>
      this.write(report),
    );
  }

  start(): void {
    this.monitor.start();
  }

  stop(): void {
    this.monitor.stop();
  }

  private write(report: LoadReport): void {
    const {host, logger, requestsInFlight} = this.options;
    const {itemsTaken, queueLength} = host.load();
    const itemsScheduled = itemsTaken - this.itemsReported;
    this.itemsReported = itemsTaken;
    const isTelling =
      itemsScheduled > 0 || report.loopDelayMs >= TELLING_LOOP_DELAY_MS;
    if (!isTelling) return;
    logger.info(
      {
        event: 'entry_load',
        ...report,
        itemsScheduled,
        queueLength,
        requestsInFlight: requestsInFlight(),
      },
      'the load of the last second',
    );
  }
}
