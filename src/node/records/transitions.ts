/**
 * The state transitions of a record, as pure functions. They ensure the
 * at-most-once guarantee: a key is granted to one attempt at a time, and to
 * another only after the first was closed as `not_run`.
 */
import type {AttemptId, Digest, MemberId} from '../types/ids.js';
import {MAX_CLOSED_ATTEMPTS} from './constants.js';
import type {BeginResult, CallRecord, FinishResult, Outcome} from './record.js';

/** The record after a command, and the answer to the command. */
export interface Transition<Result> {
  /** `undefined` if the command created no record. */
  readonly record: CallRecord | undefined;
  readonly result: Result;
}

/** The part of a `begin` that concerns one record. */
export interface BeginRequest {
  readonly digest: Digest;
  readonly attemptId: AttemptId;
  readonly owner: MemberId;
  readonly nowMs: number;
  readonly deadlineMs: number;
}

/** The part of a `finish` that concerns one record. */
export interface FinishRequest {
  readonly digest: Digest;
  readonly attemptId: AttemptId;
  readonly owner: MemberId;
  readonly outcome: Outcome;
  readonly nowMs: number;
}

/** Grants a key whose record is missing or `not_run`. */
export function grantRecord(
  record: CallRecord | undefined,
  request: BeginRequest,
): Transition<BeginResult> {
  return {
    record: {
      digest: request.digest,
      phase: 'dispatched',
      attemptId: request.attemptId,
      owner: request.owner,
      dispatchedAtMs: request.nowMs,
      deadlineMs: request.deadlineMs,
      closedAttempts: record?.closedAttempts ?? [],
    },
    result: {kind: 'granted'},
  };
}

/** Applies `begin` to an existing record. */
export function beginRecord(
  record: CallRecord,
  request: BeginRequest,
): Transition<BeginResult> {
  if (record.digest !== request.digest) {
    return {record, result: {kind: 'conflict'}};
  }
  if (record.closedAttempts.includes(request.attemptId)) {
    return {record, result: {kind: 'closed_attempt'}};
  }
  switch (record.phase) {
    case 'dispatched':
      // The same attempt retries if the answer to it was lost.
      return {
        record,
        result: {
          kind: record.attemptId === request.attemptId ? 'granted' : 'running',
        },
      };
    case 'answered':
      return record.answer === undefined
        ? {record, result: {kind: 'unknown'}}
        : {record, result: {kind: 'answered', answer: record.answer}};
    case 'unknown':
      return {record, result: {kind: 'unknown'}};
    case 'not_run':
      return grantRecord(record, request);
  }
}

function closeAttempt(
  closedAttempts: readonly AttemptId[],
  attemptId: AttemptId,
): readonly AttemptId[] {
  return [...closedAttempts, attemptId].slice(-MAX_CLOSED_ATTEMPTS);
}

/**
 * Applies `finish` to a key without a record. Only `not_run` creates a record:
 * it stores the closed attempt, so that its delayed `begin` is not granted.
 */
export function finishMissingRecord(
  request: FinishRequest,
): Transition<FinishResult> {
  if (request.outcome.kind !== 'not_run') {
    return {record: undefined, result: {kind: 'missing'}};
  }
  return {
    record: {
      digest: request.digest,
      phase: 'not_run',
      attemptId: request.attemptId,
      owner: request.owner,
      dispatchedAtMs: request.nowMs,
      deadlineMs: request.nowMs,
      closedAttempts: [request.attemptId],
    },
    result: {kind: 'recorded'},
  };
}

function finishOtherAttempt(
  record: CallRecord,
  request: FinishRequest,
): Transition<FinishResult> {
  if (record.closedAttempts.includes(request.attemptId)) {
    const kind = request.outcome.kind === 'not_run' ? 'already' : 'refused';
    return {record, result: {kind}};
  }
  if (request.outcome.kind !== 'not_run') {
    return {record, result: {kind: 'refused'}};
  }
  // The attempt abandoned its `begin`, and the record belongs to another one.
  const closedAttempts = closeAttempt(record.closedAttempts, request.attemptId);
  return {record: {...record, closedAttempts}, result: {kind: 'recorded'}};
}

/** Applies `finish` to an existing record. */
export function finishRecord(
  record: CallRecord,
  request: FinishRequest,
): Transition<FinishResult> {
  if (record.attemptId !== request.attemptId) {
    return finishOtherAttempt(record, request);
  }
  const {outcome} = request;
  if (record.phase === outcome.kind) {
    return {record, result: {kind: 'already'}};
  }
  if (record.phase === 'answered' || record.phase === 'not_run') {
    return {record, result: {kind: 'refused'}};
  }
  const closedAttempts =
    outcome.kind === 'not_run'
      ? closeAttempt(record.closedAttempts, request.attemptId)
      : record.closedAttempts;
  return {
    record: {
      ...record,
      phase: outcome.kind,
      closedAttempts,
      ...(outcome.kind === 'answered' ? {answer: outcome.answer} : {}),
    },
    result: {kind: 'recorded'},
  };
}

/** Whether a record is `dispatched` past its deadline and grace period. */
export function isOverdue(
  record: CallRecord,
  nowMs: number,
  graceMs: number,
): boolean {
  return record.phase === 'dispatched' && record.deadlineMs + graceMs < nowMs;
}

/** Ends an overdue attempt; whether it ran is unknown. */
export function expireRecord(record: CallRecord): CallRecord {
  return {...record, phase: 'unknown'};
}
