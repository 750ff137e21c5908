/** Checks that all upstreams together run no more of a workspace than its quota. */
import {HEADER} from '../platform/headers.js';
import {broken} from './check_support.js';
import type {History, UpstreamRun} from './history.js';
import {QUOTA_TOLERANCE} from './layout.js';
import {WORKSPACES, type SoakWorkspace} from './workspaces.js';

const MS_PER_S = 1_000;

/** In no window more runs than the quota and its tolerance allow. */
export function checkQuotas({runs}: History): readonly string[] {
  return WORKSPACES.flatMap(workspace => {
    const {name, ratePerS} = workspace;
    if (ratePerS === undefined) return [];
    const own = runs.filter(run => run.headers[HEADER.workspace] === name);
    const mostUnits = mostBeyondRate(own, ratePerS, unitsOf(workspace));
    const allowedUnits = allowedBeyondRate(workspace, ratePerS);
    return broken(
      mostUnits > allowedUnits,
      `${name} ran ${Math.round(mostUnits)} units more in some window than its ` +
        `rate, ${Math.floor(allowedUnits)} are allowed`,
    );
  });
}

/** The burst, and what the tolerance adds in a window of its length. */
function allowedBeyondRate(
  {burst = 0, unit}: SoakWorkspace,
  ratePerS: number,
): number {
  const {windowMs, overage, slackTokens} = QUOTA_TOLERANCE;
  const windowUnits = burst + (ratePerS * windowMs) / MS_PER_S;
  return burst + overage * windowUnits + (unit === 'tokens' ? slackTokens : 0);
}

function unitsOf({unit, plainTokens = 0}: SoakWorkspace): number {
  return unit === 'tokens' ? plainTokens : 1;
}

/**
 * The most units by which any window exceeds its length times the rate. It is the
 * highest level of a bucket that drains at that rate.
 */
function mostBeyondRate(
  runs: readonly UpstreamRun[],
  ratePerS: number,
  units: number,
): number {
  const times = runs.map(run => run.startedAtMs).sort((a, b) => a - b);
  const bucket = {level: 0, highest: 0, atMs: 0};
  times.forEach(atMs => {
    const drained = ((atMs - bucket.atMs) * ratePerS) / MS_PER_S;
    bucket.level = Math.max(0, bucket.level - drained) + units;
    bucket.highest = Math.max(bucket.highest, bucket.level);
    bucket.atMs = atMs;
  });
  return bucket.highest;
}
