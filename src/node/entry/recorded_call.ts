/**
 * Runs non-idempotent service calls at most once: an attempt must be granted by
 * the key's record before anything is sent, only the granted attempt dispatches
 * the call, and its outcome is recorded.
 */
import {randomUUID} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {
  DispatchOutcome,
  ServiceUpstream,
} from '../adapters/upstream/plain_service.js';
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import {
  createIdempotencyKey,
  parseIdempotencyKey,
} from '../records/idempotency_key.js';
import type {Outcome} from '../records/record.js';
import type {
  RecordedAttempt,
  RecordsClient,
} from '../records/records_client.js';
import {GatewayError} from '../types/errors.js';
import {
  asId,
  type AttemptId,
  type IdempotencyKey,
  type MemberId,
  type RegionId,
  type UpstreamId,
} from '../types/ids.js';
import {unknownIfUsed} from './unknown_outcome.js';
import {
  digestCall,
  fromStoredAnswer,
  refusalError,
  requireBody,
  toStoredAnswer,
} from './recorded_call_answers.js';
import type {
  ServiceCall,
  ServiceCallAnswer,
  ServiceTargetPicker,
} from './service_call.js';

const STEP = 'recorded_call';
/** Pause before `begin` is retried while records move or a group starts. */
const BEGIN_RETRY_PAUSE_MS = 200;

/** A non-idempotent call. */
export interface RecordedCall extends ServiceCall {
  /** The header `idempotency-key` as the caller sent it. */
  readonly idempotencyKey?: string | undefined;
  /** Whether another entry generated the key for this call and sent it once. */
  readonly isFreshKey?: boolean;
  /**
   * The home region, if this entry is not in it. If the home does not answer,
   * an entry elsewhere cannot know whether a caller's key was used before.
   */
  readonly remoteHomeRegionId?: RegionId;
}

/** The result of a recorded call. */
export type RecordedCallResult = Result<ServiceCallAnswer, GatewayError>;

/** Options of a `RecordedCallRunner`. */
export interface RecordedCallRunnerOptions {
  readonly records: RecordsClient;
  readonly upstream: ServiceUpstream;
  /** The member ID of this entry process, which owns its attempts. */
  readonly owner: MemberId;
  /** Longest wait for an outcome to be recorded before the caller is answered. @default 250 */
  readonly finishWaitMs?: number;
  /** How long after the deadline an upstream's answer is still recorded. @default 4000 */
  readonly lateAnswerMs?: number;
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function deadlineError(work: 'not_run' | 'unknown', message: string) {
  const code = work === 'unknown' ? 'outcome_unknown' : 'timeout';
  return new GatewayError({code, message, step: STEP, peer: 'self', work});
}

/** Runs non-idempotent calls on one entry. */
export class RecordedCallRunner {
  private readonly options: Required<RecordedCallRunnerOptions>;
  private readonly inFlight = new Set<Promise<unknown>>();

  constructor(options: RecordedCallRunnerOptions) {
    this.options = {
      ...options,
      finishWaitMs: options.finishWaitMs ?? 250,
      lateAnswerMs: options.lateAnswerMs ?? 4_000,
    };
  }

  /**
   * Runs one call. It continues after the caller disconnects, so that a resend
   * finds the recorded answer.
   */
  run(
    call: RecordedCall,
    pickTarget: ServiceTargetPicker,
  ): Promise<RecordedCallResult> {
    return this.track(this.runUntracked(call, pickTarget));
  }

  /** Number of calls in flight, including those whose answer is late. */
  inFlightCount(): number {
    return this.inFlight.size;
  }

  /**
   * Resolves when all calls have ended and their outcomes are recorded, or at
   * the timeout.
   */
  async drain(timeoutMs: number): Promise<void> {
    const untilMs = monotonicNowMs() + timeoutMs;
    while (this.inFlight.size > 0 && monotonicNowMs() < untilMs) {
      await withTimeout(
        Promise.allSettled([...this.inFlight]),
        untilMs - monotonicNowMs(),
      );
    }
    await this.options.records.drain(Math.max(0, untilMs - monotonicNowMs()));
  }

  private track<Value>(work: Promise<Value>): Promise<Value> {
    this.inFlight.add(work);
    const untrack = (): void => void this.inFlight.delete(work);
    work.then(untrack, untrack);
    return work;
  }

  private async runUntracked(
    call: RecordedCall,
    pickTarget: ServiceTargetPicker,
  ): Promise<RecordedCallResult> {
    const isGeneratedKey = call.idempotencyKey === undefined;
    const fresh = isGeneratedKey || call.isFreshKey === true;
    const key = isGeneratedKey
      ? createIdempotencyKey(wallNowMs())
      : parseIdempotencyKey(call.idempotencyKey)?.key;
    if (key === undefined) {
      return err(
        new GatewayError({
          code: 'bad_request',
          message:
            'idempotency-key must be <unix ms>-<8 to 64 of A-Z a-z 0-9 _ ->',
          step: STEP,
          peer: 'self',
        }),
      );
    }
    const attempt: RecordedAttempt = {
      workspaceId: call.workspaceId,
      key,
      digest: digestCall(call),
      attemptId: asId<AttemptId>(randomUUID()),
      owner: this.options.owner,
      fresh,
    };
    const granted = await this.obtainGrant(call, attempt);
    if (granted !== undefined) return granted;
    return this.dispatchGranted(call, attempt, pickTarget);
  }

