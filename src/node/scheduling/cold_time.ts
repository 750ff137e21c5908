/** How long an upstream counts as cold. */
import type {ListedUpstream, ListReading} from './types.js';
import type {UpstreamState} from './upstream_state.js';

/**
 * The rate limit of a cold upstream applies to any one-second window, including
 * one that begins just before the upstream is warm.
 */
const COLD_MARGIN_MS = 1_050;
/** Time for which an upstream of a restored domain is assumed to be cold. */
const ASSUMED_COLD_MS = 3_000;

function cappedColdUntil(state: UpstreamState, reading: ListReading): number {
  return Math.min(state.coldUntilMs, reading.readAtMs + COLD_MARGIN_MS);
}

/** When the upstream is certainly warm; `coldRemainingMs` was read at `atMs`. */
export function coldUntil(atMs: number, coldRemainingMs: number): number {
  return coldRemainingMs > 0 ? atMs + coldRemainingMs + COLD_MARGIN_MS : atMs;
}

/** For an upstream that may have become cold unseen. */
export function assumeCold(state: UpstreamState, nowMs: number): void {
  state.coldUntilMs = Math.max(state.coldUntilMs, nowMs + ASSUMED_COLD_MS);
  state.minWarmReadAtMs = nowMs;
}

/** A reading that may predate `minWarmReadAtMs` can only extend the cold time. */
export function applyCold(
  state: UpstreamState,
  listed: ListedUpstream,
  reading: ListReading,
): void {
  const untilMs = coldUntil(reading.readAtMs, listed.coldRemainingMs);
  const isCurrent = reading.readAtMs - reading.lagMs >= state.minWarmReadAtMs;
  // A reading that reports the upstream as warm does not shorten the margin.
  if (isCurrent && listed.coldRemainingMs > 0) state.coldUntilMs = untilMs;
  else if (isCurrent) state.coldUntilMs = cappedColdUntil(state, reading);
  else state.coldUntilMs = Math.max(state.coldUntilMs, untilMs);
}
