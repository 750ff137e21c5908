/** Digests of the gossip state and the deltas that a digest calls for. */
import type {DomainId, MemberId} from '../types/ids.js';
import {livenessOf} from './failure_detection.js';
import {SUSPECT_AFTER_MS} from './constants.js';
import {isForOtherDomains, type Item} from './items.js';
import type {GossipState, Origin} from './state.js';

/** Origin → highest known sequence number. */
export type Digest = ReadonlyMap<MemberId, number>;

/** The changes of one origin, sent to a peer whose state of it is older. */
export interface Delta {
  readonly memberId: MemberId;
  /** After the merge the receiver has all items up to this sequence number. */
  readonly seq: number;
  /** Time since the sender saw progress; 0 if below the suspicion time. */
  readonly quietMs: number;
  readonly items: readonly Item[];
}

export function digestOf(state: GossipState): Digest {
  return new Map(
    [...state.origins.values()].map(origin => [origin.memberId, origin.seq]),
  );
}

/**
 * The origins that are newer in the peer's digest, with the own sequence
 * numbers.
 */
export function wantedOrigins(state: GossipState, theirs: Digest): Digest {
  return new Map(
    [...theirs]
      .map(([memberId, seq]): [MemberId, number, number] => [
        memberId,
        seq,
        state.origins.get(memberId)?.seq ?? 0,
      ])
      .filter(
        ([memberId, seq, known]) => seq > known && memberId !== state.self,
      )
      .filter(
        ([memberId, seq]) => seq > (state.tombstones.get(memberId)?.seq ?? 0),
      )
      .map(([memberId, , known]) => [memberId, known]),
  );
}

function deltaSince(
  origin: Origin,
  since: number,
  nowMs: number,
  ownDomain: DomainId | undefined,
): Delta {
  const quietMs = Math.round(nowMs - origin.progressAtMs);
  const sameDomain = origin.member?.domainId === ownDomain;
  return {
    memberId: origin.memberId,
    seq: origin.seq,
    quietMs: quietMs >= SUSPECT_AFTER_MS ? quietMs : 0,
    items: [...origin.items.values()]
      .filter(item => item.seq > since && (since > 0 || item.value !== null))
      .filter(item => !sameDomain || !isForOtherDomains(item.kind)),
  };
}

/**
 * The deltas that bring a peer with the digest `theirs` up to date. A dead
 * origin is not sent to a peer that does not have it, since the peer would take
 * it for a live one.
 */
export function deltasBeyond(
  state: GossipState,
  theirs: Digest,
  nowMs: number,
): Delta[] {
  const ownDomain = state.origins.get(state.self)?.member?.domainId;
  return [...state.origins.values()]
    .filter(origin => origin.seq > (theirs.get(origin.memberId) ?? 0))
    .filter(
      origin =>
        (theirs.get(origin.memberId) ?? 0) > 0 ||
        livenessOf(state, origin, nowMs) !== 'dead',
    )
    .map(origin =>
      deltaSince(origin, theirs.get(origin.memberId) ?? 0, nowMs, ownDomain),
    );
}

/** The deltas that the peer requested. */
export function deltasWanted(
  state: GossipState,
  wants: Digest,
  nowMs: number,
): Delta[] {
  return deltasBeyond(state, wants, nowMs).filter(delta =>
    wants.has(delta.memberId),
  );
}
