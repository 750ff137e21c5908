import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type Digest, type UpstreamId} from '../../types/ids.js';
import {CrashLedger} from '../index.js';

const POISON = asId<Digest>('poison');
const BYSTANDER = asId<Digest>('bystander');
const upstreams = ['u1', 'u2', 'u3'].map(name => asId<UpstreamId>(name));
const [U1, U2, U3] = upstreams as [UpstreamId, UpstreamId, UpstreamId];
const QUARANTINE_MS = 60_000;

function ledger(): CrashLedger {
  return new CrashLedger(() => QUARANTINE_MS);
}

// Guards against a request that crashes upstreams one after another because its
// caller resends it, and against two concurrent trials of it.
test('a request that crashes its upstream runs at most once more', () => {
  const crashes = ledger();
  crashes.recordLoss(U1, [POISON, BYSTANDER], 0);
  const verdict = crashes.verdict(POISON, 0);
  assert.deepEqual(verdict, {kind: 'suspect', avoid: new Set([U1])});
  crashes.startTrial(POISON, U2);
  assert.equal(crashes.verdict(POISON, 0).kind, 'trial_running');
  const bystanderVerdict = crashes.verdict(BYSTANDER, 0);
  assert.deepEqual(bystanderVerdict, {
    kind: 'suspect',
    avoid: new Set([U1, U2]),
  });
  crashes.recordLoss(U2, [POISON], 1_000);
  assert.deepEqual(crashes.verdict(POISON, 1_000), {
    kind: 'quarantined',
    forMs: QUARANTINE_MS,
  });
  assert.equal(crashes.verdict(POISON, 61_000).kind, 'clear');
});

// Guards against requests that stay suspects although they caused no crash, or
// are quarantined for unrelated losses before and after a successful run.
test('a suspect is cleared by a successful run or after the suspicion expires', () => {
  const crashes = ledger();
  crashes.recordLoss(U1, [POISON, BYSTANDER], 0);
  crashes.startTrial(BYSTANDER, U3);
  crashes.recordSuccess(BYSTANDER, 1_000);
  assert.equal(crashes.verdict(BYSTANDER, 1_000).kind, 'clear');
  crashes.recordLoss(U2, [BYSTANDER], 2_000);
  assert.equal(crashes.verdict(BYSTANDER, 2_000).kind, 'suspect');
  assert.equal(crashes.verdict(POISON, 120_000).kind, 'clear');
});

// Guards against one more crash in every domain, and against stale gossip that
// makes a cleared request a suspect again.
test('losses imported from others count unless they were already cleared', () => {
  const here = ledger();
  const there = ledger();
  here.recordLoss(U1, [POISON, BYSTANDER], 0);
  const exported = here.exportEntries(0);
  there.importEntries(exported, 500);
  there.recordSuccess(BYSTANDER, 600);
  there.recordLoss(U2, [POISON, BYSTANDER], 1_000);
  there.importEntries(exported, 1_100);
  assert.equal(there.verdict(POISON, 1_100).kind, 'quarantined');
  assert.equal(there.verdict(BYSTANDER, 1_100).kind, 'suspect');
  here.importEntries(there.exportEntries(1_100), 1_200);
  assert.equal(here.verdict(POISON, 1_200).kind, 'quarantined');
  assert.equal(here.verdict(BYSTANDER, 1_200).kind, 'suspect');
});
