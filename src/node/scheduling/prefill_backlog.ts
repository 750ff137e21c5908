/**
 * The prompts that an engine has not read yet. Without reports they count as
 * read at the predicted rate. Engines read prompts in about the order in which
 * they get them, so while one is overdue, those after it are unread as well.
 */
import type {RequestId} from '../types/ids.js';

/** Predicted prefill times of the unread prompts of one engine. */
export class PrefillBacklog {
  private untilMs = 0;
  /** Prefill times of all prompts on the engine, in the order of arrival. */
  private readonly prefillMs = new Map<RequestId, number>();
  private readonly overdue = new Set<RequestId>();
  /** Prefill time from the first overdue prompt on; 0 if none is overdue. */
  private overdueMs = 0;

  /** Adds a prompt that is sent to the engine now. */
  add(requestId: RequestId, prefillMs: number, nowMs: number): void {
    this.untilMs = Math.max(this.untilMs, nowMs) + prefillMs;
    this.prefillMs.set(requestId, prefillMs);
    if (this.overdue.size > 0) this.overdueMs += prefillMs;
  }

  /** Records that a prompt was not read by the expected time. */
  noteOverdue(requestId: RequestId): void {
    this.overdue.add(requestId);
    this.updateOverdue();
  }

  /** Records that a prompt which was overdue has been read. */
  noteBegun(requestId: RequestId, nowMs: number): void {
    const entries = [...this.prefillMs];
    const position = entries.findIndex(([each]) => each === requestId);
    const later = entries.slice(position + 1);
    this.remove(requestId);
    this.untilMs = nowMs + sum(later.map(([, each]) => each));
  }

  /** Removes a prompt whose request has ended. */
  remove(requestId: RequestId): void {
    this.prefillMs.delete(requestId);
    if (this.overdue.delete(requestId)) this.updateOverdue();
  }

  clear(): void {
    this.untilMs = 0;
    this.prefillMs.clear();
    this.overdue.clear();
    this.overdueMs = 0;
  }

  /** Time until all prompts are read. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.untilMs - nowMs, this.overdueMs);
  }

  private updateOverdue(): void {
    const entries = [...this.prefillMs];
    const first = entries.findIndex(([each]) => this.overdue.has(each));
    this.overdueMs =
      first < 0 ? 0 : sum(entries.slice(first).map(([, each]) => each));
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, each) => total + each, 0);
}
