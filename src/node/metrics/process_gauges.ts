/** Gauges of the process itself, updated on each read of the metrics. */
import type {MetricsRegistry} from './registry.js';

const MICROS_PER_SECOND = 1_000_000;

/** Registers gauges for memory and processor time of this process. */
export function registerProcessGauges(metrics: MetricsRegistry): void {
  metrics.beforeRead(() => {
    const {rss, heapUsed} = process.memoryUsage();
    const {user, system} = process.cpuUsage();
    metrics.set('process_resident_bytes', {}, rss);
    metrics.set('process_heap_bytes', {}, heapUsed);
    metrics.set(
      'process_cpu_seconds_total',
      {},
      (user + system) / MICROS_PER_SECOND,
    );
  });
}
