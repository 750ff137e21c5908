/** Number of lost upstreams after which a request is quarantined. */
export const LOSSES_TO_QUARANTINE = 2;

/** A suspicion without a second loss expires after this time. */
export const SUSPICION_MS = 120_000;

/** Most digests kept; the oldest are evicted first. */
export const MAX_DIGESTS = 10_000;

/** Crashes in a row after which a suspect that requests share is quarantined. */
export const CRASHES_TO_QUARANTINE = 3;

/**
 * A crash counts only after this time, within which an answer that clears the
 * suspect elsewhere is reported: two exchanges between regions.
 */
export const CLEARANCE_WAIT_MS = 600;

/** An answer that clears a suspect is reported to other instances this long. */
export const REPORT_MS = 3_000;

/** An answer is kept for this time against crashes that are reported late. */
export const CLEARED_RETENTION_MS = 30_000;

/** A quarantined suspect that no request names any more is dropped. */
export const QUARANTINE_RETENTION_MS = 24 * 3_600_000;

/** Time between two searches for evidence that has expired. */
export const EXPIRY_INTERVAL_MS = 1_000;

/** Crashes kept of one suspect; the oldest are dropped first. */
export const MAX_CRASHES_KEPT = 16;

/** Most suspects kept; the oldest are evicted first. */
export const MAX_SUSPECTS = 4_096;

/** Bounds one message: a crash adds a few suspects for each slot. */
export const MAX_REPORTED_SUSPECTS = 256;

/** Time from the last crash to the first trial of a quarantined suspect. */
export const QUARANTINE_MS = 60_000;

/** Each failed trial doubles the time to the next one, up to this. */
export const MAX_QUARANTINE_MS = 3_600_000;

/** An instance that did not observe the last crash waits at least this much longer. */
export const REMOTE_QUARANTINE_FACTOR = 4;

/** A trial without an outcome counts as ended after this time. */
export const TRIAL_TIMEOUT_MS = 10_000;
