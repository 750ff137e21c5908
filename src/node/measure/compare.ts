/**
 * Compares the gateway with each baseline of the same run: whether it wins on
 * the first measure of the deployment, and which measures it loses.
 */
import type {Figures} from './recorder.js';

/** A loss within this factor does not count. */
const TOLERANCE = 1.1;
/** Differences of shares below this do not count. */
const SHARE_TOLERANCE = 0.005;
/** How much dearer the gateway of trazo may be than the cheapest baseline. */
const MAX_COST_FACTOR = 1.1;

/** The comparison with one baseline. */
export interface Comparison {
  readonly baseline: string;
  /** Whether the gateway is better on the first measure of the deployment. */
  readonly winsFirstMeasure: boolean;
  /** Measures that are worse by more than a tenth, with both figures. */
  readonly lost: readonly string[];
}

interface Measure {
  readonly name: string;
  readonly value: number;
  /** Whether less is better. */
  readonly isCost: boolean;
  readonly isShare: boolean;
}

function measures(figures: Figures): readonly Measure[] {
  const times = figures.ranks.flatMap(rank =>
    (['firstTokenMs', 'wholeMs'] as const).flatMap(kind =>
      (['p50', 'p95', 'p99'] as const).map(quantile => ({
        name: `${rank.rankId} ${kind} ${quantile}`,
        value: rank[kind][quantile],
        isCost: true,
        isShare: false,
      })),
    ),
  );
  const refused = Object.values(figures.refusals).reduce(
    (sum, share) => sum + share,
    0,
  );
  const share = (name: string, value: number, isCost: boolean): Measure => ({
    name,
    value,
    isCost,
    isShare: true,
  });
  return [
    ...times,
    {name: 'cost', value: figures.costPer1000, isCost: true, isShare: false},
    share('kept share', figures.ranks.at(-1)?.capacityShare ?? 0, false),
    share('share away', figures.awayShare, true),
    share('refused', refused, true),
    share('retries', figures.retryShare, true),
    share('goodput', figures.goodputShare, false),
  ];
}

function isLost(own: Measure, other: Measure): boolean {
  const [less, more] = own.isCost
    ? [other.value, own.value]
    : [own.value, other.value];
  const margin = own.isShare ? SHARE_TOLERANCE : 0;
  return more > less * TOLERANCE + margin;
}

function lostMeasures(gateway: Figures, baseline: Figures): readonly string[] {
  const others = measures(baseline);
  return measures(gateway).flatMap((own, index) => {
    const other = others[index];
    if (other === undefined || !isLost(own, other)) return [];
    const digits = own.isShare ? 3 : 0;
    return [
      `${own.name} ${own.value.toFixed(digits)}:${other.value.toFixed(digits)}`,
    ];
  });
}

/** Trazo: tail of urgent work at a bounded cost. */
function winsByTail(
  gateway: Figures,
  baseline: Figures,
  cheapest: number,
): boolean {
  const own = gateway.ranks[0]?.firstTokenMs.p99 ?? Infinity;
  const other = baseline.ranks[0]?.firstTokenMs.p99 ?? 0;
  return own < other && gateway.costPer1000 <= cheapest * MAX_COST_FACTOR;
}

/** Zsaner: cost and share away at no worse an urgent p95. */
function winsByCost(gateway: Figures, baseline: Figures): boolean {
  const own = gateway.ranks[0]?.firstTokenMs.p95 ?? Infinity;
  const other = baseline.ranks[0]?.firstTokenMs.p95 ?? 0;
  return (
    own <= other &&
    gateway.costPer1000 <= baseline.costPer1000 &&
    gateway.awayShare <= baseline.awayShare
  );
}

/** Compares the first of the strategies with all others. */
export function compare(
  deployment: string,
  strategies: readonly Figures[],
): readonly Comparison[] {
  const [gateway, ...baselines] = strategies;
  if (gateway === undefined) return [];
  const cheapest = Math.min(...baselines.map(each => each.costPer1000));
  return baselines.map(baseline => ({
    baseline: baseline.strategy,
    winsFirstMeasure:
      deployment === 'trazo'
        ? winsByTail(gateway, baseline, cheapest)
        : winsByCost(gateway, baseline),
    lost: lostMeasures(gateway, baseline),
  }));
}
