/** Constants of scheduling. */

/** Prompt tokens that an engine reads in a millisecond beside its decoding. */
export const PREFILL_TOKENS_PER_MS = 35;
/** First answer of an idle engine with a cached prompt. */
export const BASE_FIRST_ANSWER_MS = 20;
/** Time of one output token in a busy batch. */
export const DECODE_MS_PER_TOKEN = 9;
/** Time of a plain call before any was observed. */
export const INITIAL_SERVICE_MS = 40;
/**
 * An engine gets new prompts while its unread ones take no longer than this.
 * The rest waits here, where more urgent requests can overtake it.
 */
export const MAX_PREFILL_BACKLOG_MS = 120;
/** Share of the target that may pass before the first answer is due. */
export const ADMISSION_SHARE_OF_TARGET = 0.9;
/** A large prompt is admitted if its wait alone stays below this share. */
export const WAIT_SHARE_OF_TARGET = 0.5;
/** Room for prompts whose size was estimated too low. */
export const USABLE_CACHE_SHARE = 0.92;
/** One in so many grants goes to the least urgent request that waits. */
export const GRANTS_PER_LOW_PRIORITY_TURN = 8;
/** Weight of one observation in moving averages. */
export const AVERAGE_WEIGHT = 0.1;
/** Round trip between regions, and the hop through another entry. */
export const OFFLOAD_COST_MS = 130;
/** A region must be better than this one by so much to get work of it. */
export const OFFLOAD_MIN_GAIN_MS = 50;
/** The question to the scheduler of another domain of the region. */
export const PASS_COST_MS = 15;
/** Another domain of the region must be better by so much. */
export const PASS_MIN_GAIN_MS = 25;
/**
 * Long prompts leave a region whose engines spend more of their time reading:
 * above it the pauses of streams grow beyond what their callers accept.
 */
export const OFFLOAD_PREFILL_SHARE = 0.55;
/** The other region must be less loaded by so much. */
export const OFFLOAD_PREFILL_SHARE_GAIN = 0.2;
/** A digest older than this says nothing. */
export const DIGEST_EXPIRY_MS = 1_500;
/** Long enough for the load of a moment to change. */
export const MIN_RETRY_AFTER_MS = 300;
export const MAX_RETRY_AFTER_MS = 3_000;
/** Lost upstreams and regions are back after seconds rather than at once. */
export const NO_UPSTREAM_RETRY_AFTER_MS = 2_000;
/** Other regions tell of their capacity about this often. */
export const NO_UPSTREAM_CLOSED_MS = 200;
/** Cold upstreams get this share of what they tolerate. */
export const COLD_RATE_SHARE = 0.85;
/** Longest wait for an upstream that is known but not usable yet. */
export const NO_UPSTREAM_WAIT_MS = 400;
/** A placement that nobody ended by then is forgotten. */
export const PLACEMENT_GRACE_MS = 2_000;
