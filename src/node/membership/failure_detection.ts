/** Failure detection from the time since the last progress of each origin. */
import type {InstanceId, MemberId} from '../types/ids.js';
import type {GossipState, Origin} from './state.js';
import {
  DEAD_AFTER_MS,
  ORIGIN_RETENTION_MS,
  SUMMARY_RETENTION_MS,
  SUSPECT_AFTER_MS,
} from './constants.js';

/** State of another process as judged by this one. */
export type Liveness = 'alive' | 'suspect' | 'dead';

/** The liveness of one origin. This process itself is always alive. */
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

/** Superseded origins, and those without progress for the retention time. */
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
