/** Conversions between service answers, stored answers and errors. */
import {createHash} from 'node:crypto';
import type {ServiceAnswer} from '../adapters/upstream/plain_service.js';
import {
  MAX_STORED_BODY_BYTES,
  MAX_STORED_HEADER_CHARACTERS,
  STORED_HEADERS,
} from '../records/constants.js';
import type {BeginResult, StoredAnswer} from '../records/record.js';
import {GatewayError, type GatewayErrorOptions} from '../types/errors.js';
import {asId, type Digest, type UpstreamId} from '../types/ids.js';
import type {ServiceCall, ServiceCallAnswer} from './service_call.js';

const STEP = 'records';

/** Digest of a call, which detects a key that is reused for another call. */
export function digestCall(call: ServiceCall): Digest {
  const {method, path, body} = call.request;
  return asId<Digest>(
    createHash('sha256')
      .update(`${method.toUpperCase()}\n${path}\n`)
      .update(body)
      .digest('hex'),
  );
}

/** The part of an answer that is stored for resends. */
export function toStoredAnswer(answer: ServiceAnswer): StoredAnswer {
  const headers = Object.fromEntries(
    STORED_HEADERS.map(name => [name, answer.headers[name]]).filter(
      (entry): entry is [string, string] =>
        entry[1] !== undefined &&
        entry[1].length <= MAX_STORED_HEADER_CHARACTERS,
    ),
  );
  const isBodyStored =
    answer.body !== undefined && answer.bodySizeBytes <= MAX_STORED_BODY_BYTES;
  return {
    status: answer.status,
    headers,
    bodyDigest: answer.bodyDigest,
    bodySizeBytes: answer.bodySizeBytes,
    ...(isBodyStored
      ? {body: Buffer.from(answer.body).toString('base64')}
      : {}),
  };
}

/** The answer to a resend; it has no body if none was stored. */
export function fromStoredAnswer(stored: StoredAnswer): ServiceAnswer {
  const {body, ...rest} = stored;
  if (body === undefined) return rest;
  return {...rest, body: Buffer.from(body, 'base64')};
}

/** The answer with its body, or an error if the body was not stored. */
export function requireBody(
  answer: ServiceAnswer,
  upstreamId?: UpstreamId,
): ServiceCallAnswer | GatewayError {
  if (answer.body !== undefined) {
    const whole = {...answer, body: answer.body};
    return upstreamId === undefined
      ? {answer: whole}
      : {answer: whole, upstreamId};
  }
  return new GatewayError({
    code: 'too_large',
    message:
      `the call ran and was answered with status ${answer.status}; its body ` +
      `of ${answer.bodySizeBytes} bytes (SHA-256 ${answer.bodyDigest}) is not held`,
    step: STEP,
    peer: upstreamId ?? 'self',
    work: 'ran',
  });
}

/** The results of `begin` that end a call with an error. */
export type BeginRefusal = Exclude<
  BeginResult,
  {kind: 'granted'} | {kind: 'running'} | {kind: 'answered'}
>;

const REFUSALS: Readonly<
  Record<
    BeginRefusal['kind'],
    Pick<GatewayErrorOptions, 'code' | 'message' | 'work' | 'retryAfterMs'>
  >
> = {
  unknown: {
    code: 'outcome_unknown',
    message: 'an earlier attempt with this key may have run',
    work: 'unknown',
  },
  conflict: {
    code: 'conflict',
    message: 'the key was used for another call',
  },
  expired: {
    code: 'key_expired',
    message: 'the key is older than the retention of records',
    // The call does not run now, but it may have run when the key was new.
    work: 'unknown',
  },
  future: {
    code: 'key_in_future',
    message: 'the time in the key lies too far in the future',
  },
  closed_attempt: {
    code: 'internal',
    message: 'the attempt was closed before',
  },
  not_home: {
    code: 'not_ready',
    message: 'the records of the workspace are moving to another domain',
    retryAfterMs: 1_000,
  },
  full: {
    code: 'overloaded',
    message: 'the workspace holds as many records as it may',
    retryAfterMs: 60_000,
  },
  not_ready: {
    code: 'not_ready',
    message: 'the record group is starting',
    retryAfterMs: 1_000,
  },
};

/** The error for a `begin` that was refused. */
export function refusalError(refusal: BeginRefusal): GatewayError {
  return new GatewayError({
    ...REFUSALS[refusal.kind],
    step: STEP,
    peer: 'self',
  });
}
