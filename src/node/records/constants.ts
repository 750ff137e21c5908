/** Limits, timeouts and intervals of at-most-once records. */

/** Maximum time that a key's timestamp may be ahead of the leader's clock. */
export const MAX_KEY_AHEAD_MS = 5 * 60_000;
/** Retention of keys if the configuration sets none. */
export const DEFAULT_RETENTION_MS = 24 * 60 * 60_000;
/**
 * Grace period between the deadline of a call and the change of its record to
 * `unknown`. It covers an answer that is being recorded and a leader election.
 */
export const DEFAULT_GRACE_MS = 5_000;
/** Maximum number of records per workspace. */
export const DEFAULT_MAX_RECORDS_PER_WORKSPACE = 100_000;
/** Maximum size of a body that is stored with an answer. */
export const MAX_STORED_BODY_BYTES = 16 * 1024;
/**
 * Maximum length in base64 of all stored bodies of a workspace. Above it, the
 * bodies with the oldest keys are evicted; their records stay.
 */
export const MAX_BODY_CHARACTERS_PER_WORKSPACE = 8 * 1024 * 1024;
/** Maximum length of a header value that is stored with an answer. */
export const MAX_STORED_HEADER_CHARACTERS = 512;
/** The headers of an answer that are stored with it. */
export const STORED_HEADERS: readonly string[] = [
  'content-type',
  'content-language',
  'content-encoding',
  'location',
  'etag',
];
/**
 * Closed attempts stored per record, so that a delayed `begin` of one of them
 * is not granted. If the `begin` of one that is no longer stored is granted,
 * the key is blocked until the deadline, but the call cannot run twice, because
 * a closed attempt is never dispatched.
 */
export const MAX_CLOSED_ATTEMPTS = 8;
/** Interval at which the leader checks for records to expire. */
export const DEFAULT_EXPIRE_INTERVAL_MS = 1_000;
/** Maximum duration of one `records.wait` request. */
export const MAX_WAIT_SLICE_MS = 10_000;
/**
 * Maximum records per page of `records.export`. It keeps a page below 1 MiB.
 * Each page costs a round trip between domains, during which the workspace
 * rejects calls.
 */
export const EXPORT_PAGE_RECORDS = 1_000;
/** Maximum size of the bodies in a page; it limits the size of a log entry. */
export const EXPORT_PAGE_BODY_BYTES = 256 * 1024;
/** Maximum timeout that a call may request. */
export const MAX_CALL_TIMEOUT_MS = 60 * 60_000;
