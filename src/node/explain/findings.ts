/** Determines how a request ended, the decision behind it and its reasons. */
import type {LogEvent} from '../logging/event_schema.js';
import {numberField, textField, type LogLine} from './log_line.js';
import {homeFigures, homeReasons, moveReasons} from './placement.js';
import {isLifecycleEvent, type Timeline} from './timeline.js';

/** How the caller's request ended. */
export type RequestEnding =
  /** The caller received an upstream's response. */
  | 'served'
  /** The request did not run, and the response said so. */
  | 'refused'
  /** The request was answered before it was matched to a service. */
  | 'rejected'
  /** The response started but was truncated. */
  | 'broken_off'
  /** The response said that the request failed or may have run. */
  | 'outcome_unknown'
  /** The caller disconnected or the request timed out. */
  | 'given_up'
  /** The logs contain no line about the end of the request. */
  | 'not_logged';

/** The explanation of one request. */
export interface Findings {
  readonly ending: RequestEnding;
  /** The log line of the decision, if there is one. */
  readonly decision: LogLine | undefined;
  /** The reasons for the decision, as text. */
  readonly reasons: readonly string[];
}

/** Explains a request from its timeline. */
export function explain(timeline: Timeline): Findings {
  const {request} = timeline;
  const rejection = request.find(line => line.event === 'rejected');
  const end = findEnd(timeline);
  if (end === undefined && rejection !== undefined) {
    return {
      ending: 'rejected',
      decision: rejection,
      reasons: rejectionReasons(timeline, rejection),
    };
  }
  const ending = end === undefined ? 'not_logged' : endingOf(end);
  if (ending === 'served') {
    const reasons = [
      ...moveReasons(timeline),
      ...latencyReasons(timeline, end),
    ];
    return {ending, decision: end, reasons};
  }
  if (ending === 'not_logged') {
    const decision = request.at(-1);
    return {ending, decision, reasons: missingEndReasons(timeline)};
  }
  if (ending === 'refused') {
    const refusal = request.findLast(line => line.event === 'refused');
    const rejected = request.findLast(
      line => line.event === 'upstream_outcome',
    );
    const decision = refusal ?? rejected ?? end;
    return {
      ending,
      decision,
      reasons: refusalReasons(timeline, refusal, rejected),
    };
  }
  const outcome = request.findLast(line => line.event === 'upstream_outcome');
  const decision = outcome ?? end;
  const reasons = [
    ...upstreamReasons(timeline, outcome, end),
    ...moveReasons(timeline),
  ];
  return {ending, decision, reasons};
}

/** The `ended` line of the entry that the caller was connected to. */
function findEnd({request, instances}: Timeline): LogLine | undefined {
  const ends = request.filter(line => line.event === 'ended');
  const first = ends.findLast(line => line.fields['isRelayed'] === false);
  return first ?? ends.findLast(line => line.instance === instances[0]);
}

function endingOf(end: LogLine): RequestEnding {
  switch (textField(end, 'result')) {
    case 'delivered':
      return 'served';
    case 'not_run':
      return 'refused';
    case 'aborted':
      return numberField(end, 'status') === 504
        ? 'outcome_unknown'
        : 'given_up';
    default:
      return numberField(end, 'status') === 0
        ? 'broken_off'
        : 'outcome_unknown';
  }
}

function latencyReasons(
  {request}: Timeline,
  end: LogLine | undefined,
): readonly string[] {
  if (end === undefined) return [];
  const retries = request.filter(line => line.event === 'retry').length;
  const queuedMs = numberField(end, 'queuedMs') ?? 0;
  const decisionMs = numberField(end, 'decisionMs') ?? 0;
  const firstAnswerMs = numberField(end, 'firstAnswerMs') ?? 0;
  const longestGapMs = numberField(end, 'longestGapMs') ?? 0;
  return [
    `of ${numberField(end, 'totalMs') ?? 0} ms the decision took ${decisionMs} ms, ` +
      `of which it waited ${queuedMs} ms for an upstream; the first answer took ${firstAnswerMs} ms, ` +
      `the longest pause ${longestGapMs} ms`,
    ...(retries > 0 ? [`it was tried again ${retries} times`] : []),
  ];
}

const REFUSAL_TEXTS: Readonly<Record<string, string>> = {
  overloaded: 'the wait for an upstream would have passed its target',
  no_upstream: 'no upstream was usable and no other region had room',
  too_large: 'it is larger than the memory of every upstream',
  expired: 'its time was up before an upstream was free',
  retry_budget: 'it is a repeat and the service has used up its repeats',
  quarantined: 'it or others with a part of its prompt crashed upstreams',
  unscheduled: 'no scheduler of its region decided in time',
};

