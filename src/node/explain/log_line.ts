/** Lines of the processes' logs, read back from files. */

/** One line that could be read. */
export interface LogLine {
  /** Wall clock of the process that wrote it, Unix milliseconds. */
  readonly timeMs: number;
  /** The process that wrote it. */
  readonly instance: string;
  readonly event: string;
  /** Set for lines on a request. */
  readonly requestId?: string;
  /** All other fields, as they were written. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that say nothing beyond the event. */
const DROPPED_FIELDS = new Set(['level', 'name', 'msg']);

/**
 * Reads one line. Text before the JSON object, as log collectors add it, is
 * passed over; a line that is torn or is no event yields nothing.
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
    Object.entries(others).filter(([name]) => !DROPPED_FIELDS.has(name)),
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
    // The caller counts the lines that could not be read.
    return undefined;
  }
}

/** A field with text. */
export function textField(line: LogLine, name: string): string | undefined {
  const value = line.fields[name];
  return typeof value === 'string' ? value : undefined;
}

/** A field with a number. */
export function numberField(line: LogLine, name: string): number | undefined {
  const value = line.fields[name];
  return typeof value === 'number' ? value : undefined;
}
