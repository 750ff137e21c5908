/**
 * The client of at-most-once records in an entry. It tries the members of the
 * home domain's record group until one answers, within the deadline of the
 * call.
 */
import {err, ok, type Result} from 'neverthrow';
import {monotonicNowMs} from '../clock/clock.js';
import type {RpcClient} from '../rpc/rpc.js';
import {GatewayError, type ErrorCode} from '../types/errors.js';
import type {
  AttemptId,
  Digest,
  IdempotencyKey,
  MemberId,
  WorkspaceId,
} from '../types/ids.js';
import type {BeginResult, FinishResult, Outcome} from './record.js';
import type {WaitResult} from './records_service.js';

const STEP = 'records.client';
/**
 * Maximum number of attempts that are closed concurrently after a failed
 * `begin`. Further ones are not closed, so that retries do not accumulate while
 * a group is unreachable; their records, if any, become `unknown` after the
 * deadline.
 */
const MAX_CLOSING_ATTEMPTS = 1_000;
/** Time limit for closing such an attempt. */
const CLOSING_TIMEOUT_MS = 30_000;
/** Maximum duration of a `records.wait`; a dead member is detected after it. */
const WAIT_SLICE_MS = 5_000;
/** Errors after which the command is certainly not in the log. */
const NOT_APPENDED_ERRORS: ReadonlySet<ErrorCode> = new Set([
  'not_leader',
  'no_quorum',
  'bad_request',
  'unauthorized',
  'forbidden',
]);
/** Errors that are not retried. */
const PERMANENT_ERRORS: ReadonlySet<ErrorCode> = new Set([
  'bad_request',
  'unauthorized',
  'forbidden',
]);

/** One attempt at a non-idempotent call. */
export interface RecordedAttempt {
  readonly workspaceId: WorkspaceId;
  readonly key: IdempotencyKey;
  readonly digest: Digest;
  readonly attemptId: AttemptId;
  /** The entry process that runs the attempt. */
  readonly owner: MemberId;
  /** Whether the entry generated the key. */
  readonly fresh: boolean;
}

/** Options and dependencies of a {@link RecordsClient}. */
export interface RecordsClientOptions {
  readonly rpc: RpcClient;
  /**
   * Inner addresses of the record members of a workspace's home domain, the
   * preferred one first. It is called before each round of attempts, so that
   * changes to the configuration and to the live instances take effect.
   */
  readonly members: (workspaceId: WorkspaceId) => readonly string[];
  /** Timeout for a call to one member. @default 1500 */
  readonly callTimeoutMs?: number;
  /** Timeout for `begin`; it covers a leader election. @default 5000 */
  readonly beginTimeoutMs?: number;
  /** Backoff after the first failed round; it doubles. @default 50 */
  readonly initialBackoffMs?: number;
  /** Maximum backoff between two rounds. @default 1000 */
  readonly maxBackoffMs?: number;
  /** Time limit for the retries of a `finish`. @default 600000 */
  readonly finishTimeoutMs?: number;
}

type ResolvedRecordsClientOptions = Required<RecordsClientOptions>;

function resolveRecordsClientOptions(
  options: RecordsClientOptions,
): ResolvedRecordsClientOptions {
  return {
    ...options,
    callTimeoutMs: options.callTimeoutMs ?? 1_500,
    beginTimeoutMs: options.beginTimeoutMs ?? 5_000,
    initialBackoffMs: options.initialBackoffMs ?? 50,
    maxBackoffMs: options.maxBackoffMs ?? 1_000,
    finishTimeoutMs: options.finishTimeoutMs ?? 600_000,
  };
}

interface RetriedCall {
  readonly workspaceId: WorkspaceId;
  readonly method: string;
  readonly params: object;
  /** On the monotonic clock. */
  readonly deadlineAtMs: number;
  /** Timeout for a call to one member. */
  readonly callTimeoutMs: number;
}

interface RetryFailure {
  readonly error: GatewayError;
  /** Whether a member may have appended the command to the log. */
  readonly maybeAppended: boolean;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Calls `records.begin`, `records.wait` and `records.finish` with retries. */
export class RecordsClient {
  private readonly options: ResolvedRecordsClientOptions;
  private readonly pendingFinishes = new Set<Promise<unknown>>();
  private closingCount = 0;
  /** The member that answered last; it is tried first. */
  private readonly lastResponders = new Map<WorkspaceId, string>();

  constructor(options: RecordsClientOptions) {
    this.options = resolveRecordsClientOptions(options);
  }

  /**
   * Requests permission to dispatch. `deadlineAtMs` is on the monotonic clock.
   * After an error the attempt must not be dispatched; if it may have been
   * granted, it is closed in the background.
   */
  async begin(
    attempt: RecordedAttempt,
    deadlineAtMs: number,
  ): Promise<Result<BeginResult, GatewayError>> {
    const answer = await this.retry<BeginResult>({
      workspaceId: attempt.workspaceId,
      method: 'records.begin',
      params: attempt,
      deadlineAtMs: Math.min(
        deadlineAtMs,
        monotonicNowMs() + this.options.beginTimeoutMs,
      ),
      callTimeoutMs: this.options.callTimeoutMs,
    });
    if (answer.isOk()) return ok(answer.value);
    if (answer.error.maybeAppended) this.closeAttempt(attempt);
    return err(answer.error.error);
  }

