/**
 * Structured logs. Counters come first: a line is written only for a change
 * of state, and never carries a request's payload or a caller's key.
 */
import pino from 'pino';

export type Logger = pino.Logger;

/** What a process logs with. */
export interface LoggerOptions {
  /** The binary's name, such as `cyclamenfall-entry`. */
  readonly name: string;
  readonly instanceId: string;
  /** @default 'info' */
  readonly level?: string;
}

/**
 * Creates a logger whose lines go to standard output without waiting for it:
 * a reader that falls behind must not hold up the process.
 */
export function createProcessLogger(options: LoggerOptions): Logger {
  return createLoggerTo(pino.destination({fd: 1, sync: false}), options);
}

/** Creates the logger of one process; lines go to standard error as JSON. */
export function createLogger(options: LoggerOptions): Logger {
  return createLoggerTo(pino.destination({fd: 2, sync: true}), options);
}

function createLoggerTo(
  destination: pino.DestinationStream,
  {name, instanceId, level = 'info'}: LoggerOptions,
): Logger {
  return pino(
    {
      name,
      level,
      base: {instance: instanceId},
      redact: ['authorization', 'headers.authorization', 'body'],
    },
    destination,
  );
}
