import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type InstanceId, type WorkspaceId} from '../../types/ids.js';
import {ASK_TIMEOUT_MS, SHARE_LEASE_MS} from '../constants.js';
import type {PoolLimits} from '../limits.js';
import type {WorkspaceReport} from '../messages.js';
import {WorkspacePool} from '../workspace_pool.js';

const WORKSPACE = asId<WorkspaceId>('limited');
const LIMITS: PoolLimits = {
  ratePerS: 1_000,
  capacityUnits: 1_000,
  heldUnits: 850,
  ceilingsUnits: 550,
  maxGrantUnits: 300,
};

function report(fields: Partial<WorkspaceReport>): WorkspaceReport {
  return {
    workspace: WORKSPACE,
    epoch: 1,
    version: 0,
    sharePerS: 0,
    ceilingUnits: 0,
    appliedUnits: 0,
    returnedUnits: 0,
    demandPerS: 0,
    largestUnits: 0,
    waitingUnits: 0,
    firstUnits: 0,
    refillUnits: 0,
    ...fields,
  };
}

function from(entry: string, sequence: number, incarnation = 1) {
  return {entry: asId<InstanceId>(entry), incarnation, sequence};
}

function freshPool(): WorkspacePool {
  return new WorkspacePool({
    limits: LIMITS,
    mayHavePredecessor: false,
    nowMs: 0,
  });
}

const BUSY = {demandPerS: 500, largestUnits: 1};

// Guards against two entries that hold the same room: one has not heard yet that its
// lease became smaller.
test('what an entry holds counts until it confirms a smaller lease', () => {
  const pool = freshPool();
  const first = pool.answer(from('a', 1), report(BUSY), 0);
  const held = {...BUSY, version: first?.version ?? 0};
  pool.answer(from('a', 2), report(held), 10);
  const before = pool.answer(from('b', 1), report(BUSY), 20);
  const told = pool.answer(from('a', 3), report(held), 30);
  const unconfirmed = pool.answer(from('b', 2), report(BUSY), 40);
  const confirmed = {...BUSY, version: told?.version ?? 0};
  pool.answer(from('a', 4), report(confirmed), 50);
  const after = pool.answer(from('b', 3), report(BUSY), 60);
  const ceiling = Math.round(first?.ceilingUnits ?? 0);
  assert.equal(ceiling, LIMITS.ceilingsUnits);
  assert.ok((told?.ceilingUnits ?? ceiling) < ceiling);
  assert.deepEqual(
    [before, unconfirmed].map(each => each?.ceilingUnits),
    [0, 0],
  );
  assert.ok((after?.ceilingUnits ?? 0) > 0);
});

// Guards against grants that are given again while the first ones are on their way.
test('a grant counts until the entry has it', () => {
  const pool = freshPool();
  const ask = {waitingUnits: 400, firstUnits: 100};
  const first = pool.answer(from('a', 1), report(ask), 0);
  const second = pool.answer(from('b', 1), report(ask), 0);
  const third = pool.answer(from('c', 1), report(ask), 0);
  assert.deepEqual(
    [first, second, third].map(each => each?.grantedUnits),
    [400, 400, 0],
  );
  assert.ok((third?.retryAfterMs ?? 0) > 0);
});

// Guards against a copy of a report, or one that was overtaken, that is granted again.
test('a report that came late changes nothing', () => {
  const pool = freshPool();
  const ask = {waitingUnits: 100, firstUnits: 100};
  pool.answer(from('a', 2), report(ask), 0);
  const late = pool.answer(from('a', 1), report(ask), 10);
  const ofEnded = pool.answer(from('a', 9, 0), report(ask), 10);
  assert.deepEqual([late, ofEnded], [undefined, undefined]);
  assert.equal(pool.reserved.transitUnits, 100);
});

// Guards against a new leader that gives away what entries got from the one before.
test('a leader with a predecessor waits until its leases have expired', () => {
  const pool = new WorkspacePool({
    limits: LIMITS,
    mayHavePredecessor: true,
    nowMs: 0,
  });
  const ask = {...BUSY, waitingUnits: 10, firstUnits: 10};
  const early = pool.answer(from('a', 1), report(ask), SHARE_LEASE_MS);
  const lateMs = SHARE_LEASE_MS + 2_000;
  pool.answer(from('a', 2), report(ask), lateMs);
  const later = pool.answer(from('a', 3), report(ask), lateMs + ASK_TIMEOUT_MS);
  assert.deepEqual([early?.grantedUnits, early?.sharePerS], [0, 0]);
  assert.ok((later?.grantedUnits ?? 0) > 0);
});
