/** Parses log lines of the processes. */

/** One parsed log line. */
export interface LogLine {
  /** Wall clock of the process that wrote it, Unix milliseconds. */
  readonly timeMs: number;
  /** The process that wrote it. */
  readonly instance: string;
  readonly event: string;
  /** Set for lines about a request. */
  readonly requestId?: string;
  /** All other fields, as they were written. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that add no information to the event. */
const IGNORED_FIELDS = new Set(['level', 'name', 'msg']);

/**
 * Parses one line. Text before the JSON object, as added by log collectors, is
 * skipped. Returns undefined for a truncated line or one that is not an event.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  const record = parseRecord(text.slice(start));
  if (record === undefined) return undefined;
  const {time, instance, event, requestId, ...others} = record;
  if (typeof time !== 'number' || typeof instance !== 'string') {
    return undefined;
  }
  if (typeof event !== 'string') return undefined;
  const fields = Object.fromEntries(
    Object.entries(others).filter(([name]) => !IGNORED_FIELDS.has(name)),
  );
  return {
    timeMs: time,
    instance,
    event,
    ...(typeof requestId === 'string' ? {requestId} : {}),
    fields,
  };
}

function parseRecord(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null
      ? (value as Record<string, unknown>)
      : undefined;
  } catch {
    // The caller counts unreadable lines.
    return undefined;
  }
}

/** The value of a field if it is a string. */
export function textField(line: LogLine, name: string): string | undefined {
  const value = line.fields[name];
  return typeof value === 'string' ? value : undefined;
}

/** The value of a field if it is a number. */
export function numberField(line: LogLine, name: string): number | undefined {
  const value = line.fields[name];
  return typeof value === 'number' ? value : undefined;
}
