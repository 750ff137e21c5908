import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {seededRandom} from '../../__tests__/support/random.js';
import {asId, type DomainId} from '../../types/ids.js';
import {ControlGroup} from './support/control_group.js';

const MEMBERS = ['a', 'b', 'c'];
const DOMAIN = asId<DomainId>('north-a');
const FORM_MS = 8_000;
const ORDERS = 10;
const SEEDS = 12;
/** How long an operator waits at one member. */
const PATIENCE_MS = 1_000;
const STEP_MS = 100;
/** Attempts of an operator before it gives up an order. */
const MAX_ATTEMPTS = 6;
const MAX_HELD_MS = 4_000;
/** Longest time between a request that was held up and the end behind it. */
const MAX_END_LAG_MS = 40;
/** All that is held up has arrived by then. */
const SETTLED_MS = 12_000;

type Random = () => number;

/** Sends an order to a member; a part of the requests is held up on the way. */
async function attempt(
  group: ControlGroup,
  random: Random,
  isEvacuated: boolean,
): Promise<boolean> {
  const member = MEMBERS[Math.floor(random() * MEMBERS.length)] ?? 'a';
  const heldMs = random() < 0.4 ? random() * MAX_HELD_MS : 0;
  const endLagMs = random() * MAX_END_LAG_MS;
  let isWaiting = true;
  let isConfirmed = false;
  setTimeout(() => {
    const sent = group.order(member, DOMAIN, isEvacuated, () => isWaiting);
    void sent?.then(result => {
      isConfirmed = result.isOk();
    });
  }, heldMs);
  setTimeout(
    () => {
      isWaiting = false;
    },
    Math.max(heldMs, PATIENCE_MS) + endLagMs,
  );
  for (let ms = 0; ms < PATIENCE_MS && !isConfirmed; ms += STEP_MS) {
    await group.advance(STEP_MS);
  }
  return isConfirmed;
}

async function carryOut(
  group: ControlGroup,
  random: Random,
  isEvacuated: boolean,
): Promise<boolean> {
  for (let number = 0; number < MAX_ATTEMPTS; number++) {
    if (await attempt(group, random, isEvacuated)) return true;
  }
  return false;
}

/** Delays one link between members, or gives it back its speed. */
function disturb({network}: ControlGroup, random: Random): void {
  const from = MEMBERS[Math.floor(random() * MEMBERS.length)];
  const to = MEMBERS[Math.floor(random() * MEMBERS.length)];
  const delayMs = random() < 0.5 ? Math.floor(random() * 2_000) : 1;
  network.setLink(`${from}:1`, `${to}:1`, {delayMs});
}

/** Whether the last orders hold that one operator gave in turn. */
async function holds(context: TestContext, seed: number): Promise<boolean> {
  const random = seededRandom(seed);
  const group = new ControlGroup(context, MEMBERS);
  group.start(MEMBERS, true);
  await group.advance(FORM_MS);
  let isEvacuated = false;
  let isConfirmed = false;
  for (let number = 0; number < ORDERS; number++) {
    isEvacuated = !isEvacuated;
    disturb(group, random);
    isConfirmed = await carryOut(group, random, isEvacuated);
  }
  MEMBERS.forEach(from =>
    MEMBERS.forEach(to =>
      group.network.setLink(`${from}:1`, `${to}:1`, {delayMs: 1}),
    ),
  );
  isConfirmed ||= await carryOut(group, random, isEvacuated);
  await group.advance(SETTLED_MS);
  const evacuated = (await group.readEvacuated())?.includes(DOMAIN);
  MEMBERS.forEach(name => group.kill(name, false));
  return isConfirmed && evacuated === isEvacuated;
}

// Guards against any order of late requests, late proposals and new leaders after
// which a confirmed order does not hold.
test('the last confirmed order holds', async context => {
  pauseClock(context);
  const failed: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    if (!(await holds(context, seed))) failed.push(seed);
  }
  assert.deepEqual(failed, []);
});
