/** Intervals and timeouts of announcements to the control members. */

/** Bounds the delay until an entry learns of a new state or route table. */
export const ANNOUNCE_INTERVAL_MS = 400;
/** Interval while an entry has no control state yet. */
export const STARTUP_ANNOUNCE_INTERVAL_MS = 150;
/** Allows for several round trips between regions. */
export const ANNOUNCE_TIMEOUT_MS = 800;
/** An entry expires after six consecutive lost announcements. */
export const ENTRY_EXPIRY_MS = 2_600;
/** Allows for fetching a complete route table over a slow link. */
export const FETCH_TIMEOUT_MS = 3_000;
/** How long an entry uses a view without a reply of its control member. */
export const VIEW_EXPIRY_MS = 3_000;
/** A fetch that takes longer does not keep an entry from asking another member. */
export const FETCH_PATIENCE_MS = 400;
