/** Joins the lines about a request with the relevant state changes. */
import type {LogEvent} from '../logging/event_schema.js';
import type {CollectedLines} from './log_files.js';
import {textField, type LogLine} from './log_line.js';

/** How long before a request a state change may still explain it. */
const LOOKBACK_MS = 15_000;
/** A process that ended this soon after the last line may explain its end. */
const LOOKAHEAD_MS = 2_000;

/** Events of the start and the end of a process. */
const LIFECYCLE_EVENTS: readonly LogEvent[] = [
  'started',
  'stopping',
  'stopped',
  'start_failed',
  'log_failed',
];
/** Events that affect every request of the process that logged them. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set<LogEvent>([
  ...LIFECYCLE_EVENTS,
  'reloaded',
  'state_in_force',
  'list_lost',
  'list_regained',
  'control_lost',
  'control_regained',
]);
/** Events about one upstream or one service of a region. */
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

/** Whether a line reports the start or the end of a process. */
export function isLifecycleEvent({event}: LogLine): boolean {
  return LIFECYCLE_EVENTS.some(each => each === event);
}

/** All log lines that are relevant to one request. */
export interface Timeline {
  readonly requestIds: readonly string[];
  /** Services that the request was routed to, as named in the logs. */
  readonly services: readonly string[];
  readonly upstreams: readonly string[];
  /** Entries that logged the request, in order of their first line. */
  readonly instances: readonly string[];
  readonly request: readonly LogLine[];
  /** State changes and lifecycle events at the time, oldest first. */
  readonly beliefs: readonly LogLine[];
}

/** Builds the timeline; undefined if no line is about the request. */
export function createTimeline(lines: CollectedLines): Timeline | undefined {
  const [first] = lines.request;
  const last = lines.request.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const ageMs = first.fields['ageMs'];
  const startedAtMs = first.timeMs - (typeof ageMs === 'number' ? ageMs : 0);
  const distinctValuesOf = (field: string): readonly string[] =>
    distinct(lines.request.map(line => textField(line, field)));
  const instances = distinct(lines.request.map(line => line.instance));
  const services = distinctValuesOf('service');
  const beliefs = lines.beliefs
    .filter(line => line.timeMs >= startedAtMs - LOOKBACK_MS)
    .filter(line => line.timeMs <= last.timeMs + LOOKAHEAD_MS)
    .filter(line => isRelevant(line, instances, services));
  return {
    requestIds: distinct(lines.request.map(line => line.requestId)),
    services,
    upstreams: distinctValuesOf('upstream'),
    instances,
    request: lines.request,
    beliefs,
  };
}

function isRelevant(
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
