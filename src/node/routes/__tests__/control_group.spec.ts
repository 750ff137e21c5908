import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {ControlGroup} from './support/control_group.js';

const FIRST = ['a', 'b', 'c'];
/** Time in which members form a group and join it. */
const FORM_MS = 8_000;
/** Time in which a member that comes back has to count again. */
const CATCH_UP_MS = 4_000;
const DOWN_MS = 1_200;

/** A group of these members that has had the time to form. */
async function found(
  context: TestContext,
  members: readonly string[] = FIRST,
): Promise<ControlGroup> {
  pauseClock(context);
  const group = new ControlGroup(context, FIRST);
  group.start(members, true);
  await group.advance(FORM_MS);
  return group;
}

/** A member loses its disk and is back in time for what is read then. */
async function loseDisk(group: ControlGroup, name: string): Promise<void> {
  group.kill(name, true);
  await group.advance(DOWN_MS);
  group.start([name]);
  await group.advance(CATCH_UP_MS);
}

// Guards against the vote of a replaced member that counts towards the quorum
// for good: the next lost disk would end the group.
test('a lost disk after a planned replacement leaves a quorum', async context => {
  const group = await found(context);
  assert.ok(await group.replaceTable(3));
  group.start(['d']);
  await group.advance(6_000);
  await group.stop('a');
  group.seeds = ['b', 'c', 'd'];
  await group.advance(10_000);
  assert.ok(await group.replaceTable(9));
  await loseDisk(group, 'b');
  assert.equal(await group.readVersion(), 9);
});

// Guards against the time between the planned stop of a replaced member and its
// removal for silence, in which one lost disk would end the group.
test('a lost disk right after a replaced member has stopped leaves a quorum', async context => {
  const group = await found(context);
  group.start(['d']);
  await group.advance(CATCH_UP_MS);
  assert.ok(await group.replaceTable(9));
  const stopped = group.stop('a');
  await group.advance(1_000);
  group.kill('b', true);
  await stopped;
  group.start(['b']);
  await group.advance(CATCH_UP_MS);
  assert.equal(await group.readVersion(), 9);
});

// Guards against a replacement without a planned stop that joins before the
// silence of the member before it is noticed.
test('a lost disk after an unplanned replacement leaves a quorum', async context => {
  const group = await found(context);
  group.kill('a', true);
  group.start(['d']);
  await group.advance(10_000);
  assert.ok(await group.replaceTable(9));
  await loseDisk(group, 'b');
  assert.equal(await group.readVersion(), 9);
});

// Guards against a member that was removed while it was silent and never asks
// to join again, since its own log still lists it.
test('a member that was removed while it was cut off joins again', async context => {
  const group = await found(context);
  group.start(['d']);
  await group.advance(CATCH_UP_MS);
  group.network.isolate('a:1');
  await group.advance(10_000);
  group.network.healAll();
  await group.advance(CATCH_UP_MS);
  assert.ok(await group.replaceTable(9));
  ['b', 'c'].forEach(name => group.kill(name, false));
  await group.advance(3_000);
  group.start(['b']);
  await group.advance(CATCH_UP_MS);
  assert.equal(await group.readVersion(), 9);
});

// Guards against a member without a disk that cannot join because the leader is
// not among the addresses of its settings: each lost disk would cost a vote.
test('members that lose their disks join through followers', async context => {
  const later = ['d', 'e', 'f'];
  const group = await found(context, [...FIRST, ...later]);
  assert.ok(await group.replaceTable(9));
  group.seeds = later;
  for (const name of later) {
    await loseDisk(group, name);
  }
  ['a', 'b'].forEach(name => group.kill(name, false));
  await group.advance(3_000);
  assert.equal(await group.readVersion(), 9);
});

// Guards against members that leave at a planned restart and do not get their
// votes back.
test('a planned restart of all members in turn keeps all votes', async context => {
  const all = [...FIRST, 'd', 'e', 'f'];
  const group = await found(context, all);
  for (const name of all) {
    await group.stop(name);
    group.start([name]);
    await group.advance(1_000);
  }
  await group.advance(CATCH_UP_MS);
  assert.ok(await group.replaceTable(9));
  ['a', 'd'].forEach(name => group.kill(name, true));
  await group.advance(3_000);
  assert.equal(await group.readVersion(), 9);
});

// Guards against a new group with lower revisions, which entries would not take:
// they would keep evacuations and a table that operators have replaced since.
test('members that lost all disks form no new group', async context => {
  const group = await found(context);
  assert.ok(await group.replaceTable(3));
  FIRST.forEach(name => group.kill(name, true));
  await group.advance(DOWN_MS);
  group.start(FIRST);
  await group.advance(60_000);
  const isAccepted = await group.replaceTable(9);
  assert.deepEqual([isAccepted, await group.readVersion()], [false, undefined]);
});
