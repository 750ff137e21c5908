/**
 * The records of one workspace in a domain, and the rules for opening, closing
 * and moving them. The functions modify the state passed to them; only the
 * state machine calls them.
 */
import type {DomainId, IdempotencyKey, WorkspaceId} from '../types/ids.js';
import {EXPORT_PAGE_BODY_BYTES, EXPORT_PAGE_RECORDS} from './constants.js';
import type {CallRecord, ExportPage, ImportCommand} from './record.js';

/** Calls may begin only while the status is `open`. */
export type WorkspaceStatus = 'open' | 'importing' | 'closed';

/** Timestamp limits of keys that may be granted. */
export interface KeyLimits {
  /** Keys up to and including this time are expired. It never decreases. */
  expiredBeforeMs: number;
  /** Keys before this time may have run even if they have no record. */
  unknownBeforeMs: number;
}

/** The records of one workspace. */
export interface WorkspaceRecords extends KeyLimits {
  status: WorkspaceStatus;
  /** The configuration version that determined the status; 0 if none did. */
  version: number;
  /** The source of the import, or the new home after the close. */
  otherDomainId?: DomainId;
  /** Whether all records of earlier homes were imported. */
  complete: boolean;
  records: Map<IdempotencyKey, CallRecord>;
}

/** The state of a workspace as applied by a member. */
export interface WorkspaceView {
  readonly status: WorkspaceStatus;
  readonly version: number;
  readonly otherDomainId?: DomainId | undefined;
  readonly complete: boolean;
  readonly recordCount: number;
}

/** Creates an open workspace without records. */
export function createWorkspaceRecords(): WorkspaceRecords {
  return {
    status: 'open',
    version: 0,
    complete: true,
    expiredBeforeMs: 0,
    unknownBeforeMs: 0,
    records: new Map(),
  };
}

/** The stricter of two limits for each field. */
export function mergeLimits(first: KeyLimits, second: KeyLimits): KeyLimits {
  return {
    expiredBeforeMs: Math.max(first.expiredBeforeMs, second.expiredBeforeMs),
    unknownBeforeMs: Math.max(first.unknownBeforeMs, second.unknownBeforeMs),
  };
}

/**
 * Freezes the records for a new home. Returns false if the version is not
 * newer, if the records already belong to another domain, or while the import
 * from an earlier home is incomplete. If that earlier home itself makes the
 * request, the import is aborted: nothing was granted here, so it has the
 * latest records.
 */
export function closeWorkspace(
  state: WorkspaceRecords,
  toDomainId: DomainId,
  version: number,
): boolean {
  if (version <= state.version) return false;
  if (state.status !== 'open' && state.otherDomainId !== toDomainId) {
    return false;
  }
  if (state.status === 'importing') state.complete = false;
  state.status = 'closed';
  state.version = version;
  state.otherDomainId = toDomainId;
  return true;
}

/**
 * Rejects calls until the records are imported. `existed` is whether the group
 * had a state of the workspace before. An open workspace never gave up its
 * records and stays open. A closed one imports from the domain that took over
 * the records; it retains its own, because that domain may still be reading
 * them.
 */
export function awaitImport(
  state: WorkspaceRecords,
  existed: boolean,
  fromDomainId: DomainId,
  version: number,
): boolean {
  if (version <= state.version) return false;
  state.version = version;
  if (existed && state.status === 'open') return true;
  state.complete = existed && state.complete;
  state.status = 'importing';
  if (!existed) state.otherDomainId = fromDomainId;
  return true;
}

/** Returns whether a page is accepted; the last page opens the workspace. */
export function importPage(
  state: WorkspaceRecords,
  command: ImportCommand,
): boolean {
  if (state.status !== 'importing' || state.version !== command.version) {
    return false;
  }
  const {page} = command;
  Object.assign(state, mergeLimits(state, page));
  if (page.continueAfter === undefined) {
    state.status = 'open';
    state.complete = true;
  }
  return true;
}

/**
 * Opens a workspace without importing from its earlier home, either because
 * that home has no newer records, or because it is lost and earlier keys are
 * `unknown`.
 */
export function openWithoutImport(
  state: WorkspaceRecords,
  version: number,
  unknownBeforeMs: number,
): boolean {
  if (state.status === 'open' || version < state.version) return false;
  state.status = 'open';
  state.complete = true;
  state.version = version;
  state.unknownBeforeMs = Math.max(state.unknownBeforeMs, unknownBeforeMs);
  return true;
}

/**
 * A page of frozen records after a key; `undefined` if the records may still
 * change. If that key has since been removed, paging restarts at the beginning.
 */
export function exportPage(
  state: WorkspaceRecords,
  groupLimits: KeyLimits,
  afterKey: IdempotencyKey | undefined,
): ExportPage | undefined {
  if (state.status === 'open' || !state.complete) return undefined;
  const records: [IdempotencyKey, CallRecord][] = [];
  let isSkipping = afterKey !== undefined && state.records.has(afterKey);
  let sizeBytes = 0;
  // Iterates in place: copying all records per page added seconds to a move.
  for (const [key, record] of state.records) {
    if (isSkipping) {
      isSkipping = key !== afterKey;
      continue;
    }
    sizeBytes += record.answer?.body?.length ?? 0;
    const isFull =
      records.length >= EXPORT_PAGE_RECORDS ||
      (records.length > 0 && sizeBytes > EXPORT_PAGE_BODY_BYTES);
    const last = records.at(-1);
    if (isFull && last !== undefined) {
      const limits = mergeLimits(state, groupLimits);
      return {...limits, records, continueAfter: last[0]};
    }
    records.push([key, record]);
  }
  return {...mergeLimits(state, groupLimits), records};
}

/** A read-only view of the state of a workspace. */
export function viewWorkspace(state: WorkspaceRecords): WorkspaceView {
  return {
    status: state.status,
    version: state.version,
    otherDomainId: state.otherDomainId,
    complete: state.complete,
    recordCount: state.records.size,
  };
}

/** A map key that identifies a record across workspaces. */
export function recordMapKey(
  workspaceId: WorkspaceId,
  key: IdempotencyKey,
): string {
  return `${workspaceId} ${key}`;
}
