/**
 * The replicated state of a domain's at-most-once records. All members apply
 * the same commands; the time comes only from the leader's commands, and the
 * retention clock is monotonic across leaders.
 */
import {StateMachine, type JsonValue} from '../replication/replicated_log.js';
import type {DomainId, IdempotencyKey, WorkspaceId} from '../types/ids.js';
import {DEFAULT_MAX_RECORDS_PER_WORKSPACE} from './constants.js';
import {
  classifyKeyTime,
  keyTimeMs,
  retentionCutoffMs,
} from './idempotency_key.js';
import type {
  AwaitImportCommand,
  BeginCommand,
  BeginResult,
  CallRecord,
  ChangeResult,
  CloseWorkspaceCommand,
  ExpireCommand,
  ExportPage,
  FinishCommand,
  FinishResult,
  ObserveHomesCommand,
  RecordCommand,
  RecordResult,
  StartGenerationCommand,
} from './record.js';
import type {RecordId} from './record_index.js';
import {HomeHistory, type HomeHistorySnapshot} from './home_history.js';
import {RecordStore, type StoreSnapshot} from './record_store.js';
import {
  beginRecord,
  expireRecord,
  finishMissingRecord,
  finishRecord,
  grantRecord,
  isOverdue,
} from './transitions.js';
import {
  awaitImport,
  closeWorkspace,
  createWorkspaceRecords,
  exportPage,
  importPage,
  mergeLimits,
  openWithoutImport,
  viewWorkspace,
  type KeyLimits,
  type WorkspaceRecords,
  type WorkspaceView,
} from './workspace_records.js';

interface GroupState extends KeyLimits {
  started: boolean;
  clockMs: number;
}

interface RecordsSnapshot {
  readonly group: GroupState;
  readonly homes: HomeHistorySnapshot;
  readonly store: StoreSnapshot;
}

/** Called, on every member, when a record may have left `dispatched`. */
export type SettledListener = (
  workspaceId: WorkspaceId,
  key: IdempotencyKey,
) => void;

function toChange(changed: boolean): ChangeResult {
  return {kind: changed ? 'changed' : 'unchanged'};
}

/** The records of one domain. */
export class RecordStateMachine extends StateMachine<
  RecordCommand,
  RecordResult
