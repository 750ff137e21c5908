/** Durations and shares of the quota leases. */

/**
 * How long an entry may use its share without a reply of the leader. It bridges
 * partitions that end by themselves; the share of an entry that is lost stays
 * reserved for as long.
 */
export const SHARE_LEASE_MS = 10_000;
/** Maximum relative difference between the rates of two clocks. */
export const MAX_CLOCK_DRIFT = 0.01;
/** How long a leader relies on a quorum that confirmed it. */
export const LEADERSHIP_VALIDITY_MS = 1_000;
/** From the election of a leader until its predecessor certainly grants nothing. */
export const FENCE_MS = LEADERSHIP_VALIDITY_MS * (1 + MAX_CLOCK_DRIFT);
/** From the election of a leader until all leases it was not told of have expired. */
export const RECOVERY_MS = FENCE_MS + SHARE_LEASE_MS * (1 + MAX_CLOCK_DRIFT);
/**
 * From the last reply of a leader until another one is elected, in a group that has a
 * quorum: detection, and an election that is repeated once.
 */
export const SUCCESSION_MS = 2_000;
/** An entry that is not cut off has by then reported to a new leader. */
export const REPORTS_WITHIN_MS = 1_200;
/**
 * How long an entry that a control member does not hear may hold leases of another
 * one. It bridges cuts of a single link; entries that are gone for good lengthen the
 * recovery of new leaders as long.
 */
export const CONTACT_EXPIRY_MS = 60_000;

/** Bounds of what refused callers are told, beside the recovery of a leader. */
export const MIN_RETRY_MS = 200;
export const MAX_RETRY_MS = 5_000;

/** Part of the rate that is leased as shares; the rest fills the pool. */
export const LEASED_RATE_SHARE = 0.95;
/** Part of the shares that is divided by demand; the rest is divided evenly. */
export const BY_DEMAND_SHARE = 0.6;
/** Part of the capacity that entries may hold, or be about to receive. */
export const HELD_SHARE = 0.85;
/** Part of the capacity that the ceilings of all entries may take. */
export const CEILING_SHARE = 0.55;
/** Covers the time between two replies of the leader to an entry. */
export const EXCHANGE_MS = 600;
/**
 * How long a request waits for a grant: for the reply to an announcement under way,
 * and for the one after it.
 */
export const ASK_TIMEOUT_MS = 400;
/** Smaller relative changes of a share are not worth a new version. */
export const MIN_SHARE_CHANGE = 0.1;
/**
 * The same while another entry gets less than it should: many entries that each keep
 * a tenth too much leave nothing to one that joins.
 */
export const MIN_SHARE_CHANGE_IF_SHORT = 0.01;
/** How long an entry that got too little counts; it reports again by then. */
export const SHORT_FOR_MS = 1_000;

/** Largest part of the rate that entries without a lease use in sum. */
export const MAX_FLOOR_RATE_SHARE = 0.01;
