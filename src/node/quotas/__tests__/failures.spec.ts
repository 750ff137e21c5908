import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  limitedWorkspace,
  QuotaDays,
  STEP_MS,
  type Decision,
  type TimedFault,
} from './support/quota_days.js';

const ENTRIES = 12;
const PER_REGION = 4;
const RATE_PER_S = 100_000;
const REQUEST_UNITS = 500;
const FAULT_AT_MS = 20_000;
const TOLERANCE = {windowMs: 8_000, overage: 0.1, slackTokens: 0};

/** Plays a day at six tenths of the rate; returns the decisions from the fault on. */
function play(
  faults: readonly TimedFault[],
  {startsAtMs = 0, untilMs}: {startsAtMs?: number; untilMs: number},
): readonly Decision[] {
  const perStep = (0.6 * RATE_PER_S * STEP_MS) / 1_000 / ENTRIES;
  const owed = new Map<number, number>();
  return new QuotaDays({
    entries: ENTRIES,
    spec: limitedWorkspace(RATE_PER_S, RATE_PER_S),
    tolerance: TOLERANCE,
    lengthMs: untilMs,
    faults,
    random: () => 0.5,
    delayMs: () => 55,
    arrivals: (entry, atMs) => {
      if (atMs < startsAtMs) return [];
      const units = (owed.get(entry) ?? 0) + perStep;
      const count = Math.floor(units / REQUEST_UNITS);
      owed.set(entry, units - count * REQUEST_UNITS);
      return Array.from({length: count}, () => REQUEST_UNITS);
    },
  })
    .run()
    .filter(each => each.atMs >= FAULT_AT_MS);
}

function shareRefused(decisions: readonly Decision[]): number {
  const refused = decisions.filter(each => !each.isAdmitted).length;
  return refused / decisions.length;
}

function newLeader(member: number): TimedFault {
  return {kind: 'new_leader', member, atMs: FAULT_AT_MS, forMs: 0};
}

// Guards against a new leader that lets nothing run until the leases of the one
// before have expired.
test('a change of the leader refuses nothing below the quota', () => {
  const decisions = play([newLeader(1)], {untilMs: 30_000});
  assert.equal(shareRefused(decisions), 0);
});

// The same for a workspace without leases, whose rate is all in the pool.
test('a workspace that begins after a change of the leader is served', () => {
  const decisions = play([newLeader(1)], {
    startsAtMs: FAULT_AT_MS + 3_000,
    untilMs: 30_000,
  });
  assert.equal(shareRefused(decisions), 0);
});

// The same right after it: all entries have reported within one interval of their
// announcements, so that the pool need not wait any longer.
test('a workspace that begins one interval after a change of the leader is served', () => {
  const confirmedWithinMs = 250;
  const intervalMs = 400;
  const messagesMs = 3 * 55;
  const recoveredAtMs =
    FAULT_AT_MS + confirmedWithinMs + intervalMs + messagesMs;
  const decisions = play([newLeader(1)], {
    startsAtMs: recoveredAtMs + STEP_MS,
    untilMs: 30_000,
  });
  assert.equal(shareRefused(decisions), 0);
});

// Guards against a region that refuses all while it cannot reach the leader.
test('a region that is cut off goes on with its share', () => {
  const cuts = Array.from({length: PER_REGION}, (_, entry): TimedFault => {
    return {kind: 'cut', entry, atMs: FAULT_AT_MS, forMs: 6_000};
  });
  const decisions = play(cuts, {untilMs: 30_000});
  assert.equal(shareRefused(decisions), 0);
});

// Guards against leases of ended processes that are missing until they expire.
test('entries that all restart at once soon use the whole quota again', () => {
  const restarts = Array.from({length: ENTRIES}, (_, entry): TimedFault => {
    return {kind: 'restart', entry, atMs: FAULT_AT_MS, forMs: 0};
  });
  const decisions = play(restarts, {untilMs: 30_000});
  const settled = decisions.filter(each => each.atMs >= FAULT_AT_MS + 1_000);
  assert.equal(shareRefused(settled), 0);
});
