/** Routing policy from the answer to "what matters most?". */
import type {Answers} from './answers.js';
import type {PolicyConfig} from './configuration.js';
import {derived, type Traced} from './traced.js';

/** What each priority means for routing. */
interface PriorityWeights {
  /** Share of an urgent job's revenue that a wait of its target costs. */
  readonly waitShare: number;
  /** Share of the cheapest job's revenue that leaving home costs. */
  readonly awayShare: number;
  readonly awayHysteresis: number;
  readonly retryBudgetShare: number;
  readonly hedgeQuantile: number;
}

// With `cost`, a remote domain has to be clearly better, because work away
// from home is a measure of that deployment. A hedge runs some work twice, so
// only `tail_latency` pays for it.
const PRIORITY_WEIGHTS: Readonly<Record<Answers['priority'], PriorityWeights>> =
  {
    tail_latency: {
      waitShare: 0.5,
      awayShare: 0.02,
      awayHysteresis: 1.1,
      retryBudgetShare: 0.1,
      hedgeQuantile: 0.95,
    },
    cost: {
      waitShare: 0.8,
      awayShare: 0.25,
      awayHysteresis: 1.3,
      retryBudgetShare: 0.05,
      hedgeQuantile: 0,
    },
  };

const QUARANTINE_MS = 600_000;
const RECORD_RETENTION_MS = 86_400_000;
// Queueing twice the fleet's slots bounds the wait to about two jobs.
const QUEUED_PER_SLOT = 2;
const MIN_QUEUED_PER_ENTRY = 64;
const MAX_QUEUED_PER_ENTRY = 4_096;
// A loaded engine is slower than an idle one; these factors tell a slow
// upstream from a silent connection.
const FIRST_BYTE_PER_PREFILL = 10;
const MIN_FIRST_BYTE_TIMEOUT_MS = 2_000;
const PIECE_PER_DECODE = 40;
const MIN_PIECE_TIMEOUT_MS = 1_000;

/** The policy with its explanation. */
export function tracePolicy(answers: Answers): Traced<PolicyConfig> {
  const weights = PRIORITY_WEIGHTS[answers.priority];
  const by = (rule: string): string => `priority ${answers.priority}: ${rule}`;
  return {
    latencyMicrosPerMs: derived(
      latencyMicrosPerMs(answers, weights.waitShare),
      [
        'priority',
        'ranks[0].revenuePerJobMicros',
        'ranks[0].firstTokenTargetMs',
      ],
      by(
        `waiting for the first-token target costs ${weights.waitShare} of the revenue of a job of the most urgent rank`,
      ),
    ),
    awayPenaltyMicros: derived(
      awayPenaltyMicros(answers, weights.awayShare),
      ['priority', 'ranks'],
      by(
        `leaving home costs ${weights.awayShare} of the lowest revenue per job`,
      ),
    ),
    awayHysteresis: derived(
      weights.awayHysteresis,
      'priority',
      by('factor by which a remote domain must be better'),
    ),
    retryBudgetShare: derived(
      weights.retryBudgetShare,
      'priority',
      by('retries as a share of first tries'),
    ),
    hedgeQuantile: derived(
      weights.hedgeQuantile,
      'priority',
      by('hedging of idempotent urgent calls, 0 for none'),
    ),
    ...traceLimits(answers),
  };
}

type Limits = Pick<
  PolicyConfig,
  | 'quarantineMs'
  | 'recordRetentionMs'
  | 'maxQueuedPerEntry'
  | 'firstByteTimeoutMs'
  | 'pieceTimeoutMs'
>;

function traceLimits(answers: Answers): {
  readonly [Key in keyof Limits]: Traced<Limits[Key]>;
} {
  return {
    quarantineMs: derived(
      QUARANTINE_MS,
      [],
      'constant: a quarantined request may be tried again after 10 minutes',
    ),
    recordRetentionMs: derived(
      RECORD_RETENTION_MS,
      [],
      'constant: records of non-idempotent calls are kept for 24 hours',
    ),
    maxQueuedPerEntry: derived(
      maxQueuedPerEntry(answers),
      ['upstreams', 'instances'],
      `${QUEUED_PER_SLOT} times all slots divided by the entry instances, within ${MIN_QUEUED_PER_ENTRY} and ${MAX_QUEUED_PER_ENTRY}`,
    ),
    firstByteTimeoutMs: derived(
      Math.max(
        MIN_FIRST_BYTE_TIMEOUT_MS,
        FIRST_BYTE_PER_PREFILL * largest(answers, 'prefillMs'),
      ),
      'models',
      `${FIRST_BYTE_PER_PREFILL} times the longest prefillMs, at least ${MIN_FIRST_BYTE_TIMEOUT_MS} ms`,
    ),
    pieceTimeoutMs: derived(
      Math.max(
        MIN_PIECE_TIMEOUT_MS,
        PIECE_PER_DECODE * largest(answers, 'decodeMs'),
      ),
      'models',
      `${PIECE_PER_DECODE} times the longest decodeMs, at least ${MIN_PIECE_TIMEOUT_MS} ms`,
    ),
  };
}

function largest(answers: Answers, key: 'prefillMs' | 'decodeMs'): number {
  return Math.max(0, ...answers.models.map(model => model[key]));
}

function latencyMicrosPerMs(answers: Answers, waitShare: number): number {
  const [urgent] = answers.ranks;
  if (urgent === undefined) return 0;
  return (waitShare * urgent.revenuePerJobMicros) / urgent.firstTokenTargetMs;
}

function awayPenaltyMicros(answers: Answers, awayShare: number): number {
  const revenues = answers.ranks.map(rank => rank.revenuePerJobMicros);
  return awayShare * Math.min(...revenues);
}

function maxQueuedPerEntry(answers: Answers): number {
  const slots = answers.upstreams
    .map(upstream =>
      upstream.kind === 'model'
        ? upstream.slots
        : upstream.services.reduce((sum, {slots}) => sum + slots, 0),
    )
    .reduce((sum, count) => sum + count, 0);
  const entries = answers.instances.filter(
    instance => instance.innerAddress !== undefined,
  );
  const share = Math.ceil((QUEUED_PER_SLOT * slots) / entries.length);
  return Math.min(MAX_QUEUED_PER_ENTRY, Math.max(MIN_QUEUED_PER_ENTRY, share));
}
