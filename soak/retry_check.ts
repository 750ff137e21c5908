/** Checks that all upstreams together get few requests more than once. */
import {broken} from './check_support.js';
import type {History, UpstreamArrival} from './history.js';
import {RETRY_BUDGET} from './layout.js';

/** Statuses of requests that an entry refuses for their key or their quota. */
const REFUSED_AT_ENTRY: readonly number[] = [401, 429];

/** The arrivals beyond the first of each request in one window. */
interface Window {
  readonly repeats: number;
  readonly requests: number;
  readonly allowed: number;
}

/** In no window there are more repeats than the retry budget allows. */
export function checkRetries(history: History): readonly string[] {
  const excess = ({repeats, allowed}: Window): number => repeats - allowed;
  const worst = windowsOf(history).reduce<Window | undefined>(
    (most, each) =>
      most === undefined || excess(each) > excess(most) ? each : most,
    undefined,
  );
  if (worst === undefined) return [];
  const {repeats, requests, allowed} = worst;
  return broken(
    repeats > allowed,
    `${repeats} repeated arrivals in a window with ${requests} requests, ` +
      `${Math.floor(allowed)} are allowed`,
  );
}

/** The windows that end with a repeat. */
function windowsOf({arrivals, calls}: History): readonly Window[] {
  const {ratio, windowMs, slack} = RETRY_BUDGET;
  const repeatedAtMs = repeatsOf(arrivals).map(each => each.arrivedAtMs);
  const sentAtMs = calls
    .filter(call => !REFUSED_AT_ENTRY.includes(call.status))
    .map(call => call.sentAtMs);
  const countBefore = (times: readonly number[], endMs: number): number =>
    times.filter(atMs => atMs > endMs - windowMs && atMs <= endMs).length;
  return repeatedAtMs.map(endMs => {
    // Requests may have been sent a while before they are repeated.
    const requests = Math.max(
      ...[0, windowMs / 2, windowMs].map(earlierMs =>
        countBefore(sentAtMs, endMs - earlierMs),
      ),
    );
    const allowed = ratio * requests + slack;
    return {repeats: countBefore(repeatedAtMs, endMs), requests, allowed};
  });
}

function repeatsOf(
  arrivals: readonly UpstreamArrival[],
): readonly UpstreamArrival[] {
  const arrived = new Set<string>();
  return [...arrivals]
    .sort((left, right) => left.arrivedAtMs - right.arrivedAtMs)
    .filter(({attemptId}) => {
      const isRepeat = arrived.has(attemptId);
      arrived.add(attemptId);
      return isRepeat;
    });
}
