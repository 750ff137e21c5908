/** Reads the body of a caller's request, or answers why it cannot be read. */
import type {IncomingMessage} from 'node:http';
import {readBody} from '../http/server.js';
import {toGatewayError, type ErrorCode} from '../types/errors.js';
import type {CallerResponse} from './caller_response.js';
import {sendRefusal, sendRejection, sendTimeout} from './error_responses.js';
import {MEMORY_RETRY_MS} from './memory_bound.js';
import type {OnRejected} from './request_log.js';

export interface CallerBodyBounds {
  readonly maxBodyBytes: number;
  /** Time limit of the request: a body that takes longer could not be served. */
  readonly timeoutMs: number;
}

/** Resolves with `undefined` if the caller has been answered, or has left. */
export async function readCallerBody(
  request: IncomingMessage,
  response: CallerResponse,
  {maxBodyBytes, timeoutMs}: CallerBodyBounds,
  onRejected: OnRejected,
): Promise<Buffer | undefined> {
  try {
    const {holding} = response;
    return await readBody(request, maxBodyBytes, {holding, timeoutMs});
  } catch (thrown) {
    const {code} = toGatewayError(thrown, 'ingress.read_body', 'caller');
    answerFailure(code, response, onRejected);
    return undefined;
  }
}

function answerFailure(
  code: ErrorCode,
  response: CallerResponse,
  onRejected: OnRejected,
): void {
  switch (code) {
    case 'too_large':
      return onRejected('body_too_large', sendRejection(response, 413));
    case 'timeout':
      return onRejected('body_too_slow', sendTimeout(response));
    case 'overloaded':
      return onRejected('no_memory', sendRefusal(response, MEMORY_RETRY_MS));
    default:
      response.terminate();
      onRejected('body_incomplete', 0);
  }
}
