/** Checks that published state reaches all members of a domain in time. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, asNumber, type ConfigVersion} from '../../types/ids.js';
import {leave, publishInFlight, publishLoadReport} from '../commands.js';
import {advance, Cluster, pauseTimers, peerList} from './cluster.js';

test('members, load reports and in-flight counts reach all members', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 8), 1);
  cluster.startAll();
  await advance(t, 3_000);
  const first = cluster.get('entry-0-00');
  publishLoadReport(first, {
    upstreamId: asId('worker-1'),
    takenAtMs: Date.now(),
    running: 3,
    queued: 1,
    loadedModels: [asId('caption')],
    leaving: false,
    cacheEventGap: true,
  });
  publishInFlight(first, new Map([[asId('worker-1'), 300]]));
  await advance(t, 3_000);
  cluster.members.forEach(member => {
    assert.equal(member.view.liveMembers().length, 8);
    assert.equal(member.view.joined(), true);
    const report = member.view.loadReports().get(asId('worker-1'));
    assert.equal(report?.running, 3);
    assert.equal(report?.cacheEventGap, true);
    const counts = member.view.inFlightOfOthers();
    const expected = member === first ? undefined : 300;
    assert.equal(counts.get(asId('worker-1')), expected);
  });
});

test('a planned leave reaches all 26 members within 2 s', async t => {
  pauseTimers(t);
  const cluster = new Cluster(peerList(1, 26), 2);
  cluster.startAll({configVersion: asNumber<ConfigVersion>(7)});
  await advance(t, 6_000);
  leave(cluster.get('entry-0-11'));
  await advance(t, 2_000);
  cluster.members.forEach(member =>
    assert.equal(member.view.liveMembers().length, 25),
  );
});