  /**
   * Begins the attempt: `undefined` once it is granted, otherwise the recorded
   * answer or the error that ends the call.
   */
  private async obtainGrant(
    call: RecordedCall,
    attempt: RecordedAttempt,
  ): Promise<RecordedCallResult | undefined> {
    let sawRunning = false;
    while (monotonicNowMs() < call.deadlineAtMs) {
      const begun = await this.options.records.begin(
        attempt,
        call.deadlineAtMs,
      );
      if (begun.isErr()) {
        return err(beginError(call, attempt, begun.error, sawRunning));
      }
      const result = begun.value;
      switch (result.kind) {
        case 'granted':
          return undefined;
        case 'answered':
          return toResult(requireBody(fromStoredAnswer(result.answer)));
        case 'running':
          sawRunning = true;
          await this.options.records.wait(
            attempt.workspaceId,
            attempt.key,
            call.deadlineAtMs,
          );
          break;
        case 'not_home':
        case 'not_ready':
          if (monotonicNowMs() + BEGIN_RETRY_PAUSE_MS >= call.deadlineAtMs) {
            return err(unknownIfUsed(attempt, refusalError(result)));
          }
          await pause(BEGIN_RETRY_PAUSE_MS);
          break;
        default:
          return err(refusalError(result));
      }
    }
    return err(
      sawRunning
        ? deadlineError('unknown', 'another attempt is still running')
        : unknownIfUsed(
            attempt,
            deadlineError('not_run', 'no time was left to begin the call'),
          ),
    );
  }

  /** Dispatches the call; only after a refusal is the next upstream tried. */
  private async dispatchGranted(
    call: RecordedCall,
    attempt: RecordedAttempt,
    pickTarget: ServiceTargetPicker,
  ): Promise<RecordedCallResult> {
    const excluded = new Set<UpstreamId>();
    let refusal: GatewayError | undefined;
    while (monotonicNowMs() < call.deadlineAtMs) {
      const target = pickTarget(excluded);
      if (target === undefined) break;
      const dispatched = this.options.upstream.dispatch(
        target,
        withKey(call, attempt.key),
        call.deadlineAtMs + this.options.lateAnswerMs,
      );
      const outcome = await withTimeout(
        dispatched,
        call.deadlineAtMs - monotonicNowMs(),
      );
      if (outcome === undefined) {
        void this.track(this.recordLateOutcome(attempt, dispatched));
        return err(
          deadlineError(
            'unknown',
            'no answer of the upstream before the deadline',
          ),
        );
      }
      if (outcome.kind !== 'not_run') {
        return this.recordAndAnswer(call, attempt, outcome, target.upstreamId);
      }
      refusal = outcome.error;
      excluded.add(target.upstreamId);
    }
    await this.recordOutcome(call, attempt, {kind: 'not_run'});
    return err(
      refusal ??
        (monotonicNowMs() < call.deadlineAtMs
          ? noUpstreamError()
          : deadlineError('not_run', 'the deadline passed before dispatch')),
    );
  }

  private async recordAndAnswer(
    call: RecordedCall,
    attempt: RecordedAttempt,
    outcome: Exclude<DispatchOutcome, {kind: 'not_run'}>,
    upstreamId: UpstreamId,
  ): Promise<RecordedCallResult> {
    await this.recordOutcome(call, attempt, toOutcome(outcome));
    return outcome.kind === 'answered'
      ? toResult(requireBody(outcome.answer, upstreamId))
      : err(outcome.error);
  }

  /** Records an outcome; waits up to `finishWaitMs`, so that a resend finds it. */
  private async recordOutcome(
    call: RecordedCall,
    attempt: RecordedAttempt,
    outcome: Outcome,
  ): Promise<void> {
    const waitMs = Math.min(
      this.options.finishWaitMs,
      call.deadlineAtMs - monotonicNowMs(),
    );
    const finished = this.options.records.finish(attempt, outcome);
    await withTimeout(finished, Math.max(0, waitMs));
  }

  /** Records an outcome that arrives after the caller's deadline. */
  private async recordLateOutcome(
    attempt: RecordedAttempt,
    dispatched: Promise<DispatchOutcome>,
  ): Promise<void> {
    await this.options.records.finish(attempt, toOutcome(await dispatched));
  }
}

function toOutcome(outcome: DispatchOutcome): Outcome {
  return outcome.kind === 'answered'
    ? {kind: 'answered', answer: toStoredAnswer(outcome.answer)}
    : {kind: outcome.kind};
}

function toResult(
  answer: ServiceCallAnswer | GatewayError,
): RecordedCallResult {
  return answer instanceof GatewayError ? err(answer) : ok(answer);
}

/** Passes the key on, so that the upstream can deduplicate by it as well. */
function withKey(call: RecordedCall, key: IdempotencyKey) {
  const headers = {...call.request.headers, 'idempotency-key': key};
  return {...call.request, headers};
}

/** The error of a call whose `begin` failed. */
function beginError(
  call: RecordedCall,
  attempt: RecordedAttempt,
  error: GatewayError,
  sawRunning: boolean,
): GatewayError {
  const home = attempt.fresh ? undefined : call.remoteHomeRegionId;
  if (!sawRunning && home === undefined) return unknownIfUsed(attempt, error);
  return new GatewayError({
    code: 'outcome_unknown',
    message: sawRunning
      ? 'another attempt was running and its outcome cannot be read'
      : `the home region ${home} does not answer; try the call there`,
    step: STEP,
    peer: home ?? error.peer,
    work: 'unknown',
    cause: error,
  });
}

function noUpstreamError(): GatewayError {
  return new GatewayError({
    code: 'not_ready',
    message: 'no upstream is available for the call',
    step: STEP,
    peer: 'self',
    retryAfterMs: 1_000,
  });
}

/** The value of a promise, or `undefined` after the timeout. */
async function withTimeout<Value>(
  promise: Promise<Value>,
  timeoutMs: number,
): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), Math.max(0, timeoutMs));
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