function refusalReasons(
  timeline: Timeline,
  refusal: LogLine | undefined,
  rejected: LogLine | undefined,
): readonly string[] {
  if (refusal === undefined) {
    return rejected === undefined
      ? []
      : [`upstream ${textField(rejected, 'upstream')} did not run it`];
  }
  const reason = textField(refusal, 'reason') ?? '';
  const scheduler = textField(refusal, 'scheduler');
  return [
    REFUSAL_TEXTS[reason] ?? reason,
    ...inputsOf(refusal),
    ...homeReasons(refusal),
    ...moveReasons(timeline),
    ...unusableUpstreams(timeline, scheduler, refusal.timeMs),
    ...unreachablePeers(timeline, refusal),
    ...evacuationReasons(timeline),
  ];
}

const REJECTION_TEXTS: Readonly<Record<string, string>> = {
  no_route_table: 'the entry knew no route table yet',
  no_route: 'no route of the table in force matches its host and path',
  over_quota: 'its workspace has used its quota',
  busy: 'the processor of the entry was used up',
  unknown_key: 'its key belongs to no workspace of the table in force',
  unknown_workspace:
    'it was relayed for a workspace that this entry does not know',
  no_common_region: 'its route and its workspace have no home in common',
  not_a_home: 'it was relayed to a region that is no home of it',
  no_service: 'its route leads to no service',
  headers_too_large: 'its headers are larger than the limit',
  body_too_large: 'its body is larger than the limit',
  body_incomplete: 'the caller did not send its whole body',
  body_too_slow: 'the body did not arrive within the time limit',
};

function rejectionReasons(
  timeline: Timeline,
  rejection: LogLine,
): readonly string[] {
  const reason = textField(rejection, 'reason') ?? '';
  return [
    `${REJECTION_TEXTS[reason] ?? reason} ` +
      `(version ${numberField(rejection, 'tableVersion') ?? 0})`,
    ...quotaReasons(rejection),
    ...busyReasons(rejection),
    ...unknownKeyReasons(rejection),
    ...homeFigures(rejection),
    ...startReasons(timeline, rejection),
    ...unreachablePeers(timeline, rejection),
  ];
}

/** The figures that decided that a workspace was over its quota. */
function quotaReasons(rejection: LogLine): readonly string[] {
  if (textField(rejection, 'reason') !== 'over_quota') return [];
  const {fields} = rejection;
  const figures = ['requestUnits', 'balanceUnits', 'sharePerS', 'demandPerS']
    .concat('ratePerS', 'retryAfterMs', 'hasLease')
    .map(name => `${name} ${String(fields[name])}`);
  return [`workspace ${String(fields['workspace'])}: ${figures.join(', ')}`];
}

/** The figures that decided that a busy entry refused a request. */
function busyReasons(rejection: LogLine): readonly string[] {
  if (textField(rejection, 'reason') !== 'busy') return [];
  const figures = ['priority', 'admittedShare', 'retryAfterMs'].map(
    name => `${name} ${String(rejection.fields[name])}`,
  );
  return [figures.join(', ')];
}

/** Since when the key has been unknown, as far as the entry knew. */
function unknownKeyReasons(rejection: LogLine): readonly string[] {
  if (textField(rejection, 'reason') !== 'unknown_key') return [];
  if (rejection.fields['hasKey'] === false) return ['no key was sent'];
  const version = numberField(rejection, 'unknownSinceVersion');
  if (version === undefined) return [];
  const former = textField(rejection, 'formerWorkspace');
  return [
    former === undefined
      ? `key unknown since version ${version} or earlier, the first that ${rejection.instance} knows of`
      : `key unknown since version ${version}; the table that ${rejection.instance} had before held it for workspace ${former}`,
  ];
}

/** A recent start of the entry, which may explain missing state. */
function startReasons(
  {beliefs}: Timeline,
  {instance, timeMs}: LogLine,
): readonly string[] {
  const start = beliefs.findLast(
    line =>
      line.event === 'started' &&
      line.instance === instance &&
      line.timeMs <= timeMs,
  );
  if (start === undefined) return [];
  return [`${instance} had started ${timeMs - start.timeMs} ms before`];
}

