/**
 * Checks that message loss, partitions, crashes, restarts and frozen processes
 * neither cause false failure detection nor keep state from reaching all
 * members.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {
  asId,
  type ModelId,
  type RankId,
  type UpstreamId,
} from '../../types/ids.js';
import {
  publishInFlight,
  publishOwnSummary,
  publishQuarantine,
} from '../commands.js';
import type {Membership} from '../membership.js';
import {
  advance,
  Cluster,
  pauseTimers,
  peerList,
  seededRandom,
} from './cluster.js';

const UPSTREAM = asId<UpstreamId>('worker-1');

function liveCounts(cluster: Cluster): number[] {
  return [...cluster.members.values()].map(
    member => member.view.liveMembers().length,
  );
}

function partitionDomain(cluster: Cluster, prefix: string): void {
  cluster.network.loss = (from, to) =>
    from.startsWith(prefix) !== to.startsWith(prefix);
}

test('20% message loss for a minute at 26 members declares no member dead', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 26), 3);
  cluster.startAll();
  await advance(t, 4_000);
  const random = seededRandom(4);
  cluster.network.loss = () => random() < 0.2;
  const seen: number[] = [];
  for (let second = 0; second < 60; second++) {
    await advance(t, 1_000);
    seen.push(...liveCounts(cluster));
  }
  assert.equal(Math.min(...seen), 26);
});

test('a one-way cut between two members declares no member dead', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 8), 5);
  cluster.startAll();
  await advance(t, 3_000);
  cluster.network.loss = (from, to) =>
    from === '10.0.0.0:9000' && to === '10.0.0.1:9000';
  await advance(t, 30_000);
  assert.deepEqual(liveCounts(cluster), Array<number>(8).fill(8));
});

test('a partition splits the views and heals, also after origins are removed', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 8), 6);
  cluster.startAll();
  await advance(t, 3_000);
  const minority = ['10.0.0.0:9000', '10.0.0.1:9000', '10.0.0.2:9000'];
  cluster.network.loss = (from, to) =>
    minority.includes(from) !== minority.includes(to);
  await advance(t, 10_000);
  assert.deepEqual(liveCounts(cluster), [3, 3, 3, 5, 5, 5, 5, 5]);
  await advance(t, 70_000);
  cluster.network.loss = () => false;
  await advance(t, 8_000);
  assert.deepEqual(liveCounts(cluster), Array<number>(8).fill(8));
});

test('a restarted instance replaces its old incarnation', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 8), 7);
  let superseded = 0;
  cluster.startAll({onSuperseded: () => superseded++});
  const restarted = 'entry-0-03';
  publishInFlight(cluster.get(restarted), new Map([[UPSTREAM, 9]]));
  await advance(t, 4_000);
  const observer = cluster.get('entry-0-00');
  assert.equal(observer.view.inFlightOfOthers().get(UPSTREAM), 9);
  cluster.start(restarted, {incarnation: 2});
  await advance(t, 4_000);
  assert.equal(observer.view.inFlightOfOthers().get(UPSTREAM), undefined);
  const member = observer.view
    .members()
    .find(known => known.instanceId === restarted);
  assert.equal(member?.incarnation, 2);
  assert.equal(observer.view.liveMembers().length, 8);
  assert.equal(
    superseded,
    1,
    'the old process is notified that it was superseded',
  );
});

test('only the upstreams of a dead instance are reassigned', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 8), 8);
  cluster.startAll();
  await advance(t, 3_000);
  const upstreams = Array.from({length: 20}, (_, index) =>
    asId<UpstreamId>(`worker-${index}`),
  );
  const assignments = (): string[] =>
    upstreams.map(id =>
      [...cluster.members]
        .filter(([, member]) => member.view.polledUpstreams([id]).length > 0)
        .map(([name]) => name)
        .join(),
    );
  const before = assignments();
  cluster.kill('entry-0-02');
  await advance(t, 10_000);
  cluster.members.delete('entry-0-02');
  const after = assignments();
  before.forEach((owner, index) => {
    if (owner !== 'entry-0-02') assert.equal(after[index], owner);
  });
  matchSnapshot(import.meta.url, 'polling assignments', {before, after});
});

test('a process that was frozen declares no member dead', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 4), 9);
  cluster.startAll();
  await advance(t, 3_000);
  cluster.network.loss = () => true;
  t.mock.timers.setTime(Date.now() + 20_000);
  await advance(t, 1_000);
  assert.deepEqual(liveCounts(cluster), [4, 4, 4, 4]);
});

function linksSeen(member: Membership): string {
  return member.view
    .links()
    .map(link => `${link.domainId}:${link.state}`)
    .join(' ');
}

test('a domain that is cut off becomes unreachable and recovers', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(3, 4), 10);
  const changes: string[] = [];
  cluster.peers.forEach(peer =>
    cluster.start(peer.instanceId, {
      onLinkChange: (link, previous) => {
        if (peer.instanceId !== 'entry-0-03') return;
        changes.push(`${link.domainId} ${previous} -> ${link.state}`);
      },
    }),
  );
  await advance(t, 6_000);
  const observer = cluster.get('entry-0-03');
  const stale = (): string[] =>
    observer.view
      .domainSummaries()
      .filter(summary => summary.stale)
      .map(summary => summary.domainId);
  assert.equal(observer.view.domainSummaries().length, 2);
  assert.equal(observer.view.domainSummaries()[0]?.entries.length, 4);
  assert.deepEqual(stale(), []);
  partitionDomain(cluster, '10.2.');
  await advance(t, 14_000);
  assert.deepEqual(stale(), ['domain-2']);
  assert.equal(linksSeen(observer), 'domain-1:up domain-2:down');
  cluster.network.loss = () => false;
  await advance(t, 6_000);
  assert.deepEqual(stale(), []);
  assert.equal(linksSeen(observer), 'domain-1:up domain-2:up');
  matchSnapshot(import.meta.url, 'link changes', changes);
});

test('a domain that restarts receives complete summaries again', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(2, 3), 15);
  cluster.startAll();
  const offer = {
    modelId: asId<ModelId>('caption'),
    freeSlots: 130,
    queueWaitMs: 20,
    priceMicros: 900,
    rankWaits: [{rankId: asId<RankId>('urgent'), backlogMs: 15}],
  };
  publishOwnSummary(cluster.get('entry-0-00'), [offer]);
  publishOwnSummary(cluster.get('entry-0-01'), [offer]);
  await advance(t, 30_000);
  const domain = cluster.peers.filter(peer => peer.domainId === 'domain-1');
  domain.forEach(peer => cluster.kill(peer.instanceId));
  domain.forEach(peer => cluster.start(peer.instanceId, {incarnation: 2}));
  await advance(t, 6_000);
  domain.forEach(peer => {
    const [summary] = cluster.get(peer.instanceId).view.domainSummaries();
    assert.deepEqual(summary?.offers, [offer]);
    assert.equal(summary.entries.length, 3);
  });
});

test('both sides of a one-way cut between domains report the link down', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(2, 4), 11);
  cluster.startAll();
  await advance(t, 6_000);
  cluster.network.loss = (from, to) =>
    from.startsWith('10.0.') && to.startsWith('10.1.');
  await advance(t, 25_000);
  const seen = [...cluster.members.values()].map(linksSeen);
  assert.deepEqual([...new Set(seen)].sort(), [
    'domain-0:down',
    'domain-1:down',
  ]);
});

test('a quarantine entry reaches all domains and outlives its origin', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(3, 4), 12);
  cluster.startAll();
  await advance(t, 6_000);
  const digest = asId<never>('ab'.repeat(32));
  publishQuarantine(cluster.get('entry-1-02'), {
    digest,
    expiresAtMs: Date.now() + 600_000,
    reason: 'two upstreams were lost',
  });
  await advance(t, 6_000);
  const quarantinedCount = (): number =>
    [...cluster.members.values()].filter(member =>
      member.view.quarantine().has(digest),
    ).length;
  assert.equal(quarantinedCount(), 12);
  cluster.kill('entry-1-02');
  await advance(t, 80_000);
  cluster.kill('entry-1-03');
  const late = cluster.start('entry-1-03', {incarnation: 2});
  await advance(t, 4_000);
  assert.equal(
    late.view.quarantine().size,
    1,
    'an instance that joins later receives it',
  );
  t.mock.timers.setTime(Date.now() + 600_000);
  assert.equal(quarantinedCount(), 0, 'the entry expires');
});

// A caller that resends to another region at once would have one more upstream
// run a request that has crashed two.
test('a quarantine entry reaches all domains before the next summaries', async t => {
  pauseTimers(t);
  const waitsMs = [0, 200, 400, 600, 800];
  const reached: Record<string, number> = {};
  for (const [index, waitMs] of waitsMs.entries()) {
    const cluster = new Cluster(peerList(3, 3), 20 + index);
    cluster.network.oneWayMs = 55;
    cluster.startAll();
    await advance(t, 6_000 + waitMs);
    const digest = asId<never>('cd'.repeat(32));
    publishQuarantine(cluster.get('entry-1-02'), {
      digest,
      expiresAtMs: Date.now() + 600_000,
      reason: 'lost worker-1 worker-2',
    });
    await advance(t, 500);
    reached[`published ${waitMs} ms later`] = [
      ...cluster.members.values(),
    ].filter(member => member.view.quarantine().has(digest)).length;
    [...cluster.members.keys()].forEach(id => cluster.kill(id));
  }
  assert.deepEqual(
    reached,
    Object.fromEntries(waitsMs.map(ms => [`published ${ms} ms later`, 9])),
  );
});

test('one lost answer is retried before the exchange counts as failed', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 2), 13);
  cluster.startAll();
  await advance(t, 3_000);
  let lost = 0;
  cluster.network.loss = () => lost++ === 0;
  await advance(t, 3_000);
  const totals = [...cluster.members.values()].map(member =>
    member.view.counters(),
  );
  assert.equal(
    totals.reduce((sum, counters) => sum + counters.exchangesRetried, 0),
    1,
  );
  assert.equal(
    totals.reduce((sum, counters) => sum + counters.exchangesFailed, 0),
    0,
  );
});
