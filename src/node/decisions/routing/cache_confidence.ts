/**
 * Confidence in the cache events of an upstream. A gap in their sequence means
 * that evictions may have been missed, so the cache may be colder than known.
 */

/** Factor per missing event. */
const MISSED_EVENT_FACTOR = 0.9;
/** Time in which half of the lost confidence returns. */
const RECOVERY_HALF_LIFE_MS = 30_000;

/** What is remembered about the events of one upstream. */
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

/** Takes in the sequence number of one event; old numbers change nothing. */
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
