/** Constants shared by the modules of the scheduler. */

/**
 * Prefill rate of an engine of nominal speed that also decodes. This and the next
 * constants are first guesses; the speeds of upstreams are learned.
 */
export const PREFILL_TOKENS_PER_MS = 35;
/** Time to the first answer of an idle engine with the prompt in its cache. */
export const BASE_FIRST_ANSWER_MS = 20;
/** Decode time of one output token in a full batch. */
export const DECODE_MS_PER_TOKEN = 9;
/** Service time assumed for a plain upstream before the first observation. */
export const INITIAL_SERVICE_MS = 40;
/**
 * An engine gets no new prompt while its prefill backlog is longer than this.
 * Further prompts wait in the scheduler's queue, where more urgent requests
 * can overtake them.
 */
export const MAX_PREFILL_BACKLOG_MS = 120;
/** Share of the target latency within which the first answer must be due. */
export const ADMISSION_SHARE_OF_TARGET = 0.9;
/** A large prompt is admitted if its queue wait stays within this share. */
export const WAIT_SHARE_OF_TARGET = 0.5;
/** The rest is headroom for prompts whose size is underestimated. */
export const USABLE_CACHE_SHARE = 0.92;
/** Share of the grants that a less urgent priority keeps while it has a queue. */
export const PRIORITY_FLOOR_SHARE = 1 / 8;
/** All less urgent priorities together get no larger share by their floors. */
export const MAX_FLOOR_SHARE_OF_PRIORITIES = 1 / 2;
/** Weight of one observation in exponentially weighted moving averages. */
export const AVERAGE_WEIGHT = 0.1;
/** Round trip between regions plus the hop through another entry. */
export const OFFLOAD_COST_MS = 130;
/** Minimum gain in expected time for an offload to another region. */
export const OFFLOAD_MIN_GAIN_MS = 50;
/** Call to the scheduler of another domain of the region. */
export const PASS_COST_MS = 15;
/** Minimum gain in expected time for a pass to another domain. */
export const PASS_MIN_GAIN_MS = 25;
/** Work that is accepted now competes with what arrives within this time. */
export const LOAD_HORIZON_MS = 1_000;
/** Capacity digests older than this are ignored. */
export const DIGEST_EXPIRY_MS = 1_500;
/** Room in older ones may be taken, or out of reach behind a cut link. */
export const EARLY_MOVE_DIGEST_AGE_MS = 700;
/** Long enough for a short load peak to pass. */
export const MIN_RETRY_AFTER_MS = 300;
export const MAX_RETRY_AFTER_MS = 3_000;
/** Lost upstreams and regions take seconds to return. */
export const NO_UPSTREAM_RETRY_AFTER_MS = 2_000;
/** A refusal without an allowed region holds for about one digest interval. */
export const NO_UPSTREAM_CLOSED_MS = 200;
/** Share of its tolerated request rate that a cold upstream gets. */
export const COLD_RATE_SHARE = 0.85;
/**
 * Share of the rate limit that an upstream names which it gets. Two schedulers may
 * assign it while entries disagree on which of them are alive; together they stay
 * within half as much again.
 */
export const NAMED_RATE_SHARE = 0.75;
/**
 * An upstream that takes fewer requests, or none, still gets this many a second:
 * only an answer shows that the limit has ended.
 */
export const MIN_STARTS_PER_S = 0.1;
/** Maximum queue wait while the service has no usable upstream. */
export const NO_UPSTREAM_WAIT_MS = 400;
/** A placement without a release expires this long after its deadline. */
export const PLACEMENT_GRACE_MS = 2_000;
