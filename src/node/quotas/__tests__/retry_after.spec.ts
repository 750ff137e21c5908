import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  asId,
  asNumber,
  type InstanceId,
  type RegionId,
  type Term,
} from '../../types/ids.js';
import {
  MAX_RETRY_MS,
  RECOVERY_MS,
  REPORTS_WITHIN_MS,
  SUCCESSION_MS,
} from '../constants.js';
import {EntryQuotas} from '../entry_quotas.js';
import {DEFAULT_TOLERANCE} from '../limits.js';
import type {WorkspaceGrant, WorkspaceReport} from '../messages.js';
import {QuotaLeader} from '../quota_leader.js';
import {limitedWorkspace} from './support/quota_days.js';

const RATE_PER_S = 10;
const SPEC = limitedWorkspace(RATE_PER_S, 10);
const CONTROL = asId<InstanceId>('c0');
const TERM = 4;
const ANNOUNCE_INTERVAL_MS = 400;

function instant(atMs: number): {monotonicMs: number; wallMs: number} {
  return {monotonicMs: atMs, wallMs: atMs};
}

/** A leader of a later term than that of the first quota, and its entries. */
class Recovery {
  private readonly leader = new QuotaLeader(DEFAULT_TOLERANCE, 0);
  private sequence = 0;

  confirm(atMs: number): void {
    this.leader.confirm(
      {term: asNumber<Term>(TERM), askedAt: instant(atMs)},
      {workspaces: [SPEC], firstQuotaTerm: 1},
      atMs,
    );
  }

  announce(entry: string, atMs: number): void {
    this.leader.answer(identity(entry), undefined, instant(atMs));
  }

  ask(entry: string, atMs: number): WorkspaceGrant | undefined {
    this.sequence += 1;
    const {sequence} = this;
    const report = {term: TERM, sequence, workspaces: [FIRST_REPORT]};
    return this.leader.answer(identity(entry), report, instant(atMs))
      ?.workspaces[0];
  }
}

const FIRST_REPORT: WorkspaceReport = {
  workspace: SPEC.name,
  epoch: 1,
  version: 0,
  sharePerS: 0,
  ceilingUnits: 0,
  appliedUnits: 0,
  returnedUnits: 0,
  demandPerS: 1,
  largestUnits: 1,
  waitingUnits: 1,
  firstUnits: 1,
  refillUnits: 0,
};

function identity(entry: string) {
  const instanceId = asId<InstanceId>(entry);
  return {instanceId, region: asId<RegionId>('home'), incarnation: 1};
}

// Guards against callers that come back after 0.2 s again and again for 11 s, because
// they are told when an empty pool fills and not when the leader grants.
test('a leader that recovers tells when it grants', () => {
  const recovery = new Recovery();
  recovery.confirm(0);
  const first = recovery.ask('a', 100);
  const returnsAtMs = 101 + (first?.retryAfterMs ?? 0);
  recovery.confirm(returnsAtMs);
  const second = recovery.ask('a', returnsAtMs);
  assert.deepEqual([first?.grantedUnits, second?.grantedUnits], [0, 1]);
  assert.ok(returnsAtMs <= RECOVERY_MS + MAX_RETRY_MS);
});

// Guards against callers that are told 11 s although the recovery ends with the next
// announcements, and against the opposite with an entry that is lost.
test('a recovery that ends with the next reports is told as short', () => {
  const electedAtMs = 70_000;
  const told = [
    electedAtMs - ANNOUNCE_INTERVAL_MS,
    electedAtMs - RECOVERY_MS / 2,
  ].map(otherHeardAtMs => {
    const recovery = new Recovery();
    recovery.announce('b', otherHeardAtMs);
    recovery.confirm(electedAtMs);
    return recovery.ask('a', electedAtMs)?.retryAfterMs ?? 0;
  });
  const [ofReporting = 0, ofLost = 0] = told;
  assert.ok(ofReporting <= 1_500, `${ofReporting} ms`);
  assert.ok(ofLost >= RECOVERY_MS / 2, `${ofLost} ms`);
});

// Guards against 0.2 s while the leader is lost and its successor may not grant yet.
test('without a leader callers are told when the next one grants', () => {
  const quotas = new EntryQuotas(() => 2, 0);
  const told = [1_000, 2_000, 10_000, 60_000].map(atMs => {
    const verdict = quotas.lastResort(SPEC, 1, instant(atMs));
    return verdict.kind === 'refused' ? verdict.retryAfterMs : 0;
  });
  const boundMs = SUCCESSION_MS + RECOVERY_MS;
  assert.deepEqual(
    told.map(each => Math.floor(each / 100)),
    [
      1_000 + REPORTS_WITHIN_MS,
      RECOVERY_MS,
      boundMs - 10_000,
      MAX_RETRY_MS,
    ].map(each => Math.floor(each / 100)),
  );
});

// Guards against callers that all come back when the first of them is covered.
test('callers that are refused together are served when they return', () => {
  const quotas = new EntryQuotas(() => 2, 0);
  quotas.stateOf(SPEC.name, instant(0));
  const grant = {
    workspace: SPEC.name,
    version: 1,
    sharePerS: 5,
    ceilingUnits: 5,
    grantedUnits: 0,
    returnedUnits: 0,
    maxUnits: 3,
    retryAfterMs: 5_000,
  };
  const reply = {term: TERM, workspaces: [grant]};
  quotas.apply(CONTROL, reply, instant(0), instant(0));
  const returnsAtMs = Array.from({length: 15}, () => {
    const verdict = quotas.arrive(SPEC, 1, instant(1));
    return verdict.kind === 'refused' ? 1 + verdict.retryAfterMs : 0;
  });
  const again = returnsAtMs.map(
    atMs => quotas.arrive(SPEC, 1, instant(atMs)).kind,
  );
  assert.deepEqual(
    again,
    Array.from({length: 15}, () => 'admitted'),
  );
  assert.ok(Math.max(...returnsAtMs) <= 3_300);
});

// Guards against refusals at an entry that has a new table and no word of the leader.
test('an entry asks for the leader when it has its first quota', () => {
  const quotas = new EntryQuotas(() => 2, 0);
  quotas.retain(new Set([SPEC.name]), 60_000);
  const kinds = [60_001, 62_000].map(
    atMs => quotas.arrive(SPEC, 1, instant(atMs)).kind,
  );
  assert.deepEqual(kinds, ['ask', 'refused']);
});
