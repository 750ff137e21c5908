/** Formats the explanation of a request as text. */
import type {Findings} from './findings.js';
import type {LogLine} from './log_line.js';
import type {Timeline} from './timeline.js';

const ENDING_TEXTS: Readonly<Record<Findings['ending'], string>> = {
  served: 'The caller got the answer of an upstream.',
  refused: 'It did not run; the caller was told when to come back.',
  rejected: 'It was answered before it was matched to a service.',
  broken_off: 'The answer began and broke off.',
  outcome_unknown: 'The caller was told that the outcome is unknown.',
  given_up: 'The caller left, or the time was up.',
  not_logged: 'No line says how it ended.',
};

/** Lines for the terminal: the findings, then all log lines by time. */
export function formatExplanation(
  timeline: Timeline,
  findings: Findings,
): readonly string[] {
  const {decision} = findings;
  return [
    ENDING_TEXTS[findings.ending],
    ...(decision === undefined
      ? []
      : [`decided by ${decision.event} on ${decision.instance}`]),
    ...findings.reasons.map(reason => `- ${reason}`),
    '',
    ...formatLines(timeline),
  ];
}

function formatLines({request, beliefs}: Timeline): readonly string[] {
  const startedAtMs = request[0]?.timeMs ?? 0;
  return [
    ...request.map(line => ({line, mark: '*'})),
    ...beliefs.map(line => ({line, mark: ' '})),
  ]
    .sort((a, b) => a.line.timeMs - b.line.timeMs)
    .map(({line, mark}) => formatLine(line, mark, line.timeMs - startedAtMs));
}

function formatLine(line: LogLine, mark: string, offsetMs: number): string {
  const fields = Object.entries(line.fields)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
  const offset = `${offsetMs} ms`.padStart(11);
  return `${mark} ${offset}  ${line.instance}  ${line.event}  ${fields}`;
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
