/**
 * Tracks the health of the upstreams of one pool or domain: ejection after
 * failures, slow start after recovery, and upstreams that are leaving.
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

/** The source of the information that an upstream is leaving. */
export type LeavingSource =
  /** The upstream announced it. Holds until the upstream returns. */
  | 'notice'
  /** It refused a request. Expires after `REFUSAL_TTL_MS`. */
  | 'refusal'
  /** The platform lists it as leaving. Holds until the list changes. */
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
  /** When the slow start began, if there was one. */
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

  /** Adds an upstream that has just joined or rejoined: slow start. */
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
   * Records a failure caused by the upstream, not by a request. Returns true
   * if this failure ejected the upstream.
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
   * Records that an upstream is unreachable: it refused the connection of a
   * request or a poll, or the platform no longer lists the instance. The cap on
   * ejections does not apply, because requests sent there cannot succeed. Each
   * failed poll extends the ejection, and `recordReachable` ends it.
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
    // The poll is older than the failure, so its answer proves nothing.
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

  /** Clears the leaving mark of one source and begins a slow start. */
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

  /** Whether one more ejection stays within `MAX_EJECTED_SHARE`. */
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

/** The latest recovery: from an ejection, or from an expired refusal. */
function returnTimeMs(health: Health): number | undefined {
  const refusedAtMs = health.leaving.get('refusal');
  if (refusedAtMs === undefined) return health.returnedAtMs;
  return Math.max(
    refusedAtMs + REFUSAL_TTL_MS,
    health.returnedAtMs ?? -Infinity,
  );
}
