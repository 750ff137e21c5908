/**
 * Confidence in the cache events of an upstream. A gap in their sequence means
 * that evictions may have been missed, so the cache may be colder than known.
 */

/** Factor applied to the confidence for each missed event. */
const MISSED_EVENT_FACTOR = 0.9;
/** Half-life of the lost confidence. */
const RECOVERY_HALF_LIFE_MS = 30_000;

/** The state kept for the cache events of one upstream. */
export interface CacheConfidence {
  readonly lastSequence: number;
  readonly confidence: number;
  readonly updatedAtMs: number;
}

/** The state before the first event. */
export function initialCacheConfidence(nowMs: number): CacheConfidence {
  return {lastSequence: 0, confidence: 1, updatedAtMs: nowMs};
}

/** The confidence now, between 0 and 1. */
export function cacheConfidenceAt(
  state: CacheConfidence,
  nowMs: number,
): number {
  const halfLives =
    Math.max(0, nowMs - state.updatedAtMs) / RECOVERY_HALF_LIFE_MS;
  return 1 - (1 - state.confidence) * 0.5 ** halfLives;
}

/** Applies the sequence number of one event; older numbers are ignored. */
export function onCacheEvent(
  state: CacheConfidence,
  sequence: number,
  nowMs: number,
): CacheConfidence {
  if (state.lastSequence > 0 && sequence <= state.lastSequence) return state;
  const missing =
    state.lastSequence === 0 ? 0 : sequence - state.lastSequence - 1;
  return {
    lastSequence: sequence,
    confidence:
      cacheConfidenceAt(state, nowMs) * MISSED_EVENT_FACTOR ** missing,
    updatedAtMs: nowMs,
  };
}
