/**
 * Decides which models to load on which upstreams. Pure functions. A change
 * must serve clearly more of the predicted demand than now, and each upstream
 * has a cool-down after a change, so that noise does not cause flapping.
 */
import type {ModelId, UpstreamId} from '../../types/ids.js';

/** An upstream as placement sees it. */
export interface PlacementUpstream {
  readonly upstreamId: UpstreamId;
  readonly slotCount: number;
  /** Models that it may load. */
  readonly modelIds: readonly ModelId[];
  readonly loaded: readonly ModelId[];
  /** Models that fit at the same time. */
  readonly maxLoaded: number;
  readonly leaving: boolean;
}

/** Limits of placement. */
export interface PlacementLimits {
  /** A change must serve at least this many more busy slots. */
  readonly minGainSlots: number;
  /** A change must also gain this share of the slots of its upstream. */
  readonly minGainShare: number;
  /** Least time between two changes of the same upstream. */
  readonly minBetweenChangesMs: number;
}

/** Limits for models that take about a minute to load. */
export const DEFAULT_LIMITS: PlacementLimits = {
  minGainSlots: 2,
  minGainShare: 0.25,
  minBetweenChangesMs: 300_000,
};

/** Time of the last change of each upstream, on the local monotonic clock. */
export type LastChanges = ReadonlyMap<UpstreamId, number>;

/** One change: load a model, after unloading another if there is no room. */
export interface PlacementChange {
  readonly upstreamId: UpstreamId;
  readonly load: ModelId;
  readonly unload?: ModelId;
  readonly gainSlots: number;
}

function capacities(
  upstreams: readonly PlacementUpstream[],
): Map<ModelId, number> {
  const slots = new Map<ModelId, number>();
  upstreams
    .filter(upstream => !upstream.leaving)
    .forEach(({loaded, slotCount}) =>
      loaded.forEach(modelId =>
        slots.set(
          modelId,
          (slots.get(modelId) ?? 0) + slotCount / loaded.length,
        ),
      ),
    );
  return slots;
}

/** Part of the demand, in slots, that the loaded models can serve. */
export function servedSlots(
  upstreams: readonly PlacementUpstream[],
  demand: ReadonlyMap<ModelId, number>,
): number {
  const capacity = capacities(upstreams);
  return [...demand].reduce(
    (sum, [modelId, slots]) =>
      sum + Math.min(slots, capacity.get(modelId) ?? 0),
    0,
  );
}

/** The upstreams as they are after a change. */
export function applyChange(
  upstreams: readonly PlacementUpstream[],
  change: Pick<PlacementChange, 'upstreamId' | 'load' | 'unload'>,
): PlacementUpstream[] {
  return upstreams.map(upstream =>
    upstream.upstreamId === change.upstreamId
      ? {
          ...upstream,
          loaded: [
            ...upstream.loaded.filter(modelId => modelId !== change.unload),
            change.load,
          ],
        }
      : upstream,
  );
}

function candidatesOf(
  upstream: PlacementUpstream,
  demand: ReadonlyMap<ModelId, number>,
): Pick<PlacementChange, 'upstreamId' | 'load' | 'unload'>[] {
  const {upstreamId, loaded} = upstream;
  return upstream.modelIds
    .filter(load => !loaded.includes(load) && (demand.get(load) ?? 0) > 0)
    .flatMap(load => {
      const replacing = loaded.map(unload => ({upstreamId, load, unload}));
      const hasRoom = loaded.length < upstream.maxLoaded;
      return hasRoom ? [{upstreamId, load}, ...replacing] : replacing;
    });
}

/** Whether a change would unload the last copy of a model in demand. */
function removesLastCopy(
  upstreams: readonly PlacementUpstream[],
  demand: ReadonlyMap<ModelId, number>,
  {upstreamId, unload}: Pick<PlacementChange, 'upstreamId' | 'unload'>,
): boolean {
  if (unload === undefined || (demand.get(unload) ?? 0) <= 0) return false;
  return !upstreams.some(
    other =>
      other.upstreamId !== upstreamId &&
      !other.leaving &&
      other.loaded.includes(unload),
  );
}

/**
 * The change within the limits that gains most, if any. Ties go to the lowest
 * upstream id, so that the decision is deterministic.
 */
export function decidePlacement(
  upstreams: readonly PlacementUpstream[],
  demand: ReadonlyMap<ModelId, number>,
  lastChanges: LastChanges,
  limits: PlacementLimits,
  nowMs: number,
): PlacementChange | undefined {
  const servedNow = servedSlots(upstreams, demand);
  return [...upstreams]
    .sort((left, right) => (left.upstreamId < right.upstreamId ? -1 : 1))
    .filter(({leaving, upstreamId}) => {
      const changedAtMs = lastChanges.get(upstreamId) ?? -Infinity;
      return !leaving && nowMs - changedAtMs >= limits.minBetweenChangesMs;
    })
    .flatMap(upstream =>
      candidatesOf(upstream, demand)
        .filter(candidate => !removesLastCopy(upstreams, demand, candidate))
        .map((candidate): PlacementChange => {
          const after = applyChange(upstreams, candidate);
          const gainSlots = servedSlots(after, demand) - servedNow;
          return {...candidate, gainSlots};
        })
        .filter(
          ({gainSlots}) =>
            gainSlots >= limits.minGainSlots &&
            gainSlots >= limits.minGainShare * upstream.slotCount,
        ),
    )
    .reduce<PlacementChange | undefined>(
      (best, next) =>
        best === undefined || next.gainSlots > best.gainSlots ? next : best,
      undefined,
    );
}
