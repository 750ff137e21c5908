/** Response headers, and error answers to callers. */
import type {ServerResponse} from 'node:http';
import {sendResponse} from '../http/server.js';
import {
  toErrorBody,
  type ErrorCode,
  type GatewayError,
} from '../types/errors.js';

/** The header that says whether the work of a request ran; see `WorkState`. */
export const WORK_HEADER = 'x-cyclamenfall-work';
/** The header that carries the request id, which the logs also name. */
export const REQUEST_ID_HEADER = 'x-request-id';

const MS_PER_SECOND = 1_000;

const STATUS_BY_CODE: Readonly<Record<ErrorCode, number>> = {
  bad_request: 400,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  too_large: 413,
  conflict: 409,
  key_expired: 410,
  key_in_future: 400,
  quarantined: 422,
  overloaded: 429,
  residency: 403,
  not_ready: 503,
  not_leader: 503,
  no_quorum: 503,
  stopping: 503,
  timeout: 504,
  unreachable: 503,
  upstream_refused: 503,
  upstream_failed: 502,
  truncated: 502,
  outcome_unknown: 504,
  cancelled: 499,
  storage_damaged: 500,
  internal: 500,
};

/** Sends an error answer; ends a started event stream with an error event. */
export function sendError(response: ServerResponse, error: GatewayError): void {
  if (response.destroyed || response.writableEnded) return;
  const text = JSON.stringify({error: toErrorBody(error)});
  if (!response.headersSent) {
    sendErrorAnswer(response, error, text);
    return;
  }
  const contentType = String(response.getHeader('content-type') ?? '');
  if (!contentType.startsWith('text/event-stream')) {
    // Part of an unstreamed answer was sent: only a reset connection can
    // signal the error.
    response.destroy();
    return;
  }
  response.end(`event: error\ndata: ${text}\n\n`);
}

function sendErrorAnswer(
  response: ServerResponse,
  error: GatewayError,
  text: string,
): void {
  response.setHeader(WORK_HEADER, error.work);
  if (error.retryAfterMs !== undefined) {
    const seconds = Math.ceil(error.retryAfterMs / MS_PER_SECOND);
    response.setHeader('retry-after', String(seconds));
  }
  sendResponse(response, {
    status: STATUS_BY_CODE[error.code],
    contentType: 'application/json',
    text,
  });
}
