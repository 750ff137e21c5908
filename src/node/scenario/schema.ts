/**
 * The language of scenarios: one YAML file with a deployment, load, timed
 * events and expectations.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {readSource, type LocatedProblem} from '../config/source_text.js';

const timeMs = z.number().int().min(0);
const name = z.string().min(1);

const loadSchema = z.strictObject({
  id: name,
  workspace: name,
  workload: name,
  /** The region or the instance whose entries the calls are sent to. */
  at: name,
  fromMs: timeMs,
  untilMs: timeMs,
  everyMs: z.number().int().min(1),
  /** Sends each call again with the same key, also after an answer. */
  resend: z
    .strictObject({
      afterMs: timeMs,
      /** Share of the calls that are sent again. */
      share: z.number().min(0).max(1),
      /** @default the place of the first call */
      at: name.optional(),
    })
    .optional(),
  /** Text of the prompt of model calls. */
  prompt: z.string().default('draft a caption for a smiling sailor'),
  tokens: z.number().int().min(1).default(8),
});

const eventSchema = z.discriminatedUnion('do', [
  /** Cuts all links between two regions, or between two instances. */
  z.strictObject({
    atMs: timeMs,
    do: z.literal('cut'),
    from: name,
    to: name,
    oneWay: z.boolean().default(false),
  }),
  z.strictObject({atMs: timeMs, do: z.literal('isolate'), place: name}),
  z.strictObject({atMs: timeMs, do: z.literal('heal')}),
  /** Ends a process without warning: memory is lost, the disk is kept. */
  z.strictObject({atMs: timeMs, do: z.literal('kill'), process: name}),
  z.strictObject({
    atMs: timeMs,
    do: z.literal('restart'),
    process: name,
    disk: z.enum(['kept', 'emptied']).default('kept'),
  }),
  /** A planned stop of an entry. */
  z.strictObject({atMs: timeMs, do: z.literal('stop'), process: name}),
  z.strictObject({
    atMs: timeMs,
    do: z.literal('upstream'),
    upstream: name,
    set: z.enum(['healthy', 'dead', 'leaving', 'silent', 'lying']),
  }),
  /** Sets the models that an engine has loaded. */
  z.strictObject({
    atMs: timeMs,
    do: z.literal('models'),
    upstream: name,
    loaded: z.array(name).min(1),
  }),
  z.strictObject({
    atMs: timeMs,
    do: z.literal('service'),
    upstream: name,
    set: z.enum(['healthy', 'dead', 'refusing', 'breaking', 'silent']),
  }),
  /** An operator changes the fair weight or the home of a workspace. */
  z.strictObject({
    atMs: timeMs,
    do: z.literal('change'),
    operator: name,
    operation: name,
    at: name,
    base: z.union([z.literal('current'), z.number().int().min(0)]),
    fairWeight: z.number().positive(),
    /** @default the first workspace of the answers */
    workspace: name.optional(),
    /** The new home region. @default no change */
    home: name.optional(),
    /** How many changes follow one another. */
    count: z.number().int().min(1).default(1),
  }),
  /** Sends one model call by itself, such as one that crashes engines. */
  z.strictObject({
    atMs: timeMs,
    do: z.literal('call'),
    load: name,
    at: name.optional(),
  }),
]);

const shareFields = {
  load: name,
  fromMs: timeMs.default(0),
  untilMs: timeMs.default(Number.MAX_SAFE_INTEGER),
};

const expectationSchema = z.discriminatedUnion('check', [
  /** Share of the calls that were answered with a result. */
  z.strictObject({
    check: z.literal('answered'),
    ...shareFields,
    minShare: z.number().min(0).max(1),
  }),
  /** Share of the calls that ended with a code or a work state. */
  z.strictObject({
    check: z.literal('outcome'),
    ...shareFields,
    outcome: name,
    minShare: z.number().min(0).max(1).default(0),
    maxShare: z.number().min(0).max(1).default(1),
  }),
  /** Every running entry has at least this version at the end. */
  z.strictObject({
    check: z.literal('version'),
    atLeast: z.number().int().min(0),
  }),
  /** A version was in force on all running entries this soon after it. */
  z.strictObject({
    check: z.literal('spread'),
    withinMs: timeMs,
  }),
  /** How often an operation ended with a status. */
  z.strictObject({
    check: z.literal('change'),
    operation: name,
    status: z.enum(['accepted', 'conflict', 'refused', 'failed']),
  }),
  /** Orders that engines accepted from the system. */
  z.strictObject({
    check: z.literal('orders'),
    min: z.number().int().min(0),
    max: z.number().int().min(0),
  }),
  /** Executions at model engines that a text caused. */
  z.strictObject({
    check: z.literal('executions'),
    prompt: name,
    max: z.number().int().min(0),
  }),
]);

/** A whole scenario. */
export const scenarioSchema = z.strictObject({
  name,
  /** What the scenario shows. */
  about: name,
  /** Folder below `playground/`. */
  deployment: name,
  seed: z.number().int().min(0).default(1),
  durationMs: timeMs,
  load: z.array(loadSchema).default([]),
  events: z.array(eventSchema).default([]),
  expect: z.array(expectationSchema).default([]),
});

export type Scenario = z.infer<typeof scenarioSchema>;
export type ScenarioLoad = Scenario['load'][number];
export type ScenarioEvent = Scenario['events'][number];
export type ScenarioExpectation = Scenario['expect'][number];

/** Reads and checks a scenario file. */
export function readScenario(
  file: string,
): Result<Scenario, readonly LocatedProblem[]> {
  return readSource(file, scenarioSchema, checkLoads).match(
    scenario => ok(scenario),
    problems => err(problems),
  );
}

function checkLoads(scenario: Scenario) {
  const ids = new Set(scenario.load.map(load => load.id));
  const named = scenario.expect.flatMap((expectation, index) =>
    'load' in expectation && !ids.has(expectation.load)
      ? [{path: ['expect', index, 'load'], message: 'no such load'}]
      : [],
  );
  const called = scenario.events.flatMap((event, index) =>
    event.do === 'call' && !ids.has(event.load)
      ? [{path: ['events', index, 'load'], message: 'no such load'}]
      : [],
  );
  return [...named, ...called];
}