function inputsOf(refusal: LogLine): readonly string[] {
  const inputs = [
    'predictedWaitMs',
    'usableUpstreams',
    'queueLength',
    'ageMs',
    'tableVersion',
  ]
    .map(name => ({name, value: refusal.fields[name]}))
    .filter(({value}) => value !== undefined)
    .map(({name, value}) => `${name} ${String(value)}`);
  return inputs.length === 0 ? [] : [`decided on ${inputs.join(', ')}`];
}

/** Upstreams that their last change before the decision made unusable. */
function unusableUpstreams(
  {beliefs, services}: Timeline,
  scheduler: string | undefined,
  decidedAtMs: number,
): readonly string[] {
  const changes = beliefs
    .filter(line => line.timeMs <= decidedAtMs)
    .filter(line => scheduler === undefined || line.instance === scheduler)
    .filter(line => services.includes(textField(line, 'service') ?? ''))
    .filter(line => line.event.startsWith('upstream_'));
  const latest = new Map(
    changes.map(line => [textField(line, 'upstream') ?? '', line]),
  );
  return [...latest.values()]
    .filter(({event}) => LOSS_EVENTS.has(event))
    .map(
      line =>
        `${line.instance} held upstream ${textField(line, 'upstream')} for ` +
        `${line.event.replace('upstream_', '')} ` +
        `(${textField(line, 'cause') ?? 'no cause'})`,
    );
}

const LOSS_EVENTS: ReadonlySet<string> = new Set<LogEvent>([
  'upstream_down',
  'upstream_suspected',
  'upstream_draining',
  'upstream_unlisted',
]);

function evacuationReasons({beliefs}: Timeline): readonly string[] {
  const state = beliefs.findLast(line => line.event === 'state_in_force');
  const domains = state?.fields['evacuatedDomains'];
  if (!Array.isArray(domains) || domains.length === 0) return [];
  return [`evacuated at the time: ${domains.join(', ')}`];
}

/** Peers that the deciding process could not reach at the time. */
function unreachablePeers(
  {beliefs}: Timeline,
  {instance, timeMs}: LogLine,
): readonly string[] {
  const changes = beliefs
    .filter(line => line.instance === instance && line.timeMs <= timeMs)
    .filter(line => /^(list|control)_(lost|regained)$/.test(line.event))
    .map(line => {
      const peer = textField(line, 'peer') ?? textField(line, 'domain') ?? '';
      const [kind = '', change] = line.event.split('_');
      return {name: `${kind} ${peer}`, isLost: change === 'lost'};
    });
  const latest = new Map(changes.map(({name, isLost}) => [name, isLost]));
  return [...latest]
    .filter(([, isLost]) => isLost)
    .map(([name]) => `${instance} had lost ${name}`);
}

const OUTCOME_TEXTS: Readonly<Record<string, string>> = {
  failed: 'ran it and answered with a failure',
  broken: 'broke the connection off before the answer was complete',
  rejected: 'said that it did not run it',
  unreachable: 'could not be reached',
  silent: 'sent nothing in time',
  cancelled: 'was still at work when the caller left or the time was up',
};

function upstreamReasons(
  timeline: Timeline,
  outcome: LogLine | undefined,
  end: LogLine | undefined,
): readonly string[] {
  if (outcome === undefined) {
    const cause = end === undefined ? undefined : textField(end, 'cause');
    return cause === undefined ? [] : [cause];
  }
  const upstream = textField(outcome, 'upstream') ?? '';
  const kind = textField(outcome, 'outcome') ?? '';
  const cause = textField(outcome, 'cause');
  const upstreamChanges = timeline.beliefs
    .filter(line => textField(line, 'upstream') === upstream)
    .map(
      line =>
        `${line.instance}: ${line.event} ` +
        `(${textField(line, 'cause') ?? 'no cause'})`,
    );
  return [
    `upstream ${upstream} ${OUTCOME_TEXTS[kind] ?? kind}` +
      (cause === undefined ? '' : `: ${cause}`),
    ...upstreamChanges,
  ];
}

/** Why an entry logged no end for a request that it had accepted. */
function missingEndReasons({
  beliefs,
  instances,
  request,
}: Timeline): readonly string[] {
  const lastMs = request.at(-1)?.timeMs ?? 0;
  const lifecycleLines = beliefs
    .filter(isLifecycleEvent)
    .filter(line => instances.includes(line.instance))
    .filter(line => line.timeMs >= lastMs)
    .map(line => `${line.instance}: ${line.event} after the last line`);
  return lifecycleLines.length > 0
    ? lifecycleLines
    : ['its end may be among the lines that were dropped'];
}
