/** Joins the lines on a request with the beliefs that bore on it. */
import type {LogEvent} from '../logging/event_schema.js';
import type {CollectedLines} from './log_files.js';
import {textField, type LogLine} from './log_line.js';

/** A belief from before the request still explains it for so long. */
const BELIEF_WINDOW_MS = 15_000;
/** A process that ended just after the last line may be why it is the last. */
const AFTERMATH_MS = 2_000;

/** The events that end or begin the life of a process. */
const LIFE_EVENTS: readonly LogEvent[] = [
  'started',
  'stopping',
  'stopped',
  'start_failed',
  'log_failed',
];
/** Events that bear on every request of the process that wrote them. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set<LogEvent>([
  ...LIFE_EVENTS,
  'reloaded',
  'state_in_force',
  'list_lost',
  'list_regained',
  'control_lost',
  'control_regained',
]);
/** Events on one upstream or one service of a region. */
const SERVICE_EVENTS: ReadonlySet<string> = new Set<LogEvent>([
  'upstream_listed',
  'upstream_unlisted',
  'upstream_draining',
  'upstream_reborn',
  'upstream_suspected',
  'upstream_down',
  'upstream_up',
  'probe_answered',
  'scheduler_moved',
  'scheduler_started',
  'long_prompt_lane',
]);

/** Whether a line tells the end or the beginning of a process. */
export function isLifeEvent({event}: LogLine): boolean {
  return LIFE_EVENTS.some(each => each === event);
}

/** Everything that bears on one request. */
export interface Timeline {
  readonly requestIds: readonly string[];
  /** Services that the request was meant for, as the logs name them. */
  readonly services: readonly string[];
  readonly upstreams: readonly string[];
  /** The entries that wrote about it, in order of their first line. */
  readonly instances: readonly string[];
  readonly request: readonly LogLine[];
  /** What was believed at the time, oldest first. */
  readonly beliefs: readonly LogLine[];
}

/** Builds the timeline; undefined if no line is on the request. */
export function createTimeline(lines: CollectedLines): Timeline | undefined {
  const [first] = lines.request;
  const last = lines.request.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const ageMs = first.fields['ageMs'];
  const beganAtMs = first.timeMs - (typeof ageMs === 'number' ? ageMs : 0);
  const named = (field: string): readonly string[] =>
    distinct(lines.request.map(line => textField(line, field)));
  const instances = distinct(lines.request.map(line => line.instance));
  const services = named('service');
  const beliefs = lines.beliefs
    .filter(line => line.timeMs >= beganAtMs - BELIEF_WINDOW_MS)
    .filter(line => line.timeMs <= last.timeMs + AFTERMATH_MS)
    .filter(line => bearsOn(line, instances, services));
  return {
    requestIds: distinct(lines.request.map(line => line.requestId)),
    services,
    upstreams: named('upstream'),
    instances,
    request: lines.request,
    beliefs,
  };
}

function bearsOn(
  line: LogLine,
  instances: readonly string[],
  services: readonly string[],
): boolean {
  if (SERVICE_EVENTS.has(line.event)) {
    const service = textField(line, 'service');
    return service !== undefined && services.includes(service);
  }
  return PROCESS_EVENTS.has(line.event) && instances.includes(line.instance);
}

function distinct(values: readonly (string | undefined)[]): readonly string[] {
  return [...new Set(values.filter(value => value !== undefined))];
}
