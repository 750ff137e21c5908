/**
 * Labelled counters, gauges and latency histograms of one process, exported in
 * the Prometheus exposition format.
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

/** Count, mean, percentiles and maximum of one histogram, in its own unit. */
export interface HistogramSummary {
  readonly name: string;
  readonly labels: Labels;
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** One counter or gauge with its value. */
export interface NumberSummary {
  readonly name: string;
  readonly labels: Labels;
  readonly value: number;
}

/** All series of a registry. */
export interface MetricsSnapshot {
  readonly counters: readonly NumberSummary[];
  readonly gauges: readonly NumberSummary[];
  readonly histograms: readonly HistogramSummary[];
}

interface Series<Value> {
  readonly name: string;
  readonly labels: Labels;
  value: Value;
}

// One hour: longer latencies are recorded as one hour.
const HIGHEST_TRACKABLE_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [50, 95, 99] as const;

function seriesKey(name: string, labels: Labels): string {
  const parts = Object.entries(labels)
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([label, value]) => `${label}="${escapeLabel(value)}"`);
  return parts.length === 0 ? name : `${name}{${parts.join(',')}}`;
}

function escapeLabel(value: string): string {
  return value.replace(/[\\"\n]/g, character =>
    character === '\n' ? '\\n' : `\\${character}`,
  );
}

/** The metrics of one process. */
export class MetricsRegistry {
  private readonly counters = new Map<string, Series<number>>();
  private readonly gauges = new Map<string, Series<number>>();
  private readonly histograms = new Map<string, Series<Histogram>>();
  private readonly collectors: Array<() => void> = [];

  /** Calls `update` before each read, to sample values on demand. */
  beforeRead(update: () => void): void {
    this.collectors.push(update);
  }

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    const series = this.getOrCreateSeries(this.counters, name, labels, () => 0);
    series.value += amount;
  }

  /** Sets a gauge. */
  set(name: string, labels: Labels, value: number): void {
    this.getOrCreateSeries(this.gauges, name, labels, () => 0).value = value;
  }

  /** Records one latency in milliseconds. */
  recordMs(name: string, labels: Labels, valueMs: number): void {
    this.recorder(name, labels)(valueMs);
  }

  /**
   * Returns a function that records latencies of one series. The series is
   * looked up only once, for callers that record every chunk of a stream.
   */
  recorder(name: string, labels: Labels): (valueMs: number) => void {
    const {value: histogram} = this.getOrCreateSeries(
      this.histograms,
      name,
      labels,
      () =>
        build({
          highestTrackableValue: HIGHEST_TRACKABLE_MS,
          numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        }),
    );
    return valueMs => {
      const boundedMs = Math.min(HIGHEST_TRACKABLE_MS, Math.max(0, valueMs));
      histogram.recordValue(Math.round(boundedMs));
    };
  }

  /** The value of one counter, 0 if it does not exist. */
  counterValue(name: string, labels: Labels = {}): number {
    return this.counters.get(seriesKey(name, labels))?.value ?? 0;
  }

  snapshot(): MetricsSnapshot {
    this.collectors.forEach(update => update());
    const numbers = (series: Series<number>): NumberSummary => ({...series});
    return {
      counters: [...this.counters.values()].map(numbers),
      gauges: [...this.gauges.values()].map(numbers),
      histograms: [...this.histograms.values()].map(
        ({name, labels, value}) => ({
          name,
          labels,
          count: value.totalCount,
          mean: value.mean,
          p50: value.getValueAtPercentile(50),
          p95: value.getValueAtPercentile(95),
          p99: value.getValueAtPercentile(99),
          max: value.maxValue,
        }),
      ),
    };
  }

  /** All series in the Prometheus text format. */
  toText(): string {
    this.collectors.forEach(update => update());
    const numberLines = [
      ...this.counters.values(),
      ...this.gauges.values(),
    ].map(({name, labels, value}) => `${seriesKey(name, labels)} ${value}`);
    const histogramLines = [...this.histograms.values()].flatMap(
      ({name, labels, value}) => [
        ...QUANTILES.map(
          quantile =>
            `${seriesKey(name, {...labels, quantile: String(quantile / 100)})} ` +
            `${value.getValueAtPercentile(quantile)}`,
        ),
        `${seriesKey(`${name}_count`, labels)} ${value.totalCount}`,
      ],
    );
    return [...numberLines, ...histogramLines, ''].join('\n');
  }

  private getOrCreateSeries<Value>(
    all: Map<string, Series<Value>>,
    name: string,
    labels: Labels,
    create: () => Value,
  ): Series<Value> {
    const key = seriesKey(name, labels);
    const existing = all.get(key);
    if (existing !== undefined) return existing;
    const series = {name, labels, value: create()};
    all.set(key, series);
    return series;
  }
}
