/**
 * Structured logs. Counters are preferred: a line is logged only for a change
 * of state, and never contains a request's payload or a caller's key.
 */
import pino from 'pino';

export type Logger = pino.Logger;

/** Lines are written together, as each write costs a system call and a thread. */
const MAX_BUFFERED_BYTES = 8_192;
/** A process that is killed loses the lines of this time. */
const FLUSH_INTERVAL_MS = 100;

/** Options of a process's logger. */
export interface LoggerOptions {
  /** The binary's name, such as `cyclamenfall-entry`. */
  readonly name: string;
  readonly instanceId: string;
  /** @default 'info' */
  readonly level?: string;
}

/**
 * Creates a logger that writes to standard output asynchronously: a slow reader
 * must not block the process.
 */
export function createProcessLogger(options: LoggerOptions): Logger {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  return createLoggerTo(destination, options);
}

/** Creates a logger that writes JSON lines to standard error, synchronously. */
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
