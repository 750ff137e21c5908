/** What a response says of how much its upstream bears. */
import type {NamedLimits} from '../scheduling/types.js';
import type {ResponseHead} from './response_reader.js';
import {isSuccessStatus} from './response_status.js';

/**
 * Limits that a response names hold whatever its status. Only a success that
 * certainly comes from the upstream which ran the request shows that the others
 * have ended.
 */
export function namedLimits({status, traits}: ResponseHead): NamedLimits {
  const {maxRequestsPerS, maxRejectionsPerS, attemptId, isSigned} = traits;
  const isComplete =
    isSuccessStatus(status) && isSigned && attemptId !== undefined;
  return {maxRequestsPerS, maxRejectionsPerS, isComplete};
}
