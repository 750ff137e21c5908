/**
 * Finds the records that `expire` has to check, and the oldest stored bodies,
 * without iterating over all records. It is derived only from the records, so
 * that all members find the same ones; it is not part of the snapshot.
 */
import type {IdempotencyKey, WorkspaceId} from '../types/ids.js';
import {keyTimeMs} from './idempotency_key.js';

/** Records whose keys are from the same minute are removed together. */
const MINUTE_MS = 60_000;

/** Identifies a record across workspaces. */
export type RecordId = readonly [WorkspaceId, IdempotencyKey];

/** The records of one workspace with keys of the same minute. */
interface MinuteGroup {
  readonly keys: Set<IdempotencyKey>;
  /** Total length of their stored bodies in base64. */
  bodyCharacters: number;
}

function minuteOf(key: IdempotencyKey): number {
  return Math.floor(keyTimeMs(key) / MINUTE_MS);
}

/** The properties of a record that are indexed. */
export interface IndexedRecord {
  readonly isDispatched: boolean;
  readonly bodyCharacters: number;
}

/** Indexes records by the minute of their key, and dispatched records. */
export class RecordIndex {
  private readonly minutes = new Map<number, Map<WorkspaceId, MinuteGroup>>();
  private readonly dispatched = new Map<
    WorkspaceId,
    Map<IdempotencyKey, RecordId>
  >();
  private readonly bodyCharacters = new Map<WorkspaceId, number>();

  /** Adds a record (`before` is missing) or updates a replaced one. */
  put(
    id: RecordId,
    before: IndexedRecord | undefined,
    after: IndexedRecord,
  ): void {
    const group = this.getOrCreateGroup(id);
    if (before === undefined) group.keys.add(id[1]);
    this.addCharacters(
      id[0],
      group,
      after.bodyCharacters - (before?.bodyCharacters ?? 0),
    );
    this.setDispatched(id, after.isDispatched);
  }

  /** Removes a record. */
  remove(id: RecordId, before: IndexedRecord): void {
    const [workspaceId, key] = id;
    const group = this.getOrCreateGroup(id);
    this.addCharacters(workspaceId, group, -before.bodyCharacters);
    this.setDispatched(id, false);
    group.keys.delete(key);
    if (group.keys.size > 0) return;
    const groups = this.minutes.get(minuteOf(key));
    groups?.delete(workspaceId);
    if (groups?.size === 0) this.minutes.delete(minuteOf(key));
  }

  /** All records in the phase `dispatched`. */
  listDispatched(): RecordId[] {
    return [...this.dispatched.values()].flatMap(ids => [...ids.values()]);
  }

  /** Records whose key minute ended at or before a time. */
  listUpTo(timeMs: number): RecordId[] {
    return [...this.minutes]
      .filter(([minute]) => (minute + 1) * MINUTE_MS <= timeMs)
      .flatMap(([, groups]) => [...groups])
      .flatMap(([workspaceId, {keys}]) =>
        [...keys].map(key => [workspaceId, key] as const),
      );
  }

  /** The keys of the oldest minute with bodies if the bodies exceed a limit. */
  listBodiesToEvict(
    workspaceId: WorkspaceId,
    maxCharacters: number,
  ): readonly IdempotencyKey[] {
    if ((this.bodyCharacters.get(workspaceId) ?? 0) <= maxCharacters) return [];
    const withBodies = [...this.minutes].filter(
      ([, groups]) => (groups.get(workspaceId)?.bodyCharacters ?? 0) > 0,
    );
    const oldest = Math.min(...withBodies.map(([minute]) => minute));
    return [...(this.minutes.get(oldest)?.get(workspaceId)?.keys ?? [])];
  }

  private getOrCreateGroup([workspaceId, key]: RecordId): MinuteGroup {
    const minute = minuteOf(key);
    const groups =
      this.minutes.get(minute) ?? new Map<WorkspaceId, MinuteGroup>();
    this.minutes.set(minute, groups);
    const group = groups.get(workspaceId) ?? {
      keys: new Set(),
      bodyCharacters: 0,
    };
    groups.set(workspaceId, group);
    return group;
  }

  private addCharacters(
    workspaceId: WorkspaceId,
    group: MinuteGroup,
    characters: number,
  ): void {
    if (characters === 0) return;
    group.bodyCharacters += characters;
    const currentCharacters = this.bodyCharacters.get(workspaceId) ?? 0;
    this.bodyCharacters.set(workspaceId, currentCharacters + characters);
  }

  private setDispatched(id: RecordId, isDispatched: boolean): void {
    const [workspaceId, key] = id;
    const ids = this.dispatched.get(workspaceId) ?? new Map();
    if (isDispatched) ids.set(key, id);
    else ids.delete(key);
    if (ids.size > 0) this.dispatched.set(workspaceId, ids);
    else this.dispatched.delete(workspaceId);
  }
}
