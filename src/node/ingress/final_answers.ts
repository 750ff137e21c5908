/** The answers that the ingress itself gives to requests. */
import type {CallerAnswer} from './caller_answer.js';
import type {TryResult} from './types.js';

/** Tells another entry that a relayed request did not run. */
export const NOT_RUN_HEADER = 'x-cyclamenfall-not-run';

const REJECTION_CODES = {
  404: 'not_found',
  413: 'too_large',
  431: 'headers_too_large',
} as const;

const MS_PER_S = 1_000;
const SPREAD = 0.3;

/**
 * Refuses a request that did not run and never will. The time to come back is
 * spread, so that those refused together do not return together.
 */
export function sendRefusal(
  answer: CallerAnswer,
  retryAfterMs: number,
  isRelayed = false,
): number {
  const status = 503;
  const spreadMs = retryAfterMs * (1 + SPREAD * Math.random());
  answer.sendWhole(
    status,
    [
      ['retry-after', (spreadMs / MS_PER_S).toFixed(2)],
      ['content-type', 'application/json'],
      ...(isRelayed ? [[NOT_RUN_HEADER, '1'] as const] : []),
    ],
    errorBody('overloaded', 'not_run'),
  );
  return status;
}

/** Answers a request that failed at an upstream, or may have run there. */
export function sendFailure(answer: CallerAnswer, result: TryResult): number {
  const status = result.kind === 'aborted' ? 504 : 502;
  answer.sendWhole(
    status,
    [['content-type', 'application/json']],
    errorBody(status === 504 ? 'timeout' : 'upstream_failed', 'unknown'),
  );
  return status;
}

/** Answers a request that is not proper, or that no route allows. */
export function sendRejection(
  answer: CallerAnswer,
  status: keyof typeof REJECTION_CODES,
): number {
  answer.sendWhole(
    status,
    [['content-type', 'application/json']],
    errorBody(REJECTION_CODES[status], 'not_run'),
  );
  return status;
}

function errorBody(code: string, work: 'not_run' | 'unknown'): Buffer {
  return Buffer.from(JSON.stringify({error: {code, work}}));
}
