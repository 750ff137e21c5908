/** Slow start: load ramps up after recovery, because caches are cold. */
import {SLOW_START_MS, SLOW_START_WEIGHT} from './constants.js';

/** The share of its normal load that a recovered peer may take now. */
export function slowStartWeight(
  returnedAtMs: number | undefined,
  nowMs: number,
  durationMs = SLOW_START_MS,
): number {
  if (returnedAtMs === undefined) return 1;
  const progress = (nowMs - returnedAtMs) / durationMs;
  return Math.min(1, Math.max(SLOW_START_WEIGHT, progress));
}
