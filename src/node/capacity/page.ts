/** The tables of `docs/CAPACITY.md`, between two marker comments. */
import {format, resolveConfig} from 'prettier';
import {
  recordsOfADay,
  RECORD_SHARES,
  roleCosts,
  totals,
  type RoleCost,
} from './budgets.js';
import type {Measured, Results} from './results.js';
import {slopeTable} from './slope_table.js';
import {figure, percent, table, type Row} from './table.js';
import {
  BUDGET,
  LARGEST_REGION_SHARE,
  PER_DOMAIN,
  PER_ENTRY,
  TARGET,
  TOKENS_PER_REQUEST,
} from './targets.js';

export const START_MARKER = '<!-- measured: start -->';
export const END_MARKER = '<!-- measured: end -->';

function megabytes(bytes: number): string {
  return `${figure(bytes / 1e6)} MB`;
}

function origin(measured: Measured): string {
  return measured.at.slice(0, 16).replace('T', ' ');
}

function baselines({baselines: {figures}}: Results): string {
  const {runtime, entry, control} = figures;
  const row = (name: string, usage: typeof runtime): Row => [
    name,
    megabytes(usage.rssBytes),
    megabytes(usage.heapBytes),
    megabytes(usage.rssBytes - runtime.rssBytes),
    megabytes(usage.heapBytes - runtime.heapBytes),
  ];
  return table(
    [
      'process without load',
      'resident',
      'heap',
      'resident above bare',
      'heap above bare',
    ],
    [
      row('bare Node', runtime),
      row('entry', entry),
      row('control member', control),
    ],
  );
}

function verdict(value: number, limit: number): string {
  if (value <= limit) return `met, ${percent(1 - value / limit)} left`;
  return `**missed**, ${figure(value / limit)} times the budget`;
}

function budgetRows(cost: RoleCost): Row[] {
  return totals(cost).map(({what, value, limit}) => {
    const show = (amount: number): string => {
      if (what === 'processor') return `${percent(amount)} of a core`;
      return what.startsWith('memory')
        ? megabytes(amount)
        : `${figure(amount)} B/s`;
    };
    return [cost.role, what, show(value), show(limit), verdict(value, limit)];
  });
}

function budgets(results: Results): string {
  const costs = roleCosts(results);
  const ordinary = costs[0]?.terms ?? [];
  // Other roles of an entry list only what they add to an ordinary one.
  const terms = costs.flatMap((cost, index) =>
    (index === 0
      ? cost.terms
      : cost.terms.filter(term => !ordinary.includes(term))
    ).map((term): Row => [
      cost.role,
      term.what,
      term.formula,
      percent(term.cpuShare),
      figure(term.bytesPerSecond),
    ]),
  );
  return [
    '### Control by role at the target size (calculated from the slopes)',
    table(['role', 'term', 'formula', 'of a core', 'B/s'], terms),
    table(
      ['role', 'memory of control', 'formula'],
      costs.map(cost => [
        cost.role,
        megabytes(cost.heapBytes),
        cost.memoryFormula,
      ]),
    ),
    '### Budgets (calculated)',
    table(
      ['role', 'budget', 'needed', 'allowed', 'result'],
      costs.flatMap(budgetRows),
    ),
  ].join('\n\n');
}

function serving(results: Results): string {
  const {streamedMicros} = results.requests.figures;
  // The line over tokens was measured with two engines.
  const perEngine = results.requestsByEngines.figures.streamedMicros.slope;
  const perRequest = streamedMicros.base + perEngine * (PER_DOMAIN.workers - 2);
  const {heapBytes, rssBytes} = results.memory.figures.streams;
  const largest = LARGEST_REGION_SHARE / 2;
  const load = (factor: number): Row => {
    const requests = PER_ENTRY.requestsPerSecond * factor;
    const tokens = PER_ENTRY.tokensPerSecond * factor;
    const streams =
      requests *
      ((TOKENS_PER_REQUEST * TARGET.betweenTokensMs + TARGET.firstTokenMs) /
        1_000);
    const cpu = (requests * perRequest + tokens * streamedMicros.slope) / 1e6;
    return [
      figure(requests),
      figure(tokens),
      figure(cpu),
      figure(streams),
      megabytes(streams * heapBytes.slope),
      megabytes(streams * rssBytes.slope),
    ];
  };
  const uneven = largest * TARGET.domains;
  const lost = TARGET.domains / (TARGET.domains - 1);
  return [
    '### Serving on one entry at the peak (calculated)',
    table(
      [
        'case',
        'requests/s',
        'tokens/s',
        'cores',
        'streams in flight',
        'heap of streams',
        'resident of streams',
      ],
      [
        ['even', ...load(1)],
        ['one of 14 domains lost', ...load(lost)],
        ['one of 2 domains of a region lost, its work stays', ...load(2)],
        ['largest region, 26 entries per domain as elsewhere', ...load(uneven)],
      ],
    ),
    `Cores = requests/s × (${figure(streamedMicros.base)} µs + ${figure(PER_DOMAIN.workers - 2)} engines × ${figure(perEngine)} µs) + tokens/s × ${figure(streamedMicros.slope)} µs. ` +
      `Streams = requests/s × (${figure(TOKENS_PER_REQUEST)} tokens × ${TARGET.betweenTokensMs} ms + ${TARGET.firstTokenMs} ms), an upper bound, since both times hold for 95 in 100. ` +
      `The largest region has ${percent(LARGEST_REGION_SHARE)} of all work if the capacities grow in equal ratios from 1 to 10.`,
  ].join('\n\n');
}

