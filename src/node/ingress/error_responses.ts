/** Error responses that the ingress itself generates. */
import type {CallerResponse} from './caller_response.js';
import {NOT_RUN_HEADER, type NotRun} from './inner_headers.js';
import type {NoCallerRules} from './request_rules.js';
import type {TryBudget} from './try_budget.js';
import type {InboundRequest, TryResult} from './types.js';

const REJECTION_CODES = {
  401: 'unauthorized',
  404: 'not_found',
  408: 'timeout',
  413: 'too_large',
  431: 'headers_too_large',
} as const;

const MS_PER_S = 1_000;
/** `retry-after` if the route table leaves nowhere to run the request. */
export const NOWHERE_RETRY_MS = 1_000;
const RETRY_JITTER = 0.3;
const NOT_RUN_WITHOUT_CAUSE = {cause: '', retryAfterMs: 0};
/** For a rejection by an upstream; a caller that returns at once meets it again. */
const MIN_RETRY_AFTER_MS = 300;

/**
 * Refuses a request that did not run and will not run. `retry-after` has
 * jitter, so that callers refused at the same time do not retry all at once.
 * `relayed` tells the entry that relayed the request what became of it.
 */
export function sendRefusal(
  response: CallerResponse,
  retryAfterMs: number,
  relayed?: NotRun,
  code: 'overloaded' | 'quarantined' = 'overloaded',
): number {
  const status = 503;
  const jitteredMs = retryAfterMs * (1 + RETRY_JITTER * Math.random());
  response.sendComplete(
    status,
    [
      ['retry-after', (jitteredMs / MS_PER_S).toFixed(2)],
      ['content-type', 'application/json'],
      ...(relayed === undefined ? [] : [[NOT_RUN_HEADER, relayed] as const]),
    ],
    errorBody(code, 'not_run'),
  );
  return status;
}

/** Refuses a request of a workspace that has used its quota. */
export function sendOverQuota(
  response: CallerResponse,
  retryAfterMs: number,
): number {
  const status = 429;
  const jitteredMs = retryAfterMs * (1 + RETRY_JITTER * Math.random());
  response.sendComplete(
    status,
    [
      ['retry-after', (jitteredMs / MS_PER_S).toFixed(2)],
      ['content-type', 'application/json'],
    ],
    errorBody('over_quota', 'not_run'),
  );
  return status;
}

/** Responds to a request that ran or may have run at an upstream. */
export function sendFailure(
  response: CallerResponse,
  result: TryResult,
): number {
  const status = result.kind === 'aborted' ? 504 : 502;
  response.sendComplete(
    status,
    [['content-type', 'application/json']],
    errorBody(status === 504 ? 'timeout' : 'upstream_failed', 'unknown'),
  );
  return status;
}

/**
 * Ends a request whose handling threw an error. An upstream may have run it, so
 * nothing is promised.
 */
export function sendUnexpectedError(response: CallerResponse): number {
  if (response.isEnded) return 0;
  if (response.isBegun) {
    response.terminate();
    return 0;
  }
  return sendFailure(response, {kind: 'failed', cause: 'unexpected error'});
}

/** Rejects a request that exceeds a limit, matches no route or has no known key. */
export function sendRejection(
  response: CallerResponse,
  status: keyof typeof REJECTION_CODES,
): number {
  response.sendComplete(
    status,
    [['content-type', 'application/json']],
    errorBody(REJECTION_CODES[status], 'not_run'),
  );
  return status;
}

/** Tells a caller that its body did not arrive in time, and closes its connection. */
export function sendTimeout(response: CallerResponse): number {
  const status = 408;
  response.sendComplete(
    status,
    [
      ['connection', 'close'],
      ['content-type', 'application/json'],
    ],
    errorBody(REJECTION_CODES[status], 'not_run'),
  );
  return status;
}

/** Sends what is left to send at the end of a request; returns its status. */
export function sendFinalResponse(
  result: TryResult,
  response: CallerResponse,
  {runs, wasAtUpstream}: Pick<TryBudget, 'runs' | 'wasAtUpstream'>,
  {isRelayed}: InboundRequest,
): number {
  if (result.kind === 'delivered') return result.status;
  if (response.isBegun) {
    response.terminate();
    return 0;
  }
  const mayHaveRun =
    runs > 0 ||
    result.kind === 'failed' ||
    (result.kind === 'aborted' && result.isSent);
  if (mayHaveRun) return sendFailure(response, result);
  const {cause, retryAfterMs} =
    result.kind === 'not_run' ? result : NOT_RUN_WITHOUT_CAUSE;
  const code = cause === 'quarantined' ? 'quarantined' : 'overloaded';
  const notRun = wasAtUpstream ? 'rejected' : 'unsent';
  const relayed = isRelayed ? notRun : undefined;
  return sendRefusal(
    response,
    Math.max(MIN_RETRY_AFTER_MS, retryAfterMs),
    relayed,
    code,
  );
}

function errorBody(code: string, work: 'not_run' | 'unknown'): Buffer {
  return Buffer.from(JSON.stringify({error: {code, work}}));
}

/** Answers a caller to whose request no rules apply; returns the status. */
export function sendWithoutRules(
  response: CallerResponse,
  reason: NoCallerRules,
): number {
  switch (reason) {
    case 'no_route':
      return sendRejection(response, 404);
    case 'unknown_key':
      return sendRejection(response, 401);
    case 'no_common_region':
      return sendRefusal(response, NOWHERE_RETRY_MS);
  }
}
