/** What upstreams have told this entry about sending them requests. */
import {monotonicNowMs} from '../clock/clock.js';
import type {UpstreamId} from '../types/ids.js';

/** A leaving upstream is gone, or at least listed as such, after this time. */
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

/** The upstreams to which one entry sends nothing for the time being. */
export class UpstreamNotices {
  private readonly untilMs = new Map<UpstreamId, number>();

  /** Records an answer and returns whether it says something new. */
  note(
    upstreamId: UpstreamId,
    {retryAfterMs = 0, isLeaving}: UpstreamNotice,
  ): boolean {
    const forMs = isLeaving ? LEAVING_RETENTION_MS : retryAfterMs;
    if (forMs <= 0) return false;
    const isNew = !this.forbids(upstreamId);
    const before = this.untilMs.get(upstreamId) ?? 0;
    this.untilMs.delete(upstreamId);
    this.untilMs.set(upstreamId, Math.max(before, monotonicNowMs() + forMs));
    const [oldest] = this.untilMs.keys();
    if (this.untilMs.size > MAX_UPSTREAMS && oldest !== undefined) {
      this.untilMs.delete(oldest);
    }
    return isNew;
  }

  /** Whether nothing may be sent to the upstream now. */
  forbids(upstreamId: UpstreamId): boolean {
    return (this.untilMs.get(upstreamId) ?? 0) > monotonicNowMs();
  }

  /** The upstreams to which nothing may be sent now. */
  forbidden(): readonly UpstreamId[] {
    const nowMs = monotonicNowMs();
    [...this.untilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([upstreamId]) => this.untilMs.delete(upstreamId));
    return [...this.untilMs.keys()];
  }
}
