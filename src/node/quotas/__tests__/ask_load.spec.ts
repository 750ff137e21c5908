import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {ANNOUNCE_INTERVAL_MS} from '../../fleet/constants.js';
import {
  playGateDay,
  STEP_MS,
  type GateDayResult,
  type GateDecision,
} from './support/gate_days.js';
import {limitedWorkspace} from './support/quota_days.js';

const TOLERANCE = {windowMs: 8_000, overage: 0.1, slackTokens: 0};
const RATE_PER_S = 100_000;
const ENTRIES = 12;
const PER_REGION = 4;
const PERIOD_MS = 8_000;
const LENGTH_MS = 32_000;
/** After a move, leases may lag for so long. */
const SETTLE_MS = 2_000;
const MAX_WRONGLY_REFUSED = 0.02;
const TARGET_LATENCY_MS = 1_000;
/** A request may wait for its quota for so long. */
const MAX_WAIT_MS = TARGET_LATENCY_MS / 4;
const MIN_ASK_INTERVAL_MS = 100;
const PERIODIC_PER_S = 1_000 / ANNOUNCE_INTERVAL_MS;
/** Between regions, and inside one. */
const DELAYS_MS = [55, 1];
const REQUEST_UNITS = [500, 3_000];

const CASES = DELAYS_MS.flatMap(delayMs =>
  REQUEST_UNITS.map(requestUnits => ({
    delayMs,
    requestUnits,
    title: `${requestUnits} units a request, ${delayMs} ms one way`,
  })),
);
type Case = (typeof CASES)[number];

/** Plays a day with an even demand in units a second. */
function play(
  t: TestContext,
  {delayMs, requestUnits}: Case,
  demandPerS: (entry: number, atMs: number) => number,
): Promise<GateDayResult> {
  const owed = new Map<number, number>();
  return playGateDay(t, {
    entries: ENTRIES,
    spec: limitedWorkspace(RATE_PER_S, RATE_PER_S),
    tolerance: TOLERANCE,
    lengthMs: LENGTH_MS,
    delayMs,
    targetLatencyMs: TARGET_LATENCY_MS,
    arrivals: (entry, atMs) => {
      const wanted = (demandPerS(entry, atMs) * STEP_MS) / 1_000;
      const units = (owed.get(entry) ?? 0) + wanted;
      const count = Math.floor(units / requestUnits);
      owed.set(entry, units - count * requestUnits);
      return Array.from({length: count}, () => requestUnits);
    },
  });
}

/** Units of settled decisions, as a part of what the quota allows. */
function partOfQuota(
  {decisions}: GateDayResult,
  isCounted: (decision: GateDecision) => boolean,
): number {
  const settledMs = LENGTH_MS * (1 - SETTLE_MS / PERIOD_MS);
  return (
    decisions
      .filter(each => each.arrivedAtMs % PERIOD_MS >= SETTLE_MS)
      .filter(isCounted)
      .reduce((sum, {units}) => sum + units, 0) /
    ((RATE_PER_S * settledMs) / 1_000)
  );
}

function askedPerS({askedAtMs}: GateDayResult): number {
  return Math.max(...askedAtMs.map(each => (each.length * 1_000) / LENGTH_MS));
}

/** Checks that hold on each day. */
function assertBounds({askedAtMs, decisions}: GateDayResult): void {
  // The first one looks for the leader; the first report follows its reply at once.
  const gapsMs = askedAtMs.flatMap(([, ...times]) =>
    times.slice(1).map((atMs, position) => atMs - (times[position] ?? 0)),
  );
  assert.ok(Math.min(...gapsMs, MIN_ASK_INTERVAL_MS) >= MIN_ASK_INTERVAL_MS);
  const longestMs = Math.max(...decisions.map(each => each.waitedMs));
  assert.ok(longestMs <= MAX_WAIT_MS, `waited ${longestMs} ms`);
}

CASES.forEach(each => {
  // Guards against an entry that asks for nearly each request although its share and
  // what it has in advance would do, which costs a small machine its processor time.
  test(`steady demand below the limit is rarely asked for: ${each.title}`, async t => {
    const day = await play(t, each, entry =>
      entry === 0 ? 0.8 * RATE_PER_S : 0,
    );
    assertBounds(day);
    assert.ok(askedPerS(day) < 1, `${askedPerS(day)} a second`);
    const refused = partOfQuota(day, ({isAdmitted}) => !isAdmitted);
    assert.ok(refused <= MAX_WRONGLY_REFUSED, `${refused} refused`);
  });

  // Guards against the same with demand at all entries: those with a lease each kept a
  // little too much of it, which left none to the last one.
  test(`even demand at all entries is rarely asked for: ${each.title}`, async t => {
    const day = await play(t, each, () => (0.8 * RATE_PER_S) / ENTRIES);
    assertBounds(day);
    assert.ok(askedPerS(day) < 1, `${askedPerS(day)} a second`);
    const refused = partOfQuota(day, ({isAdmitted}) => !isAdmitted);
    assert.ok(refused <= MAX_WRONGLY_REFUSED, `${refused} refused`);
  });

  // Guards against asks that are spared where they are needed.
  test(`demand that moves to another region is served: ${each.title}`, async t => {
    const day = await play(t, each, (entry, atMs) => {
      const peak = Math.floor(atMs / PERIOD_MS) % 3;
      const isPeak = Math.floor(entry / PER_REGION) === peak;
      return (0.9 * RATE_PER_S * (isPeak ? 0.88 : 0.06)) / PER_REGION;
    });
    assertBounds(day);
    assert.ok(askedPerS(day) <= PERIODIC_PER_S, `${askedPerS(day)} a second`);
    const refused = partOfQuota(day, ({isAdmitted}) => !isAdmitted);
    assert.ok(refused <= MAX_WRONGLY_REFUSED, `${refused} refused`);
  });

  // Guards against a workspace over its quota whose entries ask all the time for a
  // pool that is empty, and against units that nobody gets.
  test(`a workspace at ten times its quota asks seldom: ${each.title}`, async t => {
    const day = await play(t, each, entry =>
      entry < PER_REGION ? (10 * RATE_PER_S) / PER_REGION : 0,
    );
    assertBounds(day);
    assert.ok(
      askedPerS(day) <= 2 * PERIODIC_PER_S,
      `${askedPerS(day)} a second`,
    );
    const admitted = partOfQuota(day, ({isAdmitted}) => isAdmitted);
    assert.ok(admitted >= 1 - MAX_WRONGLY_REFUSED, `${admitted} admitted`);
  });
});
