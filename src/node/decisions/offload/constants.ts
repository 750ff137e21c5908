/**
 * A domain whose last summary is older is not used: summaries arrive once a
 * second, so several in a row were lost.
 */
export const SUMMARY_MAX_AGE_MS = 5_000;

/** Assumed one-way delay between domains of the same region. */
export const INTRA_REGION_DELAY_MS = 4;

export const BITS_PER_BYTE = 8;
export const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * A request that the local domain rejects is sent to a domain with a backlog
 * only if the local backlog is at least this many times as long. Backlogs of
 * equally overloaded domains differ by a fifth by chance.
 */
export const MIN_BACKLOG_RATIO = 2;

/** Share of used slots above which one more request delays urgent work. */
export const CONGESTION_THRESHOLD = 0.55;

/**
 * Delay that one more request causes for urgent work in a full pool, as a share
 * of its service time: about the share of urgent work in the load.
 */
export const CONGESTION_SHARE = 0.3;
