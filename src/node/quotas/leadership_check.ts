/**
 * Asks a quorum periodically whether this member still leads the control group. A
 * leader that was suspended may have been replaced without noticing it.
 */
import type {ReplicatedLog} from '../replication/replicated_log.js';
import type {Term} from '../types/ids.js';
import {instantNow, longestMsBetween} from './instant.js';
import type {Confirmation} from './quota_leader.js';

const CHECK_INTERVAL_MS = 50;
const CONFIRM_INTERVAL_MS = 250;

/** The part of a replicated log that the check uses. */
export type LeadershipLog = Pick<
  ReplicatedLog<unknown, unknown>,
  'status' | 'readBarrier'
>;

/** Reports each confirmed leadership of one member. */
export class LeadershipCheck {
  private timer: ReturnType<typeof setInterval> | undefined;
  private asked: Confirmation | undefined;

  constructor(
    private readonly log: LeadershipLog,
    private readonly onConfirmed: (confirmation: Confirmation) => void,
  ) {}

  start(): void {
    this.timer = setInterval(() => void this.check(), CHECK_INTERVAL_MS);
  }

  /** Confirms a leadership again with the next check, for a new state. */
  renew(): void {
    this.asked = undefined;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async check(): Promise<void> {
    const term = this.ledTerm();
    if (term === undefined) return;
    const askedAt = instantNow();
    // A new leader asks at once.
    const isDue =
      this.asked?.term !== term ||
      longestMsBetween(this.asked.askedAt, askedAt) >= CONFIRM_INTERVAL_MS;
    if (!isDue) return;
    this.asked = {term, askedAt};
    const read = await this.log.readBarrier();
    // The barrier may have been that of another leader.
    if (read.isOk() && this.ledTerm() === term) {
      this.onConfirmed({term, askedAt});
    }
  }

  private ledTerm(): Term | undefined {
    const {role, term} = this.log.status();
    return role === 'leader' ? term : undefined;
  }
}
