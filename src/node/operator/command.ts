/** The form of a command of the command line. */
import type {CommonOptions, Session} from './session.js';
import {usageFailure} from './failures.js';

/** Options as they were parsed; each command checks its own. */
export type ParsedOptions = CommonOptions & Readonly<Record<string, unknown>>;

/** One command, such as `answers check`. */
export interface Command {
  /** Name and arguments, such as `answers check [file]`. */
  readonly usage: string;
  readonly description: string;
  /** Flags with their description, such as `--limit <n>`. */
  readonly options?: readonly (readonly [string, string])[];
  readonly examples?: readonly string[];
  readonly run: (
    session: Session,
    args: readonly (string | undefined)[],
    options: ParsedOptions,
  ) => Promise<void>;
}

/** A positional argument that must be given. */
export function requiredArgument(
  value: string | undefined,
  name: string,
): string {
  if (value !== undefined) return value;
  throw usageFailure(`the argument <${name}> is missing`);
}

/** A flag with text, if given. */
export function textOption(
  options: ParsedOptions,
  name: string,
): string | undefined {
  const value = options[name];
  if (value === undefined) return undefined;
  // The parser turns digits into numbers and a flag without text into `true`.
  if (typeof value === 'number') return String(value);
  if (typeof value === 'string' && value !== '') return value;
  throw usageFailure(`--${name} needs a value`);
}

/** A flag with a whole number of at least `min`, if given. */
export function countOption(
  options: ParsedOptions,
  name: string,
  min: number,
): number | undefined {
  const value = options[name];
  if (value === undefined) return undefined;
  if (Number.isSafeInteger(value) && (value as number) >= min) {
    return value as number;
  }
  throw usageFailure(`--${name} needs a whole number of at least ${min}`);
}
