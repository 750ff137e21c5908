/**
 * The RPC methods of the members of a domain's record group. Any member accepts
 * a call; a follower forwards it once to the leader. The leader sets the time
 * in commands and proposes `expire`.
 */
import {wallNowMs} from '../clock/clock.js';
import type {ReplicatedLog} from '../replication/replicated_log.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import type {DomainId, IdempotencyKey, WorkspaceId} from '../types/ids.js';
import {
  DEFAULT_EXPIRE_INTERVAL_MS,
  DEFAULT_GRACE_MS,
  DEFAULT_MAX_RECORDS_PER_WORKSPACE,
  DEFAULT_RETENTION_MS,
  MAX_KEY_AHEAD_MS,
  MAX_WAIT_SLICE_MS,
} from './constants.js';
import {HomeTransfer, type HomeTransferOptions} from './home_transfer.js';
import {LeaderCalls} from './leader_calls.js';
import {
  beginParamsSchema,
  finishParamsSchema,
  waitParamsSchema,
  type BeginParams,
  type BeginResult,
  type FinishParams,
  type FinishResult,
  type RecordCommand,
  type RecordResult,
  type WaitParams,
} from './record.js';
import type {RecordStateMachine} from './record_state_machine.js';
import {recordMapKey} from './workspace_records.js';

/** Options and dependencies of a {@link RecordsService}. */
export interface RecordsServiceOptions {
  readonly domainId: DomainId;
  readonly log: ReplicatedLog<RecordCommand, RecordResult>;
  /** The state machine to which `log` applies commands. */
  readonly machine: RecordStateMachine;
  readonly rpc: RpcClient;
  /**
   * Whether a member of the group stores its log on disk. Without one, a log
   * may be empty because all members restarted, so that earlier keys are
   * `unknown`.
   */
  readonly hasDiskMember: boolean;
  /** The home of a workspace in the current configuration. */
  readonly home: HomeTransferOptions['home'];
  /** Inner addresses of the record members of a domain. */
  readonly domainMembers: HomeTransferOptions['domainMembers'];
  /**
   * The homes of all workspaces, from which the group detects moves.
   * @default none; each move then needs `records.import`
   */
  readonly homes?: HomeTransferOptions['homes'];
  /**
   * How far the keys used before a restart without stored records may be ahead
   * of the leader's clock. With less than the accepted 5 minutes, a call whose
   * key is further ahead can run twice. @default 5 minutes
   */
  readonly generationMarginMs?: number;
  /** Retention of keys. @default 24 hours */
  readonly retentionMs?: () => number;
  /** @default 5000 */
  readonly graceMs?: number;
  /** @default 1000 */
  readonly expireIntervalMs?: number;
  /** @default 100000 */
  readonly maxRecordsPerWorkspace?: number;
}

type ResolvedRecordsServiceOptions = Required<RecordsServiceOptions>;

function resolveRecordsServiceOptions(
  options: RecordsServiceOptions,
): ResolvedRecordsServiceOptions {
  return {
    ...options,
    homes: options.homes ?? (() => undefined),
    generationMarginMs: options.generationMarginMs ?? MAX_KEY_AHEAD_MS,
    retentionMs: options.retentionMs ?? (() => DEFAULT_RETENTION_MS),
    graceMs: options.graceMs ?? DEFAULT_GRACE_MS,
    expireIntervalMs: options.expireIntervalMs ?? DEFAULT_EXPIRE_INTERVAL_MS,
    maxRecordsPerWorkspace:
      options.maxRecordsPerWorkspace ?? DEFAULT_MAX_RECORDS_PER_WORKSPACE,
  };
}

/** The answer to `records.wait`. */
export interface WaitResult {
  /** Whether the record is not `dispatched`; false after a timeout. */
  readonly settled: boolean;
}

/** Serves the `records.*` methods on a member of a record group. */
export class RecordsService {
  private readonly options: ResolvedRecordsServiceOptions;
  private readonly calls: LeaderCalls;
  private readonly transfer: HomeTransfer;
  private readonly waiters = new Map<string, Set<() => void>>();
  private readonly beginCounts = new Map<BeginResult['kind'], number>();
  private expireTimer: NodeJS.Timeout | undefined;
  private removeSettledListener: (() => void) | undefined;

  constructor(options: RecordsServiceOptions) {
    this.options = resolveRecordsServiceOptions(options);
    this.calls = new LeaderCalls(options.log, options.rpc);
    this.transfer = new HomeTransfer({...this.options, calls: this.calls});
  }

  /** Registers the RPC methods. */
  register(router: RpcRouter): void {
    router.register('records.begin', beginParamsSchema, params =>
      this.begin(params),
    );
    router.register('records.finish', finishParamsSchema, params =>
      this.finish(params),
    );
    router.register('records.wait', waitParamsSchema, params =>
      this.wait(params),
    );
    this.transfer.register(router);
  }

  /** Starts the timer for expiry, home changes and imports on the leader. */
  start(): void {
    this.removeSettledListener = this.options.machine.onSettled(
      (workspaceId, key) => this.notifyWaiters(workspaceId, key),
    );
    this.expireTimer = setInterval(
      // A failure is retried at the next interval or by the next leader.
      () => void this.maintain().catch(() => undefined),
      this.options.expireIntervalMs,
    );
    this.expireTimer.unref();
  }

