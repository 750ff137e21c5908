import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {QuotaTolerance} from '../limits.js';
import {
  limitedWorkspace,
  QuotaDays,
  STEP_MS,
  type Decision,
} from './support/quota_days.js';

const TOLERANCE: QuotaTolerance = {
  windowMs: 8_000,
  overage: 0.1,
  slackTokens: 20_000,
};
const SEED = 7;
const ENTRIES = 12;
const PER_REGION = 4;
const PERIOD_MS = 8_000;
const LENGTH_MS = 32_000;
/** After a move, leases may lag for so long. */
const SETTLE_MS = 2_000;
const RATE_PER_S = 100_000;
const MAX_WRONGLY_REFUSED = 0.02;
const ROUND_TRIP_BETWEEN_REGIONS_MS = 110;

function randomFrom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Regions have most of the demand in turn. */
function play(demandShare: number, requestUnits: number): readonly Decision[] {
  const random = randomFrom(SEED);
  return new QuotaDays({
    entries: ENTRIES,
    spec: limitedWorkspace(RATE_PER_S, RATE_PER_S),
    tolerance: TOLERANCE,
    lengthMs: LENGTH_MS,
    faults: [],
    random,
    delayMs: () => ROUND_TRIP_BETWEEN_REGIONS_MS / 2,
    arrivals: (entry, atMs) => {
      const peak = Math.floor(atMs / PERIOD_MS) % 3;
      const isPeak = Math.floor(entry / PER_REGION) === peak;
      const part = (isPeak ? 0.88 : 0.06) / PER_REGION;
      const units = (demandShare * RATE_PER_S * part * STEP_MS) / 1_000;
      const count = units / requestUnits;
      const whole = Math.floor(count);
      const extra = random() < count - whole ? 1 : 0;
      return Array.from({length: whole + extra}, () => requestUnits);
    },
  }).run();
}

function sumUnits(
  decisions: readonly Decision[],
  isCounted: (decision: Decision) => boolean,
): number {
  return decisions.filter(isCounted).reduce((sum, {units}) => sum + units, 0);
}

const isSettled = ({atMs}: Decision): boolean => atMs % PERIOD_MS >= SETTLE_MS;

[200, 3_000].forEach(requestUnits => {
  // Guards against shares that stay where the demand was: a workspace below its
  // quota was refused in the region that its callers had moved to.
  test(`demand of ${requestUnits} units a request that moves is not refused`, () => {
    const decisions = play(0.9, requestUnits);
    const refused = sumUnits(
      decisions,
      each => isSettled(each) && !each.isAdmitted,
    );
    const settledMs = LENGTH_MS * (1 - SETTLE_MS / PERIOD_MS);
    const allowed = (RATE_PER_S * settledMs) / 1_000;
    assert.ok(refused <= MAX_WRONGLY_REFUSED * allowed);
  });

  // Guards against units that are held where nobody needs them.
  test(`a workspace over its quota uses all of it, ${requestUnits} units a request`, () => {
    const decisions = play(3, requestUnits);
    const admitted = sumUnits(
      decisions,
      each => isSettled(each) && each.isAdmitted,
    );
    const settledMs = LENGTH_MS * (1 - SETTLE_MS / PERIOD_MS);
    const allowed = (RATE_PER_S * settledMs) / 1_000;
    assert.ok(admitted >= (1 - MAX_WRONGLY_REFUSED) * allowed);
  });
});
