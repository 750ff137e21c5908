/** Intervals and time limits of the fleet's announcements. */

/** Bounds how long a change of state or table stays unknown to an entry. */
export const ANNOUNCE_INTERVAL_MS = 400;
/** The same while an entry holds no state at all. */
export const STARTING_INTERVAL_MS = 150;
/** Several round trips between regions. */
export const ANNOUNCE_TIMEOUT_MS = 800;
/** Six announcements lost in a row: the entry counts as gone. */
export const ENTRY_EXPIRY_MS = 2_600;
/** A whole route table may be fetched over a slow link. */
export const FETCH_TIMEOUT_MS = 3_000;
/** How long an entry trusts a view that no control member renews. */
export const VIEW_EXPIRY_MS = 3_000;
