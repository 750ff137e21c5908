/**
 * The error type of the system. Each error names the processing step and the
 * peer at which it occurred, and whether an upstream ran the request.
 */

/** Whether an upstream ran a failed request. */
export type WorkState = 'not_run' | 'ran' | 'unknown';

/** Stable error codes, part of the API for callers and operators. */
export type ErrorCode =
  | 'bad_request'
  | 'unauthorized'
  | 'forbidden'
  | 'not_found'
  | 'too_large'
  | 'conflict'
  | 'key_expired'
  | 'key_in_future'
  | 'quarantined'
  | 'overloaded'
  | 'residency'
  | 'not_ready'
  | 'not_leader'
  | 'no_quorum'
  | 'stopping'
  | 'timeout'
  | 'unreachable'
  | 'upstream_refused'
  | 'upstream_failed'
  | 'truncated'
  | 'outcome_unknown'
  | 'cancelled'
  | 'storage_damaged'
  | 'internal';

/** Options of `GatewayError`. */
export interface GatewayErrorOptions {
  readonly code: ErrorCode;
  readonly message: string;
  /** The step of processing that failed, such as `admission`. */
  readonly step: string;
  /** The other side: an instance, an upstream, an address or `self`. */
  readonly peer: string;
  /** @default 'not_run' */
  readonly work?: WorkState;
  /** Delay after which the caller may retry, if a retry can help. */
  readonly retryAfterMs?: number;
  /** For `not_leader`: the current leader, if known. */
  readonly leader?: string;
  readonly cause?: unknown;
}

/** An error with its processing step, its peer and its work state. */
export class GatewayError extends Error {
  readonly code: ErrorCode;
  readonly step: string;
  readonly peer: string;
  readonly work: WorkState;
  readonly retryAfterMs?: number;
  readonly leader?: string;

  constructor(options: GatewayErrorOptions) {
    super(options.message, {cause: options.cause});
    this.name = 'GatewayError';
    this.code = options.code;
    this.step = options.step;
    this.peer = options.peer;
    this.work = options.work ?? 'not_run';
    this.retryAfterMs = options.retryAfterMs;
    this.leader = options.leader;
  }
}

/** The JSON form of an error, as callers and peers receive it. */
export interface ErrorBody {
  readonly code: ErrorCode;
  readonly message: string;
  readonly step: string;
  readonly peer: string;
  readonly work: WorkState;
  readonly retry_after_ms?: number;
  readonly leader?: string;
}

/** Converts an error to its JSON form. */
export function toErrorBody(error: GatewayError): ErrorBody {
  return {
    code: error.code,
    message: error.message,
    step: error.step,
    peer: error.peer,
    work: error.work,
    ...(error.retryAfterMs === undefined
      ? {}
      : {retry_after_ms: error.retryAfterMs}),
    ...(error.leader === undefined ? {} : {leader: error.leader}),
  };
}

/** Restores an error from the JSON form that a peer sent. */
export function fromErrorBody(body: ErrorBody): GatewayError {
  return new GatewayError({...body, retryAfterMs: body.retry_after_ms});
}

/** Wraps a thrown value in a `GatewayError`, unless it already is one. */
export function toGatewayError(
  thrown: unknown,
  step: string,
  peer: string,
): GatewayError {
  if (thrown instanceof GatewayError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new GatewayError({
    code: 'internal',
    message,
    step,
    peer,
    cause: thrown,
  });
}
