/** The table and the comparisons of a measurement. */
import type {Comparison} from './compare.js';
import type {Figures} from './recorder.js';

/** The result of one scenario, as it is stored. */
export interface MeasureResult {
  readonly deployment: string;
  readonly scenario: string;
  readonly seed: number;
  readonly strategies: readonly Figures[];
  readonly comparisons: readonly Comparison[];
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function row(figures: Figures): Record<string, string | number> {
  const [urgent, batch] = figures.ranks;
  const refused = Object.entries(figures.refusals)
    .filter(([, share]) => share >= 0.001)
    .map(([cause, share]) => `${cause} ${percent(share)}`);
  return {
    strategy: figures.strategy,
    'urgent ft p50/95/99': quantiles(urgent?.firstTokenMs),
    'urgent whole p95/99': `${urgent?.wholeMs.p95}/${urgent?.wholeMs.p99}`,
    'urgent good': percent(urgent?.goodShare ?? 0),
    'batch ft p95': batch?.firstTokenMs.p95 ?? 0,
    'batch good': percent(batch?.goodShare ?? 0),
    'batch capacity': percent(batch?.capacityShare ?? 0),
    'cost/1000': figures.costPer1000,
    away: percent(figures.awayShare),
    goodput: percent(figures.goodputShare),
    retries: percent(figures.retryShare),
    refused: refused.join(', '),
  };
}

function quantiles(
  times: Figures['ranks'][number]['firstTokenMs'] | undefined,
): string {
  return times === undefined ? '' : `${times.p50}/${times.p95}/${times.p99}`;
}

function formatComparison(comparison: Comparison): string {
  const {baseline, winsFirstMeasure, lost} = comparison;
  const verdict = winsFirstMeasure ? 'better' : 'not better';
  const losses = lost.length === 0 ? 'none' : lost.join(', ');
  return `- ${baseline}: ${verdict} on the first measure; worse by more than 10%: ${losses}`;
}

/** The figures of all strategies as a Markdown table. */
export function formatTable(result: MeasureResult): string {
  const rows = result.strategies.map(row);
  const columns = Object.keys(rows[0] ?? {});
  const line = (cells: readonly unknown[]): string =>
    `| ${cells.join(' | ')} |`;
  return [
    `${result.deployment}, scenario ${result.scenario}, seed ${result.seed}`,
    '',
    line(columns),
    line(columns.map(() => '---')),
    ...rows.map(each => line(columns.map(column => each[column]))),
    '',
    ...result.comparisons.map(formatComparison),
  ].join('\n');
}
