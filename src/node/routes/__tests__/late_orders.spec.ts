import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {asId, type DomainId} from '../../types/ids.js';
import {ControlGroup} from './support/control_group.js';

const MEMBERS = ['a', 'b', 'c'];
const FORM_MS = 8_000;
const DOMAIN = asId<DomainId>('north-a');
/** How long an operator waits at one member. */
const PATIENCE_MS = 1_000;
/** The member has read the state by then, and not proposed the order yet. */
const READ_MS = 30;
const DELAY_MS = 2_000;

interface Orders {
  readonly group: ControlGroup;
  readonly leader: string;
  readonly follower: string;
}

async function found(context: TestContext): Promise<Orders> {
  pauseClock(context);
  const group = new ControlGroup(context, MEMBERS);
  group.start(MEMBERS, true);
  await group.advance(FORM_MS);
  const leader = group.leader();
  const follower = MEMBERS.find(name => name !== leader);
  assert.ok(follower !== undefined);
  return {group, leader, follower};
}

/** An operator gives up an order while its proposal is on its way to the leader. */
async function delayOrder(
  {group, leader, follower}: Orders,
  isEvacuated: boolean,
): Promise<void> {
  let isWaiting = true;
  void group.order(follower, DOMAIN, isEvacuated, () => isWaiting);
  await group.advance(READ_MS);
  group.network.setLink(`${follower}:1`, `${leader}:1`, {delayMs: DELAY_MS});
  await group.advance(PATIENCE_MS);
  isWaiting = false;
  group.network.setLink(`${follower}:1`, `${leader}:1`, {delayMs: 1});
}

// Guards against a forwarded order that reaches the leader after the opposite one
// was confirmed, and undoes it for good.
test('a delayed proposal does not undo a later order', async context => {
  const orders = await found(context);
  const {group, leader} = orders;
  const isConfirmed = [await group.confirmOrder(leader, DOMAIN, true)];
  await delayOrder(orders, false);
  isConfirmed.push(await group.confirmOrder(leader, DOMAIN, false));
  isConfirmed.push(await group.confirmOrder(leader, DOMAIN, true));
  await group.advance(2 * DELAY_MS);
  const evacuated = await group.readEvacuated();
  assert.deepEqual([isConfirmed, evacuated], [[true, true, true], [DOMAIN]]);
});

// Guards against the same with an order that was given up for good: the opposite
// one is confirmed without a change of the state.
test('a delayed proposal does not undo a later order that changes nothing', async context => {
  const orders = await found(context);
  const {group, leader} = orders;
  const isConfirmed = [await group.confirmOrder(leader, DOMAIN, true)];
  await delayOrder(orders, false);
  isConfirmed.push(await group.confirmOrder(leader, DOMAIN, true));
  await group.advance(2 * DELAY_MS);
  const evacuated = await group.readEvacuated();
  assert.deepEqual([isConfirmed, evacuated], [[true, true], [DOMAIN]]);
});

// Guards against orders that nobody carries out: after a change of the leader, or
// at members that have restored a snapshot.
test('orders are confirmed after snapshots and a new leader', async context => {
  const {group, leader, follower} = await found(context);
  const isConfirmed: boolean[] = [];
  for (let number = 0; number < 70; number++) {
    isConfirmed.push(
      await group.confirmOrder(follower, DOMAIN, number % 2 === 0),
    );
  }
  group.kill(leader, false);
  await group.advance(3_000);
  group.start([leader]);
  await group.advance(3_000);
  isConfirmed.push(await group.confirmOrder(leader, DOMAIN, true));
  isConfirmed.push(await group.confirmOrder(follower, DOMAIN, true));
  assert.deepEqual(new Set(isConfirmed), new Set([true]));
  assert.deepEqual(await group.readEvacuated(), [DOMAIN]);
});

// Guards against an upgrade during which orders fail: members of the former version
// forward them without a base, and know nothing of one.
test('an order without a base is carried out as before', async context => {
  const {group, leader, follower} = await found(context);
  const order = {kind: 'set_evacuation', domain: DOMAIN} as const;
  const start = {...order, isEvacuated: true};
  const started = await group.forward(follower, leader, start);
  const afterStart = await group.readEvacuated();
  const end = {...order, isEvacuated: false};
  const ended = await group.forward(follower, leader, end);
  const afterEnd = await group.readEvacuated();
  assert.deepEqual(
    [started, afterStart, ended, afterEnd],
    [true, [DOMAIN], true, []],
  );
});