> {
  private group: GroupState = {
    started: false,
    clockMs: 0,
    expiredBeforeMs: 0,
    unknownBeforeMs: 0,
  };
  private readonly homes = new HomeHistory();
  private readonly store = new RecordStore();
  private readonly settledListeners = new Set<SettledListener>();

  override apply(command: RecordCommand): RecordResult {
    switch (command.kind) {
      case 'begin':
        return this.begin(command);
      case 'finish':
        return this.finish(command);
      case 'expire':
        return this.expire(command);
      case 'start_generation':
        return this.startGeneration(command);
      case 'close_workspace':
        return this.close(command);
      case 'observe_homes':
        return this.observeHomes(command);
      case 'await_import': {
        const changed = this.awaitImport(command);
        const state = this.store.find(command.workspaceId);
        // An operator may name another source if one is permanently lost.
        if (changed && state?.status === 'importing') {
          state.otherDomainId = command.fromDomainId;
        }
        return toChange(changed);
      }
      case 'import': {
        const state = this.store.find(command.workspaceId);
        if (state === undefined || !importPage(state, command)) {
          return toChange(false);
        }
        command.page.records.forEach(([key, record]) =>
          this.store.put([command.workspaceId, key], record),
        );
        return toChange(true);
      }
      case 'open_workspace': {
        const state = this.store.find(command.workspaceId);
        const {version, unknownBeforeMs} = command;
        return toChange(
          state !== undefined &&
            openWithoutImport(state, version, unknownBeforeMs),
        );
      }
    }
  }

  override snapshot(): JsonValue {
    const snapshot: RecordsSnapshot = {
      group: {...this.group},
      homes: this.homes.toSnapshot(),
      store: this.store.toSnapshot(),
    };
    return snapshot as unknown as JsonValue;
  }

  override restore(snapshot: JsonValue): void {
    const {group, homes, store} = snapshot as unknown as RecordsSnapshot;
    this.group = {...group};
    this.homes.restore(homes);
    this.store.restore(store);
  }

  /** Adds a listener; the returned function removes it. */
  onSettled(listener: SettledListener): () => void {
    this.settledListeners.add(listener);
    return () => this.settledListeners.delete(listener);
  }

  /** Whether a generation was started; before that, nothing is granted. */
  hasStarted(): boolean {
    return this.group.started;
  }

  /** The record of a key in this member's applied state. */
  findRecord(
    workspaceId: WorkspaceId,
    key: IdempotencyKey,
  ): CallRecord | undefined {
    return this.store.get([workspaceId, key]);
  }

  /** The status of a workspace; `undefined` if the group has none for it. */
  viewWorkspace(workspaceId: WorkspaceId): WorkspaceView | undefined {
    const state = this.store.find(workspaceId);
    return state === undefined ? undefined : viewWorkspace(state);
  }

  /** The given homes that differ from those recorded by the group. */
  listHomeChanges(
    homes: ReadonlyMap<WorkspaceId, DomainId>,
  ): [WorkspaceId, DomainId][] {
    return this.homes.listChanges(homes);
  }

  /** The first home of a workspace that the group observed. */
  findFirstHome(workspaceId: WorkspaceId): DomainId | undefined {
    return this.homes.findFirst(workspaceId);
  }

  /** Workspaces whose import is not complete. */
  listImporting(): WorkspaceId[] {
    return this.store.listImporting();
  }

  /** Whether `expire` at this time would change more than the clock. */
  hasExpirable(command: Omit<ExpireCommand, 'kind'>): boolean {
    const cutoffMs = this.nextCutoffMs(command.nowMs, command.retentionMs);
    return (
      this.listExpired(cutoffMs).length > 0 ||
      this.listOverdue(command.nowMs, command.graceMs).length > 0
    );
  }

  /** A page of a closed workspace; `undefined` if it cannot be exported. */
  exportPage(
    workspaceId: WorkspaceId,
    afterKey: IdempotencyKey | undefined,
  ): ExportPage | undefined {
    const state = this.store.find(workspaceId);
    return state === undefined
      ? undefined
      : exportPage(state, this.group, afterKey);
  }

  private nextCutoffMs(nowMs: number, retentionMs: number): number {
    const clockMs = Math.max(this.group.clockMs, nowMs);
    return Math.max(
      this.group.expiredBeforeMs,
      retentionCutoffMs(clockMs, retentionMs),
    );
  }

  private advanceClock(nowMs: number, retentionMs: number): void {
    this.group.expiredBeforeMs = this.nextCutoffMs(nowMs, retentionMs);
    this.group.clockMs = Math.max(this.group.clockMs, nowMs);
  }

  private begin(command: BeginCommand): BeginResult {
    this.advanceClock(command.nowMs, command.retentionMs);
    if (!this.group.started) return {kind: 'not_ready'};
    const state = this.store.getOrCreate(command.workspaceId);
    if (state.status === 'closed' && state.otherDomainId !== undefined) {
      return {kind: 'not_home', homeDomainId: state.otherDomainId};
    }
    if (state.status !== 'open') return {kind: 'not_home'};
    const record = state.records.get(command.key);
    const refusal = this.checkKey(state, command, record);
    if (refusal !== undefined) return refusal;
    const {clockMs} = this.group;
    const request = {
      ...command,
      nowMs: clockMs,
      deadlineMs: clockMs + command.timeoutMs,
    };
    const transition =
      record === undefined
        ? grantRecord(record, request)
        : beginRecord(record, request);
    if (transition.record !== undefined && transition.record !== record) {
      this.store.put([command.workspaceId, command.key], transition.record);
    }
    return transition.result;
  }

  /** The answer to a key that may not be granted. */
  private checkKey(
    state: WorkspaceRecords,
    command: BeginCommand,
    record: CallRecord | undefined,
  ): BeginResult | undefined {
    if (record !== undefined && record.phase !== 'not_run') return undefined;
    const timeMs = keyTimeMs(command.key);
    const limits = mergeLimits(state, this.group);
    const {clockMs} = this.group;
    const time = classifyKeyTime(timeMs, clockMs, limits.expiredBeforeMs);
    if (time !== 'valid') return {kind: time};
    if (record !== undefined) return undefined;
    if (!command.fresh && timeMs < limits.unknownBeforeMs) {
      return {kind: 'unknown'};
    }
    return state.records.size >= command.maxRecords
      ? {kind: 'full'}
      : undefined;
  }

  private finish(command: FinishCommand): FinishResult {
    if (!this.group.started) return {kind: 'missing'};
    // No state is created without a record: a later import would take an empty
    // open workspace for one that has all records, and be skipped.
    const state =
      this.store.find(command.workspaceId) ?? createWorkspaceRecords();
    if (state.status !== 'open') return {kind: 'not_home'};
    const record = state.records.get(command.key);
    if (record === undefined && !this.mayCloseMissing(state, command.key)) {
      return {kind: 'missing'};
    }
    const request = {...command, nowMs: this.group.clockMs};
    const transition =
      record === undefined
        ? finishMissingRecord(request)
        : finishRecord(record, request);
    if (transition.record !== undefined && transition.record !== record) {
      this.store.put([command.workspaceId, command.key], transition.record);
      this.notifySettled(command.workspaceId, command.key);
    }
    return transition.result;
  }

  /**
   * Whether an attempt may be closed whose key has no record. No record may be
   * added for a key that may have run before, because `not_run` can be granted.
   */
  private mayCloseMissing(
    state: WorkspaceRecords,
    key: IdempotencyKey,
  ): boolean {
    const timeMs = keyTimeMs(key);
    const limits = mergeLimits(state, this.group);
    const {clockMs} = this.group;
    return (
      state.records.size < DEFAULT_MAX_RECORDS_PER_WORKSPACE &&
      timeMs >= limits.unknownBeforeMs &&
      classifyKeyTime(timeMs, clockMs, limits.expiredBeforeMs) === 'valid'
    );
  }

  private expire(command: ExpireCommand): ChangeResult {
    this.advanceClock(command.nowMs, command.retentionMs);
    const {clockMs, expiredBeforeMs} = this.group;
    const overdue = this.listOverdue(clockMs, command.graceMs);
    overdue.forEach(([id, record]) => {
      this.store.put(id, expireRecord(record));
      this.notifySettled(...id);
    });
    const expired = this.listExpired(expiredBeforeMs);
    expired.forEach(id => this.store.remove(id));
    return toChange(overdue.length + expired.length > 0);
  }

  /** Overdue records of open workspaces. */
  private listOverdue(
    nowMs: number,
    graceMs: number,
  ): (readonly [RecordId, CallRecord])[] {
    return this.store.listDispatched().flatMap(id => {
      const state = this.store.find(id[0]);
      const record = state?.records.get(id[1]);
      const overdue =
        state?.status === 'open' &&
        record !== undefined &&
        isOverdue(record, nowMs, graceMs);
      return overdue ? [[id, record] as const] : [];
    });
  }

  /** Records past the retention; in open workspaces, none in `dispatched`. */
  private listExpired(expiredBeforeMs: number): RecordId[] {
    return this.store.listUpTo(expiredBeforeMs).filter(([workspaceId, key]) => {
      const state = this.store.find(workspaceId);
      const phase = state?.records.get(key)?.phase;
      return state?.status !== 'open' || phase !== 'dispatched';
    });
  }

  private startGeneration(command: StartGenerationCommand): ChangeResult {
    if (this.group.started) return toChange(false);
    this.group.started = true;
    this.group.clockMs = Math.max(this.group.clockMs, command.nowMs);
    this.group.unknownBeforeMs = command.unknownBeforeMs;
    return toChange(true);
  }

  private observeHomes(command: ObserveHomesCommand): ChangeResult {
    const {ownDomainId, version} = command;
    const arrived = this.homes.observe(command);
    arrived.forEach(workspaceId => {
      const fromDomainId = this.homes.findFirst(workspaceId) ?? ownDomainId;
      // The first home has all records, even if there are none yet.
      if (fromDomainId === ownDomainId) this.store.getOrCreate(workspaceId);
      this.awaitImport({workspaceId, fromDomainId, version});
    });
    return toChange(arrived.length > 0);
  }

  private awaitImport(command: Omit<AwaitImportCommand, 'kind'>): boolean {
    const {workspaceId, fromDomainId, version} = command;
    const existed = this.store.find(workspaceId) !== undefined;
    const state = this.store.getOrCreate(workspaceId);
    return awaitImport(state, existed, fromDomainId, version);
  }

  private close(command: CloseWorkspaceCommand): ChangeResult {
    const {workspaceId, toDomainId, version} = command;
    const first = this.findFirstHome(workspaceId);
    // A domain that never had the records must not export an empty set in their
    // place, unless the requesting domain is the first observed home.
    if (this.store.find(workspaceId) === undefined && first !== toDomainId) {
      return toChange(false);
    }
    const state = this.store.getOrCreate(workspaceId);
    const changed = closeWorkspace(state, toDomainId, version);
    // Callers waiting here must retry at the new home.
    [...state.records]
      .filter(([, record]) => changed && record.phase === 'dispatched')
      .forEach(([key]) => this.notifySettled(workspaceId, key));
    return toChange(changed);
  }

  private notifySettled(workspaceId: WorkspaceId, key: IdempotencyKey): void {
    this.settledListeners.forEach(listener => listener(workspaceId, key));
  }
}
