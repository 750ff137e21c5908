/** Stores and indexes the records of all workspaces of a group. */
import type {WorkspaceId} from '../types/ids.js';
import {MAX_BODY_CHARACTERS_PER_WORKSPACE} from './constants.js';
import type {CallRecord} from './record.js';
import {
  RecordIndex,
  type IndexedRecord,
  type RecordId,
} from './record_index.js';
import {ValueInterner} from './value_interner.js';
import {
  decodeRecords,
  encodeRecords,
  RepeatedValueLists,
  type RecordColumns,
  type RepeatedValues,
} from './snapshot.js';
import {
  createWorkspaceRecords,
  type WorkspaceRecords,
} from './workspace_records.js';

/** The store as JSON. */
export interface StoreSnapshot {
  readonly repeated: RepeatedValues;
  readonly workspaces: readonly (Omit<WorkspaceRecords, 'records'> & {
    readonly workspaceId: WorkspaceId;
    readonly records: RecordColumns;
  })[];
}

function toIndexedRecord(record: CallRecord): IndexedRecord {
  return {
    isDispatched: record.phase === 'dispatched',
    bodyCharacters: record.answer?.body?.length ?? 0,
  };
}

/** Records by workspace and key. */
export class RecordStore {
  private workspaces = new Map<WorkspaceId, WorkspaceRecords>();
  private index = new RecordIndex();
  private interner = new ValueInterner();

  /** Returns the state of a workspace if it exists. */
  find(workspaceId: WorkspaceId): WorkspaceRecords | undefined {
    return this.workspaces.get(workspaceId);
  }

  /** Returns the state of a workspace; creates an open, empty one if needed. */
  getOrCreate(workspaceId: WorkspaceId): WorkspaceRecords {
    const existing = this.workspaces.get(workspaceId);
    if (existing !== undefined) return existing;
    const created = createWorkspaceRecords();
    this.workspaces.set(workspaceId, created);
    return created;
  }

  get([workspaceId, key]: RecordId): CallRecord | undefined {
    return this.workspaces.get(workspaceId)?.records.get(key);
  }

  /** Adds or replaces a record, and evicts bodies above the limit. */
  put(id: RecordId, record: CallRecord): void {
    this.write(id, this.interner.intern(record));
    this.evictBodies(id[0]);
  }

  /** Removes a record and its index entries. */
  remove(id: RecordId): void {
    const before = this.get(id);
    if (before === undefined) return;
    this.workspaces.get(id[0])?.records.delete(id[1]);
    this.index.remove(id, toIndexedRecord(before));
  }

  /** Workspaces whose import is not complete. */
  listImporting(): WorkspaceId[] {
    return [...this.workspaces]
      .filter(([, {status}]) => status === 'importing')
      .map(([workspaceId]) => workspaceId);
  }

  /** All records in the phase `dispatched`. */
  listDispatched(): RecordId[] {
    return this.index.listDispatched();
  }

  /** Records whose key minute ended at or before a time. */
  listUpTo(timeMs: number): RecordId[] {
    return this.index.listUpTo(timeMs);
  }

  toSnapshot(): StoreSnapshot {
    const repeated = new RepeatedValueLists();
    const workspaces = [...this.workspaces].map(([workspaceId, state]) => ({
      ...state,
      workspaceId,
      records: encodeRecords(state.records, repeated),
    }));
    return {repeated: repeated.toRepeatedValues(), workspaces};
  }

  restore({repeated, workspaces}: StoreSnapshot): void {
    this.interner = new ValueInterner(repeated.owners, repeated.headers);
    this.workspaces = new Map(
      workspaces.map(({workspaceId, records, ...state}) => [
        workspaceId,
        {...state, records: decodeRecords(records, repeated)},
      ]),
    );
    this.index = new RecordIndex();
    this.workspaces.forEach(({records}, workspaceId) =>
      records.forEach((record, key) =>
        this.index.put([workspaceId, key], undefined, toIndexedRecord(record)),
      ),
    );
  }

  private write(id: RecordId, record: CallRecord): void {
    const before = this.get(id);
    this.getOrCreate(id[0]).records.set(id[1], record);
    this.index.put(
      id,
      before === undefined ? undefined : toIndexedRecord(before),
      toIndexedRecord(record),
    );
  }

  /** Evicts the oldest bodies of a workspace while they exceed the limit. */
  private evictBodies(workspaceId: WorkspaceId): void {
    const keys = this.index.listBodiesToEvict(
      workspaceId,
      MAX_BODY_CHARACTERS_PER_WORKSPACE,
    );
    keys.forEach(key => {
      const record = this.get([workspaceId, key]);
      if (record?.answer?.body === undefined) return;
      const {body: _body, ...answer} = record.answer;
      this.write([workspaceId, key], {...record, answer});
    });
    if (keys.length > 0) this.evictBodies(workspaceId);
  }
}
