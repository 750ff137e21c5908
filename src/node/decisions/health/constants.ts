/** Consecutive failures that eject an upstream. */
export const FAILURES_TO_EJECT = 3;

/** Ejection time after the first ejection; it doubles with each further one. */
export const BASE_EJECTION_MS = 5_000;
export const MAX_EJECTION_MS = 60_000;

/** Ejection time after a refused connection: a few poll intervals. */
export const UNREACHABLE_EJECTION_MS = 2_000;

/** After this time without an ejection, the backoff starts anew. */
export const EJECTION_BACKOFF_RESET_MS = 300_000;

/** Largest share of the upstreams of a pool that may be ejected at once. */
export const MAX_EJECTED_SHARE = 0.5;

/** Time in which a recovered upstream ramps up to its full load. */
export const SLOW_START_MS = 10_000;

/** Weight at the start of a slow start. */
export const SLOW_START_WEIGHT = 0.1;

/** An upstream that refused a request as leaving gets none for this time. */
export const REFUSAL_TTL_MS = 30_000;
