/** Load reports of this age or older are ignored. */
export const REPORT_MAX_AGE_MS = 5_000;

/** Older in-flight counts of other instances are ignored. */
export const PEER_MAX_AGE_MS = 6_000;

/** Added to the predicted wait of an upstream without a fresh report. */
export const UNKNOWN_LOAD_WAIT_MS = 25;

/**
 * Slowdown of a request by a full batch, as a share of its service time. It
 * makes a less loaded upstream preferable before any of them is full.
 */
export const BATCH_SLOWDOWN_SHARE = 0.2;

/** Candidates drawn at random for one choice. */
export const RANDOM_CANDIDATES = 2;

/** Owners of a prefix that are considered before a random choice. */
export const AFFINITY_OWNERS = 2;

/** Largest load of a prefix owner relative to the mean load of its pool. */
export const AFFINITY_LOAD_BOUND = 1.25;

/** Least confidence in the cache events of an upstream for affinity. */
export const MIN_CACHE_CONFIDENCE = 0.1;