function records(results: Results): string {
  const {allMembersMicros, busiestMicros} = results.bookings.figures;
  const rows = RECORD_SHARES.map(share => recordsOfADay(results, share)).map(
    (day): Row => [
      percent(day.share),
      figure(day.perSecond),
      figure(day.kept),
      megabytes(day.heapBytes),
      megabytes(day.snapshotBytes),
      `${figure(day.blockedMs)} ms`,
      figure(day.perWorkspace),
    ],
  );
  const {figures} = results.records;
  return [
    '### Records of non-idempotent calls kept for 24 h, one domain (calculated)',
    table(
      [
        'non-idempotent share',
        'calls/s',
        'records',
        'heap',
        'snapshot',
        'event loop blocked by one snapshot',
        'records per workspace',
      ],
      rows,
    ),
    `Measured at ${figure(figures['records'] ?? 0)} records: ${figures['stateBytesPerRecord']} B each, ` +
      `snapshot ${figures['snapshotMs']} ms + string ${figures['stringifyMs']} ms, ${megabytes(figures['snapshotBytes'] ?? 0)}; restore ${figures['restoreMs']} ms. ` +
      `One call costs the domain ${figure(allMembersMicros.base + 5 * allMembersMicros.slope)} µs in all and its busiest member ${figure(busiestMicros.base + 5 * busiestMicros.slope)} µs with five entries.`,
  ].join('\n\n');
}

function scenarios(results: Results): string {
  const figures = results.membership.figures.find(
    ({nodes}) => nodes === TARGET.nodes,
  );
  const {calleeMicros} = results.rpc.figures;
  const members = PER_DOMAIN.entries;
  const heap = figures?.heapBytesPerNode ?? 0;
  const restartBytes = heap / 4;
  return [
    '### Restarts (calculated)',
    table(
      ['what', 'arithmetic', 'result'],
      [
        [
          'restarts and failures in one domain',
          `(${TARGET.restartsPerDay} + ${TARGET.failuresPerDay}) / ${TARGET.domains} a day`,
          `${figure((TARGET.restartsPerDay + TARGET.failuresPerDay) / TARGET.domains)} a day, one in ${figure((24 * 60 * TARGET.domains) / (TARGET.restartsPerDay + TARGET.failuresPerDay))} min`,
        ],
        [
          'full state sent to a restarted entry, at most',
          `${figure(heap)} B of heap per node, a quarter of it as text (assumed)`,
          `${figure(restartBytes)} B, ${figure(restartBytes / BUDGET.bytesPerSecond)} s of the budget of one peer`,
        ],
        [
          'restarts that hit a record voter',
          `${TARGET.restartsPerDay + TARGET.failuresPerDay} × 5/${figure(members)}`,
          `${figure(((TARGET.restartsPerDay + TARGET.failuresPerDay) * 5) / members)} a day, ${figure(((TARGET.restartsPerDay + TARGET.failuresPerDay) * 2) / members)} of them without a disk, which come back as learners`,
        ],
        [
          'callers of a lost domain that ask for entries again',
          `${figure(PER_DOMAIN.requestsPerSecond)} requests/s × ${figure(calleeMicros.base)} µs over the others`,
          `${figure((PER_DOMAIN.requestsPerSecond * calleeMicros.base) / 1e6 / (TARGET.nodes - members))} of a core each`,
        ],
      ],
    ),
  ].join('\n\n');
}

/** All tables, as Markdown. */
export function tables(results: Results): string {
  const times = Object.values(results).map(
    part => (part as {measured: Measured}).measured,
  );
  const [first] = times;
  const dates = times.map(origin).sort();
  return [
    `Written by \`npm run measure:slopes\`; measured between ${dates.at(0)} and ${dates.at(-1)} UTC ` +
      `on ${first?.cores} cores and ${first?.memoryGib} GiB, shared with other work, Node ${first?.node}.`,
    '### Memory of the processes (measured)',
    baselines(results),
    '### Slopes (measured)',
    slopeTable(results),
    budgets(results),
    serving(results),
    records(results),
    scenarios(results),
  ].join('\n\n');
}

/** The page with new tables between its markers. */
export async function rewritePage(
  page: string,
  results: Results,
): Promise<string> {
  const start = page.indexOf(START_MARKER);
  const end = page.indexOf(END_MARKER);
  if (start < 0 || end < start) throw new Error('the page has no markers');
  const text = [
    page.slice(0, start + START_MARKER.length),
    tables(results),
    page.slice(end),
  ].join('\n\n');
  const options = await resolveConfig('docs/CAPACITY.md');
  return format(text, {...options, parser: 'markdown'});
}
