/**
 * A domain whose last summary is older is not used: summaries come each
 * second, so several in a row were lost.
 */
export const SUMMARY_MAX_AGE_MS = 5_000;

/** One-way delay assumed between domains of one region. */
export const INTRA_REGION_DELAY_MS = 4;

export const BITS_PER_BYTE = 8;
export const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Work that the own domain refuses goes to a domain with a backlog only if
 * that is smaller by this factor. Backlogs of equally overloaded domains
 * differ by a fifth by chance.
 */
export const MIN_BACKLOG_RATIO = 2;

/** Above this share of used slots, one more request delays urgent work. */
export const CONGESTION_THRESHOLD = 0.55;

/**
 * Delay that one more request causes to urgent work in a full pool, as a share
 * of the time for which it holds its slot: about the share of urgent work.
 */
export const CONGESTION_SHARE = 0.3;
