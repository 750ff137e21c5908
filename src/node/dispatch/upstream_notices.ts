/** What upstreams have told this entry about sending them requests. */
import {monotonicNowMs} from '../clock/clock.js';
import type {UpstreamProcessId} from '../types/ids.js';

/** A leaving process is gone, or at least listed as such, after this time. */
const LEAVING_RETENTION_MS = 120_000;
/** Upstreams kept; the oldest notices are dropped first. */
const MAX_UPSTREAMS = 1_024;

/** What one answer says. */
export interface UpstreamNotice {
  /** It turns the request away, and wants no other one for this long. */
  readonly retryAfterMs?: number | undefined;
  /** It is about to stop. */
  readonly isLeaving: boolean;
}

/**
 * The upstreams to which one entry sends nothing for the time being. What one
 * process says does not bind the next one under the same id.
 */
export class UpstreamNotices {
  private readonly untilMs = new Map<UpstreamProcessId, number>();
  private readonly leaving = new Set<UpstreamProcessId>();

  /** Records an answer and returns whether it says something new. */
  note(
    processId: UpstreamProcessId,
    {retryAfterMs = 0, isLeaving}: UpstreamNotice,
  ): boolean {
    const forMs = isLeaving ? LEAVING_RETENTION_MS : retryAfterMs;
    if (forMs <= 0) return false;
    const isNew = isLeaving
      ? !this.leaving.has(processId)
      : !this.forbids(processId);
    if (isLeaving) this.leaving.add(processId);
    const before = this.untilMs.get(processId) ?? 0;
    this.untilMs.delete(processId);
    this.untilMs.set(processId, Math.max(before, monotonicNowMs() + forMs));
    const [oldest] = this.untilMs.keys();
    if (this.untilMs.size > MAX_UPSTREAMS && oldest !== undefined) {
      this.forget(oldest);
    }
    return isNew;
  }

  /** Whether nothing may be sent to the upstream now. */
  forbids(processId: UpstreamProcessId): boolean {
    return (this.untilMs.get(processId) ?? 0) > monotonicNowMs();
  }

  /** The upstreams to which nothing may be sent now. */
  forbidden(): readonly UpstreamProcessId[] {
    const nowMs = monotonicNowMs();
    [...this.untilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([processId]) => this.forget(processId));
    return [...this.untilMs.keys()];
  }

  /** Ends the pause of an upstream that is at its address after all. */
  lift(processId: UpstreamProcessId): void {
    if (!this.leaving.has(processId)) this.forget(processId);
  }

  private forget(processId: UpstreamProcessId): void {
    this.untilMs.delete(processId);
    this.leaving.delete(processId);
  }
}
