import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {WorkspaceSpec} from '../../routes/route_table.js';
import {
  asId,
  asNumber,
  type InstanceId,
  type RegionId,
  type Term,
} from '../../types/ids.js';
import {RECOVERY_MS} from '../constants.js';
import {DEFAULT_TOLERANCE} from '../limits.js';
import type {WorkspaceReport} from '../messages.js';
import {QuotaLeader} from '../quota_leader.js';
import {limitedWorkspace} from './support/quota_days.js';

const BURST = 100;
const TERM = 4;
const LIMITED = limitedWorkspace(10, BURST);
const ENTRY = {
  instanceId: asId<InstanceId>('a'),
  region: asId<RegionId>('home'),
  incarnation: 1,
};
const FRESH_REPORT: WorkspaceReport = {
  workspace: LIMITED.name,
  epoch: 1,
  version: 0,
  sharePerS: 0,
  ceilingUnits: 0,
  appliedUnits: 0,
  returnedUnits: 0,
  demandPerS: 50,
  largestUnits: 1,
  waitingUnits: 20,
  firstUnits: 1,
  refillUnits: 0,
};

function instant(atMs: number): {monotonicMs: number; wallMs: number} {
  return {monotonicMs: atMs, wallMs: atMs};
}

/** A member, and what it grants to a request of 20 units. */
class Member {
  readonly leader = new QuotaLeader(DEFAULT_TOLERANCE, 0);
  private sequence = 0;

  confirm(
    atMs: number,
    workspaces: readonly WorkspaceSpec[],
    firstQuotaTerm?: number,
  ): void {
    this.leader.confirm(
      {term: asNumber<Term>(TERM), askedAt: instant(atMs)},
      {workspaces, firstQuotaTerm},
      atMs,
    );
  }

  grantedUnits(atMs: number): number | undefined {
    this.sequence += 1;
    const {sequence} = this;
    const report = {term: TERM, sequence, workspaces: [FRESH_REPORT]};
    const reply = this.leader.answer(ENTRY, report, instant(atMs));
    return reply?.workspaces[0]?.grantedUnits;
  }
}

// Guards against callers that are refused for the first 11 s of a deployment: its
// leader took the quotas of its first table for ones that others had leased.
test('the leader of the first quota grants the burst at once', () => {
  const granted = [TERM, TERM - 1, undefined].map(firstQuotaTerm => {
    const member = new Member();
    member.confirm(0, [LIMITED], firstQuotaTerm);
    return member.grantedUnits(1);
  });
  assert.deepEqual(granted, [20, 0, 0]);
});

// Guards against a burst beside the leases of a group whose disks were all lost.
test('an entry that is ahead of the leader shows that there was another group', () => {
  const member = new Member();
  member.leader.answer({...ENTRY, isOfOtherGroup: true}, undefined, instant(0));
  member.confirm(1, [LIMITED], TERM);
  assert.equal(member.grantedUnits(2), 0);
});

// Guards against two bursts of a workspace whose quota an earlier leader removed, and
// this one adds again while an entry that is cut off still has a lease.
test('a quota that comes back early may have leases of an earlier leader', () => {
  const early = new Member();
  early.confirm(0, [], TERM - 1);
  early.confirm(1_000, [LIMITED], TERM - 1);
  const late = new Member();
  late.confirm(0, [], TERM - 1);
  late.confirm(RECOVERY_MS, [LIMITED], TERM - 1);
  const granted = [
    early.grantedUnits(1_001),
    late.grantedUnits(RECOVERY_MS + 1),
  ];
  assert.deepEqual(granted, [0, 20]);
});
