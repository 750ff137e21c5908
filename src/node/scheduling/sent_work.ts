/** What this scheduler sent to another domain and its digest cannot show yet. */
import type {WorkSize} from './placement_cost.js';

/** A request that left this long before a digest arrives may not be in it. */
const IN_FLIGHT_MS = 120;
/** Requests that hold slots briefly are counted by their rate over this time. */
const MIN_PERIOD_MS = 250;

interface SentRequest extends WorkSize {
  readonly atMs: number;
  readonly tokens: number;
}

/** Sums over the requests sent. */
export interface SentTotals {
  readonly requests: number;
  readonly tokens: number;
  /** Slots that they hold on average. */
  readonly slots: number;
  readonly prefillMs: number;
}

const NOTHING: SentTotals = {requests: 0, tokens: 0, slots: 0, prefillMs: 0};

/** The requests sent to one domain since its last digest. */
export class SentWork {
  private sent: readonly SentRequest[] = [];

  add(size: WorkSize, tokens: number, nowMs: number): void {
    this.sent = [...this.sent, {...size, tokens, atMs: nowMs}];
  }

  /** Forgets what a digest that arrives now includes. */
  noteDigest(nowMs: number): void {
    this.sent = this.sent.filter(({atMs}) => nowMs - atMs < IN_FLIGHT_MS);
  }

  totals(nowMs: number): SentTotals {
    const [first] = this.sent;
    if (first === undefined) return NOTHING;
    const periodMs = Math.max(MIN_PERIOD_MS, nowMs - first.atMs);
    return this.sent.reduce<SentTotals>(
      (totals, {slotMs, prefillMs, tokens}) => ({
        requests: totals.requests + 1,
        tokens: totals.tokens + tokens,
        slots: totals.slots + slotMs / Math.max(periodMs, slotMs),
        prefillMs: totals.prefillMs + prefillMs,
      }),
      NOTHING,
    );
  }
}
