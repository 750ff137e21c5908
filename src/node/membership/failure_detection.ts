/** Verdicts on origins from the time since their last progress. */
import type {InstanceId, MemberId} from '../types/ids.js';
import type {GossipState, Origin} from './state.js';
import {
  DEAD_AFTER_MS,
  ORIGIN_RETENTION_MS,
  SUMMARY_RETENTION_MS,
  SUSPECT_AFTER_MS,
} from './constants.js';

/** What this process believes about another. */
export type Liveness = 'alive' | 'suspect' | 'dead';

/** The verdict on one origin; this process never doubts itself. */
export function livenessOf(
  state: GossipState,
  origin: Origin,
  nowMs: number,
): Liveness {
  if (origin.memberId === state.self) return 'alive';
  const quietMs = nowMs - origin.progressAtMs;
  if (quietMs >= DEAD_AFTER_MS) return 'dead';
  return quietMs >= SUSPECT_AFTER_MS ? 'suspect' : 'alive';
}

/** The newest known incarnation of each instance. */
export function newestOrigins(
  state: GossipState,
): ReadonlyMap<InstanceId, Origin> {
  const newest = new Map<InstanceId, Origin>();
  state.origins.forEach(origin => {
    const known = newest.get(origin.instanceId);
    if (known === undefined || known.incarnation < origin.incarnation) {
      newest.set(origin.instanceId, origin);
    }
  });
  return newest;
}

/** Origins that may be forgotten: superseded, left or dead for long. */
export function removableOrigins(
  state: GossipState,
  ownDomain: string,
  nowMs: number,
): MemberId[] {
  const newest = newestOrigins(state);
  return [...state.origins.values()]
    .filter(origin => origin.memberId !== state.self)
    .filter(origin => {
      if (newest.get(origin.instanceId) !== origin) return true;
      const foreign =
        origin.member !== undefined && origin.member.domainId !== ownDomain;
      const retentionMs = foreign ? SUMMARY_RETENTION_MS : ORIGIN_RETENTION_MS;
      return nowMs - origin.progressAtMs >= retentionMs;
    })
    .map(origin => origin.memberId);
}
