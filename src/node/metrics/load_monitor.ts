/**
 * Measures the load of a process: its event loop delay and its processor time.
 * An overloaded entry delays every decision that other processes wait for.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {MetricsRegistry} from './registry.js';

const SAMPLE_INTERVAL_MS = 100;
const SAMPLES_IN_REPORT = 10;
const MICROS_PER_MS = 1_000;

/** The load of a process since its previous report, about one second. */
export interface LoadReport {
  /** Longest delay of a timer. */
  readonly loopDelayMs: number;
  /** Processor time used. */
  readonly processorMs: number;
  readonly elapsedMs: number;
  /** Share of the time in which the event loop was not idle. */
  readonly loopUtilization: number;
}

/** The load of a process since its previous sample, about 100 ms. */
export interface LoadSample {
  /** Delay of a timer. */
  readonly delayMs: number;
  /** Share of the time since the last sample in which the event loop was not idle. */
  readonly utilization: number;
}

/** Samples the load of this process until it is stopped. */
export class LoadMonitor {
  private timer: ReturnType<typeof setTimeout> | undefined;
  private samples = 0;
  private longestDelayMs = 0;
  private reportedAtMs = 0;
  private reportedProcessorMs = 0;
  private sampledLoop = performance.eventLoopUtilization();
  private reportedLoop = this.sampledLoop;

  constructor(
    private readonly metrics: MetricsRegistry,
    private readonly onReport: (report: LoadReport) => void,
    private readonly onSample: (sample: LoadSample) => void = () => undefined,
  ) {}

  start(): void {
    this.reportedAtMs = monotonicNowMs();
    this.reportedProcessorMs = processorMs();
    this.sampledLoop = performance.eventLoopUtilization();
    this.reportedLoop = this.sampledLoop;
    this.schedule();
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private schedule(): void {
    const dueAtMs = monotonicNowMs() + SAMPLE_INTERVAL_MS;
    this.timer = setTimeout(() => {
      this.sample(Math.max(0, monotonicNowMs() - dueAtMs));
      this.schedule();
    }, SAMPLE_INTERVAL_MS);
    this.timer.unref();
  }

  private sample(delayMs: number): void {
    this.metrics.recordMs('event_loop_delay_ms', {}, delayMs);
    this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
    this.onSample({delayMs, utilization: this.sampleUtilization()});
    this.samples += 1;
    if (this.samples >= SAMPLES_IN_REPORT) this.report();
  }

  private sampleUtilization(): number {
    const loop = performance.eventLoopUtilization();
    const {sampledLoop} = this;
    this.sampledLoop = loop;
    return performance.eventLoopUtilization(loop, sampledLoop).utilization;
  }

  private report(): void {
    const nowMs = monotonicNowMs();
    const usedMs = processorMs();
    const loop = performance.eventLoopUtilization();
    const {utilization} = performance.eventLoopUtilization(
      loop,
      this.reportedLoop,
    );
    this.onReport({
      loopDelayMs: Math.round(this.longestDelayMs),
      processorMs: Math.round(usedMs - this.reportedProcessorMs),
      elapsedMs: Math.round(nowMs - this.reportedAtMs),
      loopUtilization: Number(utilization.toFixed(2)),
    });
    this.samples = 0;
    this.longestDelayMs = 0;
    this.reportedAtMs = nowMs;
    this.reportedProcessorMs = usedMs;
    this.reportedLoop = loop;
  }
}

function processorMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROS_PER_MS;
}
