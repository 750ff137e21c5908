/**
 * How long recent requests of each route took, for an entry that stops: a request
 * that is not likely to end in time is better refused, as not run, than cut.
 */
import type {RouteId} from '../types/ids.js';

/** Durations count for one to two of these: load changes within seconds. */
const PERIOD_MS = 5_000;

interface RecentDurations {
  periodStartMs: number;
  /** The longest of the current period and of the one before it. */
  longestMs: number;
  previousLongestMs: number;
}

/** The longest recent durations of one entry. */
export class RequestDurations {
  private readonly recent = new Map<RouteId, RecentDurations>();

  /** Records a request that was answered whole. */
  note(route: RouteId, durationMs: number, nowMs: number): void {
    const durations = this.current(route, nowMs);
    durations.longestMs = Math.max(durations.longestMs, durationMs);
    if (!this.recent.has(route)) this.dropOld(nowMs);
    this.recent.set(route, durations);
  }

  /** Routes for which durations are kept. */
  get size(): number {
    return this.recent.size;
  }

  /** The longest duration of the last seconds, `undefined` without any. */
  longestMs(route: RouteId, nowMs: number): number | undefined {
    const {longestMs, previousLongestMs} = this.current(route, nowMs);
    const recentMs = Math.max(longestMs, previousLongestMs);
    return recentMs === 0 ? undefined : recentMs;
  }

  // Configurations may rename their routes without end.
  private dropOld(nowMs: number): void {
    [...this.recent]
      .filter(([, {periodStartMs}]) => nowMs - periodStartMs >= 2 * PERIOD_MS)
      .forEach(([route]) => this.recent.delete(route));
  }

  private current(route: RouteId, nowMs: number): RecentDurations {
    const known = this.recent.get(route);
    const ageMs = nowMs - (known?.periodStartMs ?? -Infinity);
    if (known !== undefined && ageMs < PERIOD_MS) return known;
    const isAdjacent = known !== undefined && ageMs < 2 * PERIOD_MS;
    return {
      periodStartMs: nowMs,
      longestMs: 0,
      previousLongestMs: isAdjacent ? known.longestMs : 0,
    };
  }
}
