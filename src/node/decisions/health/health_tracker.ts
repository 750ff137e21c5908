/**
 * The health of the upstreams of one pool or domain: ejection of those that
 * fail, slow start of those that return, and those that leave.
 */
import type {UpstreamId} from '../../types/ids.js';
import type {UpstreamState} from '../fleet/upstream_view.js';
import {
  BASE_EJECTION_MS,
  EJECTION_BACKOFF_RESET_MS,
  FAILURES_TO_EJECT,
  UNREACHABLE_EJECTION_MS,
  MAX_EJECTED_SHARE,
  MAX_EJECTION_MS,
  REFUSAL_TTL_MS,
} from './constants.js';
import {slowStartWeight} from './slow_start.js';

/** Who said that an upstream leaves. */
export type LeavingSource =
  /** The upstream itself. It holds until the upstream returns. */
  | 'notice'
  /** A refusal of work. It expires. */
  | 'refusal'
  /** The platform's list. It holds while the list says so. */
  | 'platform_list';

/** The health of one upstream now. */
export interface HealthVerdict {
  readonly state: UpstreamState;
  /** Share of its normal load that it may take. */
  readonly weight: number;
}

interface Health {
  consecutiveFailures: number;
  ejectionCount: number;
  ejectedUntilMs: number;
  unreachableUntilMs: number;
  /** Start of the slow start, if there was one. */
  returnedAtMs: number | undefined;
  leaving: Map<LeavingSource, number>;
}

/** Tracks the upstreams that are added to it. */
export class HealthTracker {
  private readonly upstreams = new Map<UpstreamId, Health>();

  /** Adds an upstream that is known to be warm, such as at a cold start. */
  add(upstreamId: UpstreamId): void {
    if (this.upstreams.has(upstreamId)) return;
    this.upstreams.set(upstreamId, createHealth(undefined));
  }

  /** Adds one that has just come, or one that came back: slow start. */
  addReturning(upstreamId: UpstreamId, nowMs: number): void {
    this.upstreams.set(upstreamId, createHealth(nowMs));
  }

  remove(upstreamId: UpstreamId): void {
    this.upstreams.delete(upstreamId);
  }

  recordSuccess(upstreamId: UpstreamId): void {
    const health = this.upstreams.get(upstreamId);
    if (health !== undefined) health.consecutiveFailures = 0;
  }

  /**
   * Records a failure of the upstream itself, not of a request. True if this
   * failure ejected it.
   */
  recordFailure(upstreamId: UpstreamId, nowMs: number): boolean {
    const health = this.upstreams.get(upstreamId);
    if (health === undefined || nowMs < health.ejectedUntilMs) return false;
    health.consecutiveFailures += 1;
    if (health.consecutiveFailures < FAILURES_TO_EJECT) return false;
    if (!this.mayEject(nowMs)) return false;
    const isRecent = nowMs - health.ejectedUntilMs < EJECTION_BACKOFF_RESET_MS;
    health.ejectionCount = isRecent ? health.ejectionCount + 1 : 1;
    health.consecutiveFailures = 0;
    const ejectionMs = BASE_EJECTION_MS * 2 ** (health.ejectionCount - 1);
    health.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
    health.returnedAtMs = health.ejectedUntilMs;
    return true;
  }

  /**
   * Records that nothing listens: a request or a poll was refused the
   * connection, or the platform no longer lists the instance. The cap on
   * ejections does not hold, because sending there cannot succeed; each failed
   * poll renews it, and `recordReachable` ends it.
   */
  recordUnreachable(upstreamId: UpstreamId, nowMs: number): void {
    const health = this.upstreams.get(upstreamId);
    if (health === undefined) return;
    health.unreachableUntilMs = nowMs + UNREACHABLE_EJECTION_MS;
    health.returnedAtMs = health.unreachableUntilMs;
  }

  /** Records that an upstream answered a poll that was sent at `sentAtMs`. */
  recordReachable(upstreamId: UpstreamId, sentAtMs: number): void {
    const health = this.upstreams.get(upstreamId);
    if (health === undefined || health.unreachableUntilMs <= sentAtMs) return;
    // Older than the loss: the answer was on its way when it happened.
    if (sentAtMs <= health.unreachableUntilMs - UNREACHABLE_EJECTION_MS) return;
    health.unreachableUntilMs = sentAtMs;
    health.returnedAtMs = sentAtMs;
  }

  markLeaving(
    upstreamId: UpstreamId,
    source: LeavingSource,
    nowMs: number,
  ): void {
    this.upstreams.get(upstreamId)?.leaving.set(source, nowMs);
  }

  /** Takes back what one source said; the upstream then starts slowly. */
  clearLeaving(
    upstreamId: UpstreamId,
    source: LeavingSource,
    nowMs: number,
  ): void {
    const health = this.upstreams.get(upstreamId);
    if (health?.leaving.delete(source) === true) health.returnedAtMs = nowMs;
  }

  /** The health of one upstream; an unknown one gets no work. */
  verdict(upstreamId: UpstreamId, nowMs: number): HealthVerdict {
    const health = this.upstreams.get(upstreamId);
    if (health === undefined) return {state: 'ejected', weight: 0};
    if (isLeaving(health, nowMs)) return {state: 'leaving', weight: 0};
    if (nowMs < Math.max(health.ejectedUntilMs, health.unreachableUntilMs)) {
      return {state: 'ejected', weight: 0};
    }
    return {
      state: 'ready',
      weight: slowStartWeight(returnTimeMs(health), nowMs),
    };
  }

  /** Whether one more ejection keeps enough upstreams in service. */
  private mayEject(nowMs: number): boolean {
    const all = [...this.upstreams.values()];
    const ejected = all.filter(each => nowMs < each.ejectedUntilMs).length;
    return ejected + 1 <= Math.floor(all.length * MAX_EJECTED_SHARE);
  }
}

function createHealth(returnedAtMs: number | undefined): Health {
  return {
    consecutiveFailures: 0,
    ejectionCount: 0,
    ejectedUntilMs: -Infinity,
    unreachableUntilMs: -Infinity,
    returnedAtMs,
    leaving: new Map(),
  };
}

function isLeaving(health: Health, nowMs: number): boolean {
  return [...health.leaving].some(
    ([source, sinceMs]) =>
      source !== 'refusal' || nowMs - sinceMs < REFUSAL_TTL_MS,
  );
}

/** The latest return: from ejection, or from a refusal that expired. */
function returnTimeMs(health: Health): number | undefined {
  const refusedAtMs = health.leaving.get('refusal');
  if (refusedAtMs === undefined) return health.returnedAtMs;
  return Math.max(
    refusedAtMs + REFUSAL_TTL_MS,
    health.returnedAtMs ?? -Infinity,
  );
}
