/** Limits and timeouts of the configuration log and of version distribution. */

/**
 * The configuration log can be compacted once it has this many entries after
 * the last snapshot. An entry has about 90 KB at the deployment size planned
 * for two years, and the memory budget of the control plane is 32 MB.
 */
export const SNAPSHOT_EVERY_ENTRIES = 100;
/** Entries kept in the log after a snapshot. */
export const KEEP_ENTRIES = 20;

/** Accepted versions listed in the history, without their content. */
export const MAX_HISTORY_ENTRIES = 1_000;
/** Accepted versions whose answers are stored, for review and correction. */
export const MAX_STORED_ANSWERS = 8;
/** Results stored by operation id; about four days at 470 changes a day. */
export const MAX_STORED_RESULTS = 2_000;
/** Audit entries stored; about ten days at 470 changes a day. */
export const MAX_AUDIT_ENTRIES = 5_000;

/**
 * Longest wait of one `config.watch`. A stalled connection is detected only
 * after this time, and a new version must be in force within 8 s.
 */
export const MAX_WATCH_MS = 2_500;
/** Added to the requested wait to get the timeout of a `config.watch` call. */
export const WATCH_MARGIN_MS = 1_000;
/** Most `config.watch` calls that wait on one member at the same time. */
export const MAX_WATCHERS = 256;
/** Pause after a successful call; prevents a busy loop on early responses. */
export const MIN_WATCH_PAUSE_MS = 20;
/** Backoff of a watcher after failed calls; doubles up to the maximum. */
export const MIN_WATCH_RETRY_MS = 250;
export const MAX_WATCH_RETRY_MS = 2_000;
/** How often an instance checks whether it has become a watcher. */
export const ROLE_CHECK_INTERVAL_MS = 500;
/** Timeout of a call to a peer that returns or stores a configuration. */
export const PEER_TIMEOUT_MS = 1_000;
/** Timeout of a call that is forwarded to the leader, including retries. */
export const FORWARD_TIMEOUT_MS = 8_000;
/** How often a forwarded call checks whether the leader has changed. */
export const LEADER_CHECK_INTERVAL_MS = 100;
/** How long `member.add` waits until the learner can become a voter. */
export const PROMOTION_TIMEOUT_MS = 6_000;
export const PROMOTION_RETRY_MS = 250;
