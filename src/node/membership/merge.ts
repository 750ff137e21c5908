/** Merges deltas and digests of peers into the gossip state. */
import {
  emptyOrigin,
  type GossipState,
  type Origin,
  withItems,
  withQuarantine,
} from './state.js';
import type {Delta, Digest} from './digest.js';
import {type Item, ItemKind, REPORT_TIME_UNIT_MS} from './items.js';

/**
 * Maximum drift between two clocks, as a share of elapsed time. The minimum
 * offset seen is raised at this rate, so that an outdated minimum does not
 * persist.
 */
const CLOCK_DRIFT_SHARE = 1e-4;

function clockOffset(
  origin: Origin,
  items: readonly Item[],
  nowMs: number,
): Pick<Origin, 'clockOffsetMs' | 'clockOffsetAtMs'> {
  const stamps = items
    .filter(item => item.kind === ItemKind.load && Array.isArray(item.value))
    .map(
      item =>
        Number((item.value as readonly unknown[])[0]) * REPORT_TIME_UNIT_MS,
    )
    .filter(stamp => Number.isFinite(stamp));
  if (stamps.length === 0) return {};
  const seenMs = nowMs - Math.max(...stamps);
  const sinceMs = nowMs - (origin.clockOffsetAtMs ?? nowMs);
  const raisedMs =
    (origin.clockOffsetMs ?? Infinity) + sinceMs * CLOCK_DRIFT_SHARE;
  return {
    clockOffsetMs: Math.min(seenMs, raisedMs),
    clockOffsetAtMs: nowMs,
  };
}

function mergeDelta(
  state: GossipState,
  delta: Delta,
  nowMs: number,
): Origin | undefined {
  if (delta.memberId === state.self) return undefined;
  if (delta.seq <= (state.tombstones.get(delta.memberId)?.seq ?? 0)) {
    return undefined;
  }
  const known = state.origins.get(delta.memberId);
  const origin = known ?? emptyOrigin(delta.memberId, nowMs - delta.quietMs);
  if (delta.seq <= origin.seq) return undefined;
  const progressAtMs =
    delta.seq > origin.observedSeq
      ? Math.max(origin.progressAtMs, nowMs - delta.quietMs)
      : origin.progressAtMs;
  const merged =
    delta.items.length === 0 ? origin : withItems(origin, delta.items);
  return {
    ...merged,
    ...clockOffset(origin, delta.items, nowMs),
    seq: delta.seq,
    observedSeq: Math.max(origin.observedSeq, delta.seq),
    progressAtMs,
  };
}

/**
 * Merges deltas. A delta that is not newer than the current state is ignored.
 */
export function merge(
  state: GossipState,
  deltas: readonly Delta[],
  nowMs: number,
): GossipState {
  const merged = deltas
    .map(delta => mergeDelta(state, delta, nowMs))
    .filter(origin => origin !== undefined);
  if (merged.length === 0) return state;
  const origins = new Map(state.origins);
  merged.forEach(origin => origins.set(origin.memberId, origin));
  return withQuarantine(
    {...state, origins},
    deltas.flatMap(delta => [...delta.items]),
  );
}

/**
 * Records the progress of known origins from a peer's digest. It shows that
 * they are alive, even if their items arrive later.
 */
export function observeDigest(
  state: GossipState,
  digest: Digest,
  nowMs: number,
): GossipState {
  const progressed = [...digest].flatMap(([memberId, seq]) => {
    const origin = state.origins.get(memberId);
    const known = Math.max(origin?.observedSeq ?? 0, origin?.seq ?? 0);
    if (origin === undefined || memberId === state.self || seq <= known) {
      return [];
    }
    return [{...origin, observedSeq: seq, progressAtMs: nowMs}];
  });
  if (progressed.length === 0) return state;
  const origins = new Map(state.origins);
  progressed.forEach(origin => origins.set(origin.memberId, origin));
  return {...state, origins};
}

/** Whether the state has a newer incarnation of this process's instance. */
export function isSuperseded(state: GossipState): boolean {
  const own = state.origins.get(state.self);
  return [...state.origins.values()].some(
    origin =>
      own !== undefined &&
      origin.instanceId === own.instanceId &&
      origin.incarnation > own.incarnation,
  );
}
