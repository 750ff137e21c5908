/** Predicts the demand per model from noisy observations. Pure functions. */
import type {ModelId} from '../../types/ids.js';

/** Time constant of the smoothing: shorter fluctuations are damped. */
export const DEMAND_SMOOTHING_MS = 60_000;

/** Smoothed demand per model, in busy slots. */
export interface DemandState {
  readonly firstAtMs?: number;
  readonly observedAtMs?: number;
  readonly observations: number;
  readonly slots: ReadonlyMap<ModelId, number>;
}

/** A state without observations. */
export const NO_DEMAND: DemandState = {observations: 0, slots: new Map()};

/**
 * Adds an observation: running and waiting requests per model, in slots. A
 * model that is missing from it has no demand. The first observations are
 * averaged, so that the initial one is not overweighted.
 */
export function observeDemand(
  state: DemandState,
  observed: ReadonlyMap<ModelId, number>,
  nowMs: number,
): DemandState {
  const elapsedMs = Math.max(0, nowMs - (state.observedAtMs ?? nowMs));
  const observations = state.observations + 1;
  const smoothing = 1 - Math.exp(-elapsedMs / DEMAND_SMOOTHING_MS);
  const weight = Math.max(smoothing, 1 / observations);
  const models = new Set([...state.slots.keys(), ...observed.keys()]);
  const slots = [...models].map((modelId): [ModelId, number] => {
    const before = state.slots.get(modelId) ?? 0;
    const now = observed.get(modelId) ?? 0;
    return [modelId, before + weight * (now - before)];
  });
  return {
    firstAtMs: state.firstAtMs ?? nowMs,
    observedAtMs: nowMs,
    observations,
    slots: new Map(slots),
  };
}

/**
 * The expected demand, or `undefined` until it has been observed for one time
 * constant; shorter observations cannot be told from noise.
 */
export function predictedDemand(
  state: DemandState,
): ReadonlyMap<ModelId, number> | undefined {
  const {firstAtMs, observedAtMs} = state;
  if (firstAtMs === undefined || observedAtMs === undefined) return undefined;
  const hasEnoughHistory = observedAtMs - firstAtMs >= DEMAND_SMOOTHING_MS;
  return hasEnoughHistory ? state.slots : undefined;
}
