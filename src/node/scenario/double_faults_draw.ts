/** Draws single faults with their begin and their end. */
import type {ScenarioEvent} from './schema.js';

/** What faults can be drawn from. */
export interface FaultContext {
  readonly random: () => number;
  readonly regions: readonly string[];
  readonly instances: readonly string[];
  readonly diskInstances: readonly string[];
  /** Instances with a control member. */
  readonly controls: readonly string[];
  readonly engines: readonly string[];
  readonly services: readonly string[];
  readonly operators: readonly string[];
  readonly movable: ReadonlyArray<{
    readonly id: string;
    readonly regions: readonly string[];
  }>;
}

/** A drawn fault. */
export interface DrawnFault {
  readonly name: string;
  readonly events: readonly Partial<ScenarioEvent & {atMs: number}>[] &
    readonly TimedEvent[];
  /** Whether links are cut, which one event heals at the end of all faults. */
  readonly isPartition: boolean;
}

type TimedEvent = {readonly atMs: number} & Record<string, unknown> &
  Pick<ScenarioEvent, 'do'>;

interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Makes names of operations unique in one scenario. */
  readonly index: number;
}

type Draw = (context: FaultContext, span: Span) => readonly TimedEvent[];

const PARTITIONS: Readonly<Record<string, Draw>> = {
  'isolated region': (context, {fromMs}) => [
    {atMs: fromMs, do: 'isolate', place: pick(context, context.regions)},
  ],
  'isolated instance': (context, {fromMs}) => [
    {atMs: fromMs, do: 'isolate', place: pick(context, context.instances)},
  ],
  'isolated control member': (context, {fromMs}) => [
    {
      atMs: fromMs,
      do: 'isolate',
      place: `control-${pick(context, context.controls)}`,
    },
  ],
  'cut between regions': (context, {fromMs}) =>
    cut(context, fromMs, context.regions),
  'cut between instances': (context, {fromMs}) =>
    cut(context, fromMs, context.instances),
};

const OTHERS: Readonly<Record<string, Draw>> = {
  kill: (context, span) => kill(context, span, context.instances, 'kept'),
  'kill with lost disk': (context, span) =>
    kill(context, span, context.diskInstances, 'emptied'),
  'kill of a control member': (context, span) =>
    kill(
      context,
      span,
      context.controls.map(id => `control-${id}`),
      context.random() < 0.5 ? 'kept' : 'emptied',
    ),
  'planned stop': (context, {fromMs, untilMs}) => {
    const process = pick(context, context.instances);
    return [
      {atMs: fromMs, do: 'stop', process},
      {atMs: untilMs, do: 'restart', process},
    ];
  },
  upstream: (context, {fromMs, untilMs}) => {
    const upstream = pick(context, context.engines);
    const states = ['dead', 'leaving', 'silent', 'lying'];
    const set = pick(context, states);
    return [
      {atMs: fromMs, do: 'upstream', upstream, set},
      {atMs: untilMs, do: 'upstream', upstream, set: 'healthy'},
    ];
  },
  service: (context, {fromMs, untilMs}) => {
    const upstream = pick(context, context.services);
    const set = pick(context, ['dead', 'refusing', 'breaking', 'silent']);
    return [
      {atMs: fromMs, do: 'service', upstream, set},
      {atMs: untilMs, do: 'service', upstream, set: 'healthy'},
    ];
  },
  'operators race': race,
  'home move': move,
  'poison call': (context, {fromMs, untilMs}) =>
    [0, 1, 2].map(number => ({
      atMs: fromMs + roundToStep(((untilMs - fromMs) * number) / 3),
      do: 'call' as const,
      load: 'poison',
      at: pick(context, context.regions),
    })),
};

/** Draws one fault that begins and ends at the given times. */
export function drawFault(
  context: FaultContext,
  index: number,
  fromMs: number,
  untilMs: number,
): DrawnFault {
  const name = pick(context, [
    ...Object.keys(PARTITIONS),
    ...Object.keys(OTHERS),
  ]);
  const draw = PARTITIONS[name] ?? OTHERS[name];
  if (draw === undefined) throw new Error(`no fault ${name}`);
  const events = draw(context, {fromMs, untilMs, index});
  return {name, events, isPartition: name in PARTITIONS};
}

function cut(
  context: FaultContext,
  atMs: number,
  places: readonly string[],
): readonly TimedEvent[] {
  const from = pick(context, places);
  const to = pick(
    context,
    places.filter(place => place !== from),
  );
  return [{atMs, do: 'cut', from, to, oneWay: context.random() < 0.5}];
}

function kill(
  context: FaultContext,
  {fromMs, untilMs}: Span,
  processes: readonly string[],
  disk: 'kept' | 'emptied',
): readonly TimedEvent[] {
  const process = pick(context, processes);
  return [
    {atMs: fromMs, do: 'kill', process},
    {atMs: untilMs, do: 'restart', process, disk},
  ];
}

// Two operators change the first version, and both send their changes again
// at other control members.
function race(context: FaultContext, span: Span): readonly TimedEvent[] {
  return context.operators.flatMap((operator, number) =>
    [span.fromMs, span.untilMs].map(atMs => ({
      atMs,
      do: 'change' as const,
      operator,
      operation: `race-${span.index}-${number}`,
      at: pick(context, context.controls),
      base: 1,
      fairWeight: 2 + number,
    })),
  );
}

function move(
  context: FaultContext,
  {fromMs, untilMs, index}: Span,
): readonly TimedEvent[] {
  const workspace = pick(context, context.movable);
  return [fromMs, untilMs].map((atMs, number) => ({
    atMs,
    do: 'change' as const,
    operator: pick(context, context.operators),
    operation: `move-${index}-${number}`,
    at: pick(context, context.controls),
    base: 'current',
    fairWeight: 2,
    workspace: workspace.id,
    home: pick(context, workspace.regions),
  }));
}

function roundToStep(timeMs: number): number {
  return Math.floor(timeMs / 5) * 5;
}

function pick<Item>({random}: FaultContext, items: readonly Item[]): Item {
  return items[Math.floor(random() * items.length)] as Item;
}