  /** Waits until the record is not `dispatched`, or until a timeout. */
  async wait(
    workspaceId: WorkspaceId,
    key: IdempotencyKey,
    deadlineAtMs: number,
  ): Promise<Result<WaitResult, GatewayError>> {
    const timeoutMs = Math.min(deadlineAtMs - monotonicNowMs(), WAIT_SLICE_MS);
    const answer = await this.retry<WaitResult>({
      workspaceId,
      method: 'records.wait',
      params: {workspaceId, key, timeoutMs},
      deadlineAtMs,
      callTimeoutMs: timeoutMs + this.options.callTimeoutMs,
    });
    return answer.mapErr(failure => failure.error);
  }

  /**
   * Records how an attempt ended. Retries in the background until a member
   * acknowledges it. Resolves with the acknowledgement, or with `undefined`
   * after the timeout; the record then becomes `unknown` when it expires.
   */
  finish(
    attempt: RecordedAttempt,
    outcome: Outcome,
  ): Promise<FinishResult | undefined> {
    return this.finishWithin(attempt, outcome, this.options.finishTimeoutMs);
  }

  /** The number of outcomes that are not acknowledged yet. */
  pendingFinishCount(): number {
    return this.pendingFinishes.size;
  }

  /** Resolves when no outcome is pending, or after the timeout. */
  async drain(timeoutMs: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
      timer = setTimeout(resolve, timeoutMs);
    });
    await Promise.race([Promise.all([...this.pendingFinishes]), timeout]);
    clearTimeout(timer);
  }

  private finishWithin(
    attempt: RecordedAttempt,
    outcome: Outcome,
    timeoutMs: number,
  ): Promise<FinishResult | undefined> {
    const {fresh: _fresh, ...call} = attempt;
    const pendingFinish = this.finishAtHome(
      {...call, outcome},
      monotonicNowMs() + timeoutMs,
    );
    this.pendingFinishes.add(pendingFinish);
    void pendingFinish.finally(() =>
      this.pendingFinishes.delete(pendingFinish),
    );
    return pendingFinish;
  }

  private closeAttempt(attempt: RecordedAttempt): void {
    if (this.closingCount >= MAX_CLOSING_ATTEMPTS) return;
    this.closingCount += 1;
    const timeoutMs = Math.min(
      CLOSING_TIMEOUT_MS,
      this.options.finishTimeoutMs,
    );
    void this.finishWithin(attempt, {kind: 'not_run'}, timeoutMs).finally(
      () => (this.closingCount -= 1),
    );
  }

  /** Members of the home domain; the one that answered last comes first. */
  private orderedMembers(workspaceId: WorkspaceId): readonly string[] {
    const members = this.options.members(workspaceId);
    const last = this.lastResponders.get(workspaceId);
    if (last === undefined || !members.includes(last)) return members;
    return [last, ...members.filter(member => member !== last)];
  }

  private async finishAtHome(
    params: Omit<RecordedAttempt, 'fresh'> & {readonly outcome: Outcome},
    deadlineAtMs: number,
  ): Promise<FinishResult | undefined> {
    const answer = await this.retry<FinishResult>({
      workspaceId: params.workspaceId,
      method: 'records.finish',
      params,
      deadlineAtMs,
      callTimeoutMs: this.options.callTimeoutMs,
    });
    if (answer.isErr()) return undefined;
    if (answer.value.kind !== 'not_home') return answer.value;
    // The records are moving to another home.
    await sleep(this.options.maxBackoffMs);
    return this.finishAtHome(params, deadlineAtMs);
  }

  private async retry<Answer>(
    call: RetriedCall,
  ): Promise<Result<Answer, RetryFailure>> {
    let failure: RetryFailure = {
      error: new GatewayError({
        code: 'no_quorum',
        message: 'no member of the record group answered in time',
        step: STEP,
        peer: 'self',
      }),
      maybeAppended: false,
    };
    let backoffMs = this.options.initialBackoffMs;
    while (monotonicNowMs() < call.deadlineAtMs) {
      const round = await this.tryMembers<Answer>(call);
      if (round.isOk()) return ok(round.value);
      failure = {
        error: round.error.error,
        maybeAppended: failure.maybeAppended || round.error.maybeAppended,
      };
      if (PERMANENT_ERRORS.has(failure.error.code)) break;
      const remainingMs = call.deadlineAtMs - monotonicNowMs();
      if (remainingMs <= 0) break;
      await sleep(Math.min(backoffMs, remainingMs));
      backoffMs = Math.min(backoffMs * 2, this.options.maxBackoffMs);
    }
    return err(failure);
  }

  /** Calls the members sequentially until one answers. */
  private async tryMembers<Answer>(
    call: RetriedCall,
  ): Promise<Result<Answer, RetryFailure>> {
    const members = this.orderedMembers(call.workspaceId);
    let error = new GatewayError({
      code: 'no_quorum',
      message: 'no member of the record group is known',
      step: STEP,
      peer: 'self',
    });
    let maybeAppended = false;
    for (const address of members) {
      const remainingMs = call.deadlineAtMs - monotonicNowMs();
      if (remainingMs <= 0) break;
      const timeoutMs = Math.min(remainingMs, call.callTimeoutMs);
      const answer = await this.options.rpc.call<Answer>(
        address,
        call.method,
        {timeoutMs: remainingMs, ...call.params},
        timeoutMs,
      );
      if (answer.isOk()) {
        this.lastResponders.set(call.workspaceId, address);
        return ok(answer.value);
      }
      error = answer.error;
      maybeAppended ||= !NOT_APPENDED_ERRORS.has(error.code);
      if (PERMANENT_ERRORS.has(error.code)) break;
    }
    return err({error, maybeAppended});
  }
}
