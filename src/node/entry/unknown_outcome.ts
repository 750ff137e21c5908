/**
 * Marks refusals whose idempotency key may have been used before. A caller that
 * is told `not_run` may repeat the call under a new key, so this is reported
 * only if the key's record was read or the key was generated for this call.
 */
import {GatewayError} from '../types/errors.js';

/** Codes of errors that hold whether or not the key was used before. */
const CERTAIN_CODES = new Set(['bad_request', 'unauthorized', 'conflict']);

/**
 * Changes a refusal from `not_run` to `unknown`, because the record of the
 * caller's key was not read.
 */
export function withUnknownOutcome(error: GatewayError): GatewayError {
  if (error.work !== 'not_run' || CERTAIN_CODES.has(error.code)) return error;
  const {code, message, step, peer, retryAfterMs, leader} = error;
  return new GatewayError({
    code,
    message: `${message}; it did not run now, but whether the key was used before is not known`,
    step,
    peer,
    work: 'unknown',
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
    ...(leader === undefined ? {} : {leader}),
    cause: error,
  });
}

/** Does the same unless the key was generated for this call. */
export function unknownIfUsed(
  attempt: {readonly fresh: boolean},
  error: GatewayError,
): GatewayError {
  return attempt.fresh ? error : withUnknownOutcome(error);
}
