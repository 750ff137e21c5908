/** Exit codes of the command line and the failures that lead to them. */
import {GatewayError} from '../types/errors.js';

export const EXIT_SUCCESS = 0;
export const EXIT_FAILURE = 1;
/** Wrong usage or invalid settings. */
export const EXIT_USAGE = 2;
/** Another change won. */
export const EXIT_CONFLICT = 3;
/** The change may or may not have been made. */
export const EXIT_UNKNOWN = 4;

/** Ends a command with an exit code and a message on standard error. */
export class CommandFailure extends Error {
  constructor(
    readonly exitCode: number,
    message: string,
  ) {
    super(message);
    this.name = 'CommandFailure';
  }
}

/** A failure of wrong usage. */
export function usageFailure(message: string): CommandFailure {
  return new CommandFailure(EXIT_USAGE, message);
}

/** The failure that an error of a call leads to. */
export function failureOf(thrown: unknown): CommandFailure {
  if (thrown instanceof CommandFailure) return thrown;
  if (!(thrown instanceof GatewayError)) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return new CommandFailure(EXIT_FAILURE, message);
  }
  const {code, step, peer, message} = thrown;
  const text = `${code} at ${step} (${peer}): ${message}`;
  if (code === 'conflict') return new CommandFailure(EXIT_CONFLICT, text);
  if (code === 'outcome_unknown') return new CommandFailure(EXIT_UNKNOWN, text);
  return new CommandFailure(EXIT_FAILURE, text);
}