  /** Stops the timer and answers all pending `records.wait` calls. */
  stop(): void {
    clearInterval(this.expireTimer);
    this.removeSettledListener?.();
    [...this.waiters.values()]
      .flatMap(callbacks => [...callbacks])
      .forEach(notify => notify());
  }

  /**
   * `records.begin`. A grant is always committed. Without a quorum, a member
   * answers from its own copy of the record. A stale copy is safe: an answer is
   * final, and a `dispatched` record was granted.
   */
  async begin(params: BeginParams): Promise<BeginResult> {
    try {
      return await this.calls.run('records.begin', params, () =>
        this.beginOnLeader(params),
      );
    } catch (thrown) {
      const local = this.findLocalResult(params);
      if (local === undefined) throw thrown;
      return local;
    }
  }

  /** `records.finish`. */
  finish(params: FinishParams): Promise<FinishResult> {
    return this.calls.run('records.finish', params, async () => {
      await this.startGeneration();
      const {workspaceId, key} = params;
      const notHome = await this.transfer.checkHome(workspaceId);
      const record = this.options.machine.findRecord(workspaceId, key);
      // Outcomes of attempts granted here are accepted until the close.
      if (notHome !== undefined && record === undefined) {
        return {kind: 'not_home'};
      }
      const {forwarded: _forwarded, timeoutMs: _timeoutMs, ...call} = params;
      return (await this.calls.propose({
        kind: 'finish',
        ...call,
      })) as FinishResult;
    });
  }

  /**
   * `records.wait`: resolves once the record is not `dispatched`, or after a
   * timeout. It is only a hint; `begin` returns the result.
   */
  wait(params: WaitParams): Promise<WaitResult> {
    return this.calls.run('records.wait', params, async () => {
      const {machine} = this.options;
      const record = machine.findRecord(params.workspaceId, params.key);
      if (record?.phase !== 'dispatched') return {settled: true};
      return this.waitForSettled(params);
    });
  }

  /** Number of `begin` results by kind, counted on this member as leader. */
  counts(): ReadonlyMap<BeginResult['kind'], number> {
    return this.beginCounts;
  }

  private async beginOnLeader(params: BeginParams): Promise<BeginResult> {
    await this.startGeneration();
    const notHome = await this.transfer.checkHome(params.workspaceId);
    if (notHome !== undefined) return notHome;
    const {forwarded: _forwarded, ...call} = params;
    const result = (await this.calls.propose({
      kind: 'begin',
      ...call,
      nowMs: wallNowMs(),
      retentionMs: this.options.retentionMs(),
      maxRecords: this.options.maxRecordsPerWorkspace,
    })) as BeginResult;
    const {kind} = result;
    this.beginCounts.set(kind, (this.beginCounts.get(kind) ?? 0) + 1);
    return result;
  }

  private findLocalResult(params: BeginParams): BeginResult | undefined {
    const {workspaceId, key, digest, attemptId} = params;
    const record = this.options.machine.findRecord(workspaceId, key);
    if (record === undefined) return undefined;
    if (record.digest !== digest) return {kind: 'conflict'};
    if (record.answer !== undefined) {
      return {kind: 'answered', answer: record.answer};
    }
    if (record.phase === 'unknown') return {kind: 'unknown'};
    return record.phase === 'dispatched' && record.attemptId !== attemptId
      ? {kind: 'running'}
      : undefined;
  }

  /** Starts the generation of a group whose log is empty. */
  private async startGeneration(): Promise<void> {
    if (this.options.machine.hasStarted()) return;
    const nowMs = wallNowMs();
    await this.calls.propose({
      kind: 'start_generation',
      nowMs,
      // A key may have been used while its timestamp was in the future.
      unknownBeforeMs: this.options.hasDiskMember
        ? 0
        : nowMs + this.options.generationMarginMs,
    });
  }

  private async maintain(): Promise<void> {
    const {machine, graceMs} = this.options;
    if (!this.calls.isLeader()) return;
    if (!machine.hasStarted()) await this.startGeneration();
    await this.transfer.observeHomes();
    await this.transfer.resumePulls();
    const times = {
      nowMs: wallNowMs(),
      retentionMs: this.options.retentionMs(),
      graceMs,
    };
    if (!machine.hasExpirable(times)) return;
    await this.calls.propose({kind: 'expire', ...times});
  }

  private waitForSettled(params: WaitParams): Promise<WaitResult> {
    const name = recordMapKey(params.workspaceId, params.key);
    const callbacks = this.waiters.get(name) ?? new Set();
    this.waiters.set(name, callbacks);
    return new Promise(resolve => {
      const end = (settled: boolean): void => {
        clearTimeout(timer);
        callbacks.delete(notify);
        if (callbacks.size === 0) this.waiters.delete(name);
        resolve({settled});
      };
      const notify = (): void => end(true);
      const timer = setTimeout(
        () => end(false),
        Math.min(params.timeoutMs, MAX_WAIT_SLICE_MS),
      );
      callbacks.add(notify);
    });
  }

  private notifyWaiters(workspaceId: WorkspaceId, key: IdempotencyKey): void {
    const callbacks = this.waiters.get(recordMapKey(workspaceId, key));
    if (callbacks === undefined) return;
    [...callbacks].forEach(notify => notify());
  }
}
