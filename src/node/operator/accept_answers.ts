/** Sends answers to the control members and explains the result. */
import {randomUUID} from 'node:crypto';
import type {Answers} from '../config/answers.js';
import {generate} from '../config/generate.js';
import type {ControlResult} from '../control/commands.js';
import {configurationDigest} from '../control/control_service.js';
import type {CurrentResult} from '../control/methods.js';
import {
  asId,
  asNumber,
  type ConfigVersion,
  type OperationId,
} from '../types/ids.js';
import {
  CommandFailure,
  EXIT_CONFLICT,
  EXIT_FAILURE,
  usageFailure,
} from './failures.js';
import {failureOf} from './failures.js';
import type {Session} from './session.js';
import {formatTime} from './table.js';

/** The version that a change starts from and the id that it keeps. */
export interface ChangeIdentity {
  readonly baseVersion: ConfigVersion;
  readonly operationId: OperationId;
}

/** An id for a new change. */
export function newOperationId(): OperationId {
  return asId(randomUUID());
}

/**
 * Takes the base version from the flag, or the current version. A resend has
 * to name both, because the current version may be the result of the change.
 */
export async function identifyChange(
  session: Session,
  baseVersion: number | undefined,
  operationId: string | undefined,
): Promise<ChangeIdentity> {
  if (operationId !== undefined && baseVersion === undefined) {
    throw usageFailure('--operation-id needs --base-version of the first try');
  }
  const base =
    baseVersion ??
    (await session.control.query<CurrentResult>('config.current')).version;
  return {
    baseVersion: asNumber(base),
    operationId:
      operationId === undefined ? newOperationId() : asId(operationId),
  };
}

/** Accepts answers; resolves with the new version. */
export async function acceptAnswers(
  session: Session,
  answers: Answers,
  identity: ChangeIdentity,
): Promise<Extract<ControlResult, {status: 'accepted'}>> {
  const {operator, operatorKey} = session.settings;
  const {baseVersion, operationId} = identity;
  session.note(`operation ${operationId} on base version ${baseVersion}`);
  try {
    const result = await session.control.change<ControlResult>(
      'config.accept',
      {
        operator,
        operatorKey,
        operationId,
        baseVersion,
        answers,
        configurationDigest: configurationDigest(generate(answers)),
      },
    );
    return acceptedOrFailure(result, identity);
  } catch (thrown) {
    const failure = failureOf(thrown);
    const hint = `\nto ask again: --operation-id ${operationId} --base-version ${baseVersion}`;
    const isUnknown = failure.exitCode !== EXIT_CONFLICT && failure !== thrown;
    throw isUnknown
      ? new CommandFailure(failure.exitCode, failure.message + hint)
      : failure;
  }
}

function acceptedOrFailure(
  result: ControlResult,
  identity: ChangeIdentity,
): Extract<ControlResult, {status: 'accepted'}> {
  if (result.status === 'accepted') return result;
  if (result.status === 'conflict') {
    const {winner, currentVersion} = result;
    const by =
      winner === undefined
        ? ''
        : `: version ${winner.version} by ${winner.operator} at ${formatTime(winner.atMs)} (operation ${winner.operationId}) was accepted first`;
    throw new CommandFailure(
      EXIT_CONFLICT,
      `base version ${identity.baseVersion} is no longer current, which is ${currentVersion}${by}`,
    );
  }
  const reason = result.status === 'refused' ? result.message : result.status;
  throw new CommandFailure(EXIT_FAILURE, `refused: ${reason}`);
}
