/** Flags of commands that make a new version of the configuration. */
import type {Answers} from '../config/answers.js';
import {generate} from '../config/generate.js';
import {countOption, textOption, type ParsedOptions} from './command.js';
import type {Session} from './session.js';
import {waitForVersion} from './wait_for_version.js';

const DEFAULT_WAIT_MS = 60_000;

export const CHANGE_OPTIONS = [
  ['--base-version', 'The version that the change amends; default: current'],
  ['--operation-id', 'Resend a change under the id of its first try'],
  ['--wait', 'Wait until the version is in force on every entry'],
  ['--timeout-ms', `Longest wait; default ${DEFAULT_WAIT_MS}`],
] as const;

/** What these flags say. */
export interface ChangeFlags {
  readonly baseVersion: number | undefined;
  readonly operationId: string | undefined;
  readonly timeoutMs: number;
}

export function changeFlags(options: ParsedOptions): ChangeFlags {
  return {
    baseVersion: countOption(options, 'base-version', 0),
    operationId: textOption(options, 'operation-id'),
    timeoutMs: countOption(options, 'timeout-ms', 1) ?? DEFAULT_WAIT_MS,
  };
}

/** Waits with `--wait` until a version is in force; resolves with the progress. */
export async function waitIfAsked(
  session: Session,
  answers: Answers,
  version: Parameters<typeof waitForVersion>[2],
  options: ParsedOptions,
  timeoutMs: number,
): Promise<object> {
  if (options['wait'] !== true) return {};
  const {instances} = generate(answers);
  return waitForVersion(session, instances, version, timeoutMs);
}
