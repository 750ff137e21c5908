/**
 * The gossip state of one process, as an immutable value: per origin its
 * sequence number and its items. The sequence number of an origin grows with
 * each of its changes and with each of its rounds, so it is its heartbeat too.
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

/** What is known of one instance in one incarnation. */
export interface Origin {
  readonly memberId: MemberId;
  readonly instanceId: InstanceId;
  readonly incarnation: number;
  /** All items up to this sequence number are known. */
  readonly seq: number;
  /** The greatest number seen in any digest, which shows progress. */
  readonly observedSeq: number;
  readonly items: ReadonlyMap<string, Item>;
  readonly member?: MemberRecord;
  /** Local monotonic time of the last progress. */
  readonly progressAtMs: number;
  /** Least seen difference between the local and the origin's clock. */
  readonly clockOffsetMs?: number;
  readonly clockOffsetAtMs?: number;
}

/** What is remembered of a forgotten origin. */
export interface Tombstone {
  readonly seq: number;
  readonly untilMs: number;
}

/** The whole gossip state. */
export interface GossipState {
  readonly self: MemberId;
  readonly origins: ReadonlyMap<MemberId, Origin>;
  /** Forgotten origins, refused unless they have made progress since. */
  readonly tombstones: ReadonlyMap<MemberId, Tombstone>;
  /** Entries in force, kept beyond the life of their origins. */
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

/** An origin of which nothing is known yet. */
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
  if (own === undefined) throw new Error('the own origin is missing');
  return own;
}

/** Replaces one origin. */
export function withOrigin(state: GossipState, origin: Origin): GossipState {
  const origins = new Map(state.origins);
  origins.set(origin.memberId, origin);
  return {...state, origins};
}

/** Records a round of this process: its heartbeat. */
export function recordHeartbeat(
  state: GossipState,
  nowMs: number,
): GossipState {
  const own = ownOrigin(state);
  return withOrigin(state, {...own, seq: own.seq + 1, progressAtMs: nowMs});
}

/** Publishes an item of this process; an equal value changes nothing. */
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

/** An origin with items added or replaced. */
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

/** Forgets origins and refuses them for a time. */
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
 * Moves the times of progress forward after this process was frozen, because
 * its own silence says nothing about the others.
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
