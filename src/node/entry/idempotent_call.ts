/**
 * Runs idempotent service calls: a failed call is retried on another upstream
 * as long as the deadline and the retry budget allow it.
 */
import {err, ok, type Result} from 'neverthrow';
import type {
  DispatchOutcome,
  ServiceUpstream,
} from '../adapters/upstream/plain_service.js';
import {monotonicNowMs} from '../clock/clock.js';
import {GatewayError} from '../types/errors.js';
import type {UpstreamId, WorkspaceId} from '../types/ids.js';
import {requireBody} from './recorded_call_answers.js';
import type {
  ServiceCall,
  ServiceCallAnswer,
  ServiceTargetPicker,
} from './service_call.js';

const STEP = 'idempotent_call';
/** Statuses after which another upstream may still succeed. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Limits the retries of each workspace to a share of its first tries. */
export abstract class RetryBudget {
  /** Counts a first try, which adds a fraction of a retry to the budget. */
  abstract recordFirstTry(workspaceId: WorkspaceId): void;
  /** Takes one retry from the budget; false if it is exhausted. */
  abstract takeRetry(workspaceId: WorkspaceId): boolean;
}

/** Options of `runIdempotentCall`. */
export interface IdempotentCallOptions {
  readonly upstream: ServiceUpstream;
  readonly budget: RetryBudget;
  /** Timeout of one try, so that another upstream replaces a stalled one. */
  readonly tryTimeoutMs: number;
}

/**
 * Runs one idempotent call; its result is that of the last try, except that a
 * try that may have run takes precedence over a later one that did not.
 */
export async function runIdempotentCall(
  call: ServiceCall,
  pickTarget: ServiceTargetPicker,
  options: IdempotentCallOptions,
): Promise<Result<ServiceCallAnswer, GatewayError>> {
  const excluded = new Set<UpstreamId>();
  let lastResult: Result<ServiceCallAnswer, GatewayError> | undefined;
  while (monotonicNowMs() < call.deadlineAtMs) {
    const target = pickTarget(excluded);
    if (target === undefined) break;
    if (excluded.size === 0) options.budget.recordFirstTry(call.workspaceId);
    else if (!options.budget.takeRetry(call.workspaceId)) break;
    const outcome = await options.upstream.dispatch(
      target,
      call.request,
      Math.min(call.deadlineAtMs, monotonicNowMs() + options.tryTimeoutMs),
    );
    const result = toResult(outcome, target.upstreamId);
    if (!isRetryable(outcome)) return result;
    lastResult =
      mayHaveRun(lastResult) && !mayHaveRun(result) ? lastResult : result;
    excluded.add(target.upstreamId);
  }
  return lastResult ?? err(notDispatchedError(call));
}

function isRetryable(outcome: DispatchOutcome): boolean {
  return (
    outcome.kind !== 'answered' || RETRYABLE_STATUSES.has(outcome.answer.status)
  );
}

/** A failed call must not be reported as `not_run` if any try may have run. */
function mayHaveRun(
  result: Result<ServiceCallAnswer, GatewayError> | undefined,
): boolean {
  return (
    result !== undefined && (result.isOk() || result.error.work !== 'not_run')
  );
}

function toResult(
  outcome: DispatchOutcome,
  upstreamId: UpstreamId,
): Result<ServiceCallAnswer, GatewayError> {
  if (outcome.kind !== 'answered') return err(outcome.error);
  const answer = requireBody(outcome.answer, upstreamId);
  return answer instanceof GatewayError ? err(answer) : ok(answer);
}

function notDispatchedError(call: ServiceCall): GatewayError {
  const late = monotonicNowMs() >= call.deadlineAtMs;
  return new GatewayError({
    code: late ? 'timeout' : 'not_ready',
    message: late
      ? 'the deadline passed before dispatch'
      : 'no upstream is available for the call',
    step: STEP,
    peer: 'self',
    ...(late ? {} : {retryAfterMs: 1_000}),
  });
}
