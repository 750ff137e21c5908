/** Intervals, timeouts and sizes of the gossip and the summaries. */

/** Minimum time between two exchanges that an instance starts. */
export const GOSSIP_INTERVAL_MS = 500;
/**
 * Gossip interval per member of the domain. In a large domain exchanges are
 * less frequent, since each carries more. At 26 members the interval is
 * 598 ms, which leaves ten rounds before an origin counts as dead.
 */
export const GOSSIP_INTERVAL_PER_MEMBER_MS = 23;
/** An origin without progress for this time is suspect. */
export const SUSPECT_AFTER_MS = 2_000;
/** An origin without progress for this time is dead. */
export const DEAD_AFTER_MS = 6_000;
/** An origin of the own domain is removed after this time without progress. */
export const ORIGIN_RETENTION_MS = 60_000;
/**
 * A removed origin is rejected for this time unless it made progress, so that
 * a peer that was frozen cannot reintroduce a dead origin.
 */
export const TOMBSTONE_RETENTION_MS = 600_000;
/**
 * The last summary of another domain is kept, marked as stale, for this time.
 */
export const SUMMARY_RETENTION_MS = 600_000;
/** Minimum time between two summaries to another domain. */
export const SUMMARY_INTERVAL_MS = 1_000;
/**
 * Summary interval per domain. With many domains summaries are sent less
 * often, so that the traffic that a node receives and passes on stays within
 * its budget.
 */
export const SUMMARY_INTERVAL_PER_DOMAIN_MS = 150;
/** Time after which a summary has reached all instances of a domain. */
export const SUMMARY_PROPAGATION_MS = 8_000;
/** The link to a domain without progress for this time is suspect. */
export const LINK_SUSPECT_AFTER_MS = 5_000;
/** The link to a domain without progress for this time is down. */
export const LINK_DOWN_AFTER_MS = 10_000;
/**
 * With at least this many origins, items that change frequently are pushed in
 * only half of the exchanges.
 */
export const LARGE_DOMAIN_ORIGINS = 16;
/** Timeout of one call to an instance of the same domain. */
export const EXCHANGE_TIMEOUT_MS = 400;
/** Timeout of one call to another domain; the round trip takes 110 ms. */
export const SUMMARY_TIMEOUT_MS = 1_000;
/**
 * Number of instances that build the summary of a domain and send it in turn.
 */
export const SUMMARY_BUILDERS = 2;
/** Number of peers to which an urgent change is sent at once. */
export const URGENT_FANOUT = 8;
/**
 * Number of instances of each other domain that are told of a quarantine at
 * once. A second one, because the first may have just ended.
 */
export const NOTICE_FANOUT = 2;
/** Every n-th round contacts a configured peer that is not known to be live. */
export const REPAIR_EVERY_ROUNDS = 8;
/** Every n-th round contacts a suspect member, if there is one. */
export const SUSPECT_EVERY_ROUNDS = 2;
/** Joining ends after this time even if no peer answered. */
export const JOIN_TIMEOUT_MS = 3_000;
/** Minimum time between two publications of the counts or of one report. */
export const PUBLISH_INTERVAL_MS = 1_000;
/**
 * Publication interval per member. With many members each publishes less
 * often, so that the traffic that a member receives and passes on stays within
 * its budget.
 */
export const PUBLISH_INTERVAL_PER_MEMBER_MS = 80;
/** A load report that is not renewed within this time expires. */
export const LOAD_REPORT_EXPIRY_MS = 10_000;
/** Quarantine entries are resent to each other domain after this time. */
export const QUARANTINE_RESEND_MS = 60_000;
