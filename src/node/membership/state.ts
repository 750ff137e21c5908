/**
 * The gossip state of one process, as an immutable value: the sequence number
 * and the items of each origin. The sequence number of an origin increases with
 * each of its changes and each of its rounds, so it also serves as heartbeat.
 */
import type {InstanceId, MemberId} from '../types/ids.js';
import type {JsonValue} from '../replication/replicated_log.js';
import {
  decodeMember,
  decodeQuarantine,
  itemKey,
  type Item,
  ItemKind,
  type MemberRecord,
  type QuarantineEntry,
} from './items.js';
import {TOMBSTONE_RETENTION_MS} from './constants.js';

/** The state of one instance in one incarnation. */
export interface Origin {
  readonly memberId: MemberId;
  readonly instanceId: InstanceId;
  readonly incarnation: number;
  /** All items up to this sequence number have been received. */
  readonly seq: number;
  /**
   * The highest sequence number seen in any delta or digest; shows progress.
   */
  readonly observedSeq: number;
  readonly items: ReadonlyMap<string, Item>;
  readonly member?: MemberRecord;
  /** Local monotonic time of the last progress. */
  readonly progressAtMs: number;
  /** Minimum observed difference between the local and the origin's clock. */
  readonly clockOffsetMs?: number;
  readonly clockOffsetAtMs?: number;
}

/** The last sequence number of a removed origin and how long to reject it. */
export interface Tombstone {
  readonly seq: number;
  readonly untilMs: number;
}

/** Origins, tombstones and quarantine entries as seen by one process. */
export interface GossipState {
  readonly self: MemberId;
  readonly origins: ReadonlyMap<MemberId, Origin>;
  /** Removed origins, rejected unless they have made progress since. */
  readonly tombstones: ReadonlyMap<MemberId, Tombstone>;
  /** Unexpired entries, kept even after their origins are removed. */
  readonly quarantine: ReadonlyMap<string, QuarantineEntry>;
}

/** The member id of an instance in one incarnation. */
export function toMemberId(
  instanceId: InstanceId,
  incarnation: number,
): MemberId {
  return `${instanceId}#${incarnation}` as MemberId;
}

/** The instance and the incarnation in a member id. */
export function parseMemberId(memberId: MemberId): {
  instanceId: InstanceId;
  incarnation: number;
} {
  const cut = memberId.lastIndexOf('#');
  return {
    instanceId: memberId.slice(0, cut) as InstanceId,
    incarnation: Number(memberId.slice(cut + 1)),
  };
}

/** An origin from which no item has been received yet. */
export function emptyOrigin(memberId: MemberId, nowMs: number): Origin {
  return {
    memberId,
    ...parseMemberId(memberId),
    seq: 0,
    observedSeq: 0,
    items: new Map(),
    progressAtMs: nowMs,
  };
}

/** The state of a process that has just started. */
export function createGossipState(self: MemberId, nowMs: number): GossipState {
  return {
    self,
    origins: new Map([[self, emptyOrigin(self, nowMs)]]),
    tombstones: new Map(),
    quarantine: new Map(),
  };
}

/** The origin of this process itself. */
export function ownOrigin(state: GossipState): Origin {
  const own = state.origins.get(state.self);
  if (own === undefined) throw new Error('gossip state lacks the own origin');
  return own;
}

export function withOrigin(state: GossipState, origin: Origin): GossipState {
  const origins = new Map(state.origins);
  origins.set(origin.memberId, origin);
  return {...state, origins};
}

/** Increments the own sequence number as heartbeat of a round. */
export function recordHeartbeat(
  state: GossipState,
  nowMs: number,
): GossipState {
  const own = ownOrigin(state);
  return withOrigin(state, {...own, seq: own.seq + 1, progressAtMs: nowMs});
}

/** Publishes an item of this process. An unchanged value is not republished. */
export function publish(
  state: GossipState,
  kind: ItemKind,
  key: string,
  value: JsonValue,
): GossipState {
  const own = ownOrigin(state);
  const previous = own.items.get(itemKey(kind, key))?.value;
  if (JSON.stringify(previous) === JSON.stringify(value)) return state;
  const seq = own.seq + 1;
  const item = {kind, key, seq, value};
  const origin = withItems({...own, seq}, [item]);
  return withQuarantine(withOrigin(state, origin), [item]);
}

/** Adds items to an origin or replaces older ones. */
export function withItems(origin: Origin, added: readonly Item[]): Origin {
  const items = new Map(origin.items);
  added
    .filter(item => {
      const known = items.get(itemKey(item.kind, item.key));
      return known === undefined || known.seq < item.seq;
    })
    .forEach(item => items.set(itemKey(item.kind, item.key), item));
  const memberItem = items.get(itemKey(ItemKind.member, ''));
  const member =
    memberItem === undefined ? undefined : decodeMember(memberItem.value);
  return {...origin, items, ...(member === undefined ? {} : {member})};
}

/** Adds the quarantine entries among `items`; the later expiry wins. */
export function withQuarantine(
  state: GossipState,
  items: readonly Item[],
): GossipState {
  const entries = items
    .filter(item => item.kind === ItemKind.quarantine)
    .map(item => decodeQuarantine(item.key, item.value))
    .filter(entry => entry !== undefined)
    .filter(entry => {
      const known = state.quarantine.get(entry.digest);
      return known === undefined || known.expiresAtMs < entry.expiresAtMs;
    });
  if (entries.length === 0) return state;
  const quarantine = new Map(state.quarantine);
  entries.forEach(entry => quarantine.set(entry.digest, entry));
  return {...state, quarantine};
}

/** Removes origins and rejects them for `TOMBSTONE_RETENTION_MS`. */
export function removeOrigins(
  state: GossipState,
  removed: readonly MemberId[],
  nowMs: number,
): GossipState {
  const tombstones = new Map(
    [...state.tombstones].filter(([, {untilMs}]) => untilMs > nowMs),
  );
  if (removed.length === 0 && tombstones.size === state.tombstones.size) {
    return state;
  }
  const origins = new Map(state.origins);
  const untilMs = nowMs + TOMBSTONE_RETENTION_MS;
  removed.forEach(memberId => {
    const seq = origins.get(memberId)?.seq ?? 0;
    origins.delete(memberId);
    tombstones.set(memberId, {seq, untilMs});
  });
  return {...state, origins, tombstones};
}

/** Removes quarantine entries that expired; `wallMs` is Unix time. */
export function expireQuarantine(
  state: GossipState,
  wallMs: number,
): GossipState {
  const kept = [...state.quarantine].filter(
    ([, entry]) => entry.expiresAtMs > wallMs,
  );
  if (kept.length === state.quarantine.size) return state;
  return {...state, quarantine: new Map(kept)};
}

/**
 * Moves the progress times of all origins forward after this process was
 * frozen: messages that it missed meanwhile say nothing about the other
 * processes.
 */
export function shiftProgressTimes(
  state: GossipState,
  pauseMs: number,
): GossipState {
  const origins = new Map(
    [...state.origins].map(([memberId, origin]) => [
      memberId,
      {...origin, progressAtMs: origin.progressAtMs + pauseMs},
    ]),
  );
  return {...state, origins};
}
