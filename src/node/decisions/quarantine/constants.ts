/** Number of lost upstreams after which a request is quarantined. */
export const LOSSES_TO_QUARANTINE = 2;

/** A suspicion without a second loss expires after this time. */
export const SUSPICION_MS = 120_000;

/** Most digests kept; the oldest are evicted first. */
export const MAX_DIGESTS = 10_000;
