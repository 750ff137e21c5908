/** Sums the entries' metrics up to the measures of the whole system. */
import type {Configuration} from '../config/configuration.js';
import type {EntryMeasures} from './entry_methods.js';
import {formatTable} from './table.js';

/** The names of the entries' metrics that the summary reads. */
export const MEASURE_NAMES = {
  firstTokenMs: 'first_token_ms',
  betweenTokensMs: 'between_tokens_ms',
  refused: 'refused_total',
  forwarded: 'forwarded_total',
  retries: 'retries_total',
  costMicros: 'cost_micros_total',
  outcomes: 'requests_total',
  /** Answers by label `workspace`; fairness is judged by it. */
  workspaceAnswers: 'workspace_answers_total',
} as const;

/** Service and cost of one rank. */
export interface RankSummary {
  readonly rankId: string;
  readonly answeredCount: number;
  readonly refusedCount: number;
  readonly retryCount: number;
  /** Forwarded to an entry of another region. */
  readonly awayCount: number;
  readonly costMicros: number;
  readonly revenueMicros: number;
  readonly firstTokenTargetMs: number;
  /** The worst entry's percentile: percentiles of entries cannot be added. */
  readonly firstTokenP95Ms: number;
  readonly firstTokenP99Ms: number;
  readonly betweenTokensP95Ms: number;
}

/** The measures of the whole system since its entries started. */
export interface MeasuresSummary {
  readonly ranks: readonly RankSummary[];
  /** Share of model answers that ran outside the region of their entry. */
  readonly awayShare: number;
  readonly refusalsByCause: Readonly<Record<string, number>>;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly answersByWorkspace: Readonly<Record<string, number>>;
}

type Counter = EntryMeasures['counters'][number];

/** Sums counters over all entries. */
export function summarizeMeasures(
  configuration: Configuration,
  entries: readonly EntryMeasures[],
): MeasuresSummary {
  const counters = entries.flatMap(entry => entry.counters);
  const away = entries.flatMap(entry => awayCounters(configuration, entry));
  const ranks = configuration.ranks.map(rank => {
    const {rankId, firstTokenTargetMs, revenuePerJobMicros} = rank;
    const {firstTokenMs, betweenTokensMs} = MEASURE_NAMES;
    const ofRank = ({labels}: {readonly labels: Counter['labels']}): boolean =>
      labels['rank'] === rankId;
    const sum = (name: string): number => sumOf(counters.filter(ofRank), name);
    const firstToken = histogramsOf(entries, firstTokenMs).filter(ofRank);
    const between = histogramsOf(entries, betweenTokensMs).filter(ofRank);
    const answeredCount = firstToken.reduce((total, it) => total + it.count, 0);
    return {
      rankId: rankId as string,
      answeredCount,
      refusedCount: sum(MEASURE_NAMES.refused),
      retryCount: sum(MEASURE_NAMES.retries),
      awayCount: sumOf(away.filter(ofRank), MEASURE_NAMES.forwarded),
      costMicros: sum(MEASURE_NAMES.costMicros),
      revenueMicros: answeredCount * revenuePerJobMicros,
      firstTokenTargetMs,
      firstTokenP95Ms: Math.max(0, ...firstToken.map(({p95}) => p95)),
      firstTokenP99Ms: Math.max(0, ...firstToken.map(({p99}) => p99)),
      betweenTokensP95Ms: Math.max(0, ...between.map(({p95}) => p95)),
    };
  });
  const answered = ranks.reduce((total, it) => total + it.answeredCount, 0);
  const awayCount = ranks.reduce((total, it) => total + it.awayCount, 0);
  const {refused, outcomes, workspaceAnswers} = MEASURE_NAMES;
  return {
    ranks,
    awayShare: answered === 0 ? 0 : awayCount / answered,
    refusalsByCause: sumsByLabel(counters, refused, 'cause'),
    outcomes: sumsByLabel(counters, outcomes, 'outcome'),
    answersByWorkspace: sumsByLabel(counters, workspaceAnswers, 'workspace'),
  };
}

// Work that is forwarded to another domain of the same region stays at home.
function awayCounters(
  configuration: Configuration,
  entry: EntryMeasures,
): readonly Counter[] {
  const home = configuration.regions.find(
    ({regionId}) => regionId === entry.regionId,
  );
  const homeDomains = (home?.domainIds ?? []) as readonly string[];
  return entry.counters.filter(
    ({name, labels}) =>
      name === MEASURE_NAMES.forwarded &&
      !homeDomains.includes(labels['domain'] ?? ''),
  );
}

function histogramsOf(
  entries: readonly EntryMeasures[],
  name: string,
): readonly EntryMeasures['histograms'][number][] {
  return entries
    .flatMap(({histograms}) => histograms)
    .filter(histogram => histogram.name === name);
}

function sumOf(counters: readonly Counter[], name: string): number {
  return counters
    .filter(counter => counter.name === name)
    .reduce((total, {value}) => total + value, 0);
}

function sumsByLabel(
  counters: readonly Counter[],
  name: string,
  label: string,
): Readonly<Record<string, number>> {
  return counters
    .filter(counter => counter.name === name)
    .reduce<Record<string, number>>((sums, {labels, value}) => {
      const key = labels[label] ?? '';
      return {...sums, [key]: (sums[key] ?? 0) + value};
    }, {});
}

/** The summary as tables. */
export function formatMeasures(summary: MeasuresSummary): readonly string[] {
  const sums = (
    title: string,
    values: Readonly<Record<string, number>>,
  ): readonly string[] =>
    Object.keys(values).length === 0
      ? []
      : ['', ...formatTable([title, 'count'], Object.entries(values))];
  return [
    ...formatTable(
      [
        'rank',
        'answered',
        'refused',
        'retries',
        'away',
        'first token p95 ms',
        'p99 ms',
        'target ms',
        'between tokens p95 ms',
        'cost micros',
        'revenue micros',
      ],
      summary.ranks.map(rank => [
        rank.rankId,
        rank.answeredCount,
        rank.refusedCount,
        rank.retryCount,
        rank.awayCount,
        rank.firstTokenP95Ms,
        rank.firstTokenP99Ms,
        rank.firstTokenTargetMs,
        rank.betweenTokensP95Ms,
        Math.round(rank.costMicros),
        Math.round(rank.revenueMicros),
      ]),
    ),
    '',
    `work outside its home region: ${(summary.awayShare * 100).toFixed(1)}%`,
    ...sums('refusal', summary.refusalsByCause),
    ...sums('outcome', summary.outcomes),
    ...sums('workspace', summary.answersByWorkspace),
  ];
}
