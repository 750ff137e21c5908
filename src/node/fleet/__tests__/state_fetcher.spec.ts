import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pino} from 'pino';
import {z} from 'zod';
import {advanceClock} from '../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {monotonicNowMs} from '../../clock/clock.js';
import {pack} from '../../control/packing.js';
import {
  EMPTY_CONTROL_STATE,
  type ControlState,
} from '../../routes/route_table.js';
import {RpcRouter} from '../../rpc/rpc.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {FETCH_TIMEOUT_MS} from '../constants.js';
import {ControlLink} from '../control_link.js';
import {FleetMembers} from '../fleet_members.js';
import {InstanceRegistry} from '../instance_registry.js';
import {
  ANNOUNCE_METHOD,
  announcementSchema,
  FETCH_STATE_METHOD,
  type AnnouncementReply,
} from '../messages.js';

const STEP_MS = 10;
const RUN_MS = 20_000;
/** Leaves time until requests must no longer reach an evacuated domain. */
const LIMIT_MS = 2_000;
const REVISION = 7;
/** A state alone on the link arrives well before its fetch times out. */
const SLOW_TRANSFER_MS = 1_500;

/** A control member: the revision that it announces, and how it gives it. */
interface Control {
  readonly revision: number;
  readonly delayMs: number;
  readonly fetch: () => unknown;
}

const SOUND = soundAt(REVISION, 1);
const SILENT: Control = {
  ...SOUND,
  fetch: () => new Promise(() => undefined),
};
const UNREADABLE: Control = {...SOUND, fetch: () => 'H4sIAAAA'};

function soundAt(revision: number, delayMs: number): Control {
  const state = pack({...EMPTY_CONTROL_STATE, revision});
  return {revision, delayMs, fetch: () => state};
}

/** Control members whose states reach the entry over one slow link. */
function sharedLink(count: number, transferMs: number): readonly Control[] {
  let transfers = 0;
  const state = pack({...EMPTY_CONTROL_STATE, revision: REVISION});
  const transfer = async (): Promise<unknown> => {
    const endsAtMs = monotonicNowMs() + FETCH_TIMEOUT_MS;
    transfers += 1;
    let leftMs = transferMs;
    while (leftMs > 0 && monotonicNowMs() < endsAtMs) {
      await new Promise(resolve => setTimeout(resolve, STEP_MS));
      leftMs -= STEP_MS / transfers;
    }
    transfers -= 1;
    return state;
  };
  return Array.from({length: count}, () => ({...SOUND, fetch: transfer}));
}

/** A distant control member that gives no state for a while. */
function silentFor(silentMs: number): Control {
  const {fetch} = SOUND;
  let startMs: number | undefined;
  return {
    ...soundAt(REVISION, 50),
    fetch: () => {
      startMs ??= monotonicNowMs();
      return monotonicNowMs() - startMs < silentMs
        ? new Promise(() => undefined)
        : fetch();
    },
  };
}

function startControl(
  network: MemoryNetwork,
  name: string,
  {revision, delayMs, fetch}: Control,
): void {
  const registry = new InstanceRegistry('1', () => undefined);
  const router = new RpcRouter();
  router.register(
    ANNOUNCE_METHOD,
    announcementSchema,
    ({entry}): AnnouncementReply => {
      registry.record(entry, monotonicNowMs());
      return {
        revision,
        incarnation: registry.incarnationOf(entry.instanceId),
      };
    },
  );
  router.register(FETCH_STATE_METHOD, z.object({}), fetch);
  network.attach(`${name}:1`, name, router);
  network.setLink('e1:1', `${name}:1`, {delayMs});
}

/** Whether an entry has the newest state late, and the peers named by failed fetches. */
async function follow(
  context: TestContext,
  controls: readonly Control[],
  limitMs = LIMIT_MS,
): Promise<{
  readonly isLate: boolean;
  readonly failedPeers: readonly string[];
}> {
  pauseClock(context);
  const network = new MemoryNetwork({delayMs: 1});
  const names = controls.map((_, position) => `c${position}`);
  names.forEach((name, position) =>
    startControl(network, name, controls[position] ?? SILENT),
  );
  const client = network.attach('e1:1', 'e1', new RpcRouter());
  const failedPeers = new Set<string>();
  let state: ControlState = EMPTY_CONTROL_STATE;
  let receivedAtMs = Number.POSITIVE_INFINITY;
  const link = new ControlLink({
    members: new FleetMembers(() => ({
      instanceId: asId<InstanceId>('e1'),
      incarnation: 1,
      domain: asId<DomainId>('home-a'),
      region: asId<RegionId>('home'),
      innerAddress: 'e1:1',
      callersAddress: 'e1:2',
      isReady: true,
      isStopping: false,
      isScheduling: false,
    })),
    client,
    bulkClient: client,
    logger: pino(
      {},
      {
        write: line => {
          const {event, peer} = JSON.parse(line) as Record<string, string>;
          if (event === 'state_fetch_failed') failedPeers.add(String(peer));
        },
      },
    ),
    seedAddresses: () => names.map(name => `${name}:1`),
    currentState: () => state,
    onState: received => {
      state = received;
      if (state.revision === REVISION) receivedAtMs = monotonicNowMs();
    },
    onStaleIncarnation: () => undefined,
  });
  const startedAtMs = monotonicNowMs();
  link.start();
  await advanceClock(context, RUN_MS, STEP_MS);
  link.stop();
  return {
    isLate: receivedAtMs - startedAtMs > limitMs,
    failedPeers: [...failedPeers],
  };
}

// Guards against control members that fall silent and hold back the states of the
// others: an entry would learn of an evacuation too late, or never.
test('silent control members do not hold back the states of others', async context => {
  const {isLate} = await follow(context, [SILENT, SILENT, SOUND]);
  assert.equal(isLate, false);
});

// Guards against one unreadable state that ends all fetches, without a log line.
test('an unreadable state is logged and another one is fetched', async context => {
  const controls = [UNREADABLE, UNREADABLE, SOUND];
  assert.deepEqual(await follow(context, controls), {
    isLate: false,
    failedPeers: ['c0:1', 'c1:1'],
  });
});

// Guards against silent members that take each turn in front of one that was silent for
// a while too.
test('a member that answers again is asked soon', async context => {
  const returned = silentFor(4 * FETCH_TIMEOUT_MS);
  const {isLate} = await follow(
    context,
    [SILENT, SILENT, returned],
    5 * FETCH_TIMEOUT_MS + LIMIT_MS,
  );
  assert.equal(isLate, false);
});

// Guards against an entry that starts with the state of the nearest member, which
// lags, and keeps it although it reaches others.
test('an entry that starts at a member that lags has the newest state soon', async context => {
  const controls = [soundAt(REVISION - 2, 1), soundAt(REVISION, 200)];
  const {isLate} = await follow(context, controls);
  assert.equal(isLate, false);
});

// Guards against fetches that hinder each other on a slow link, so that all of them end
// at their timeout and the entry never has a state: a round of timeouts is allowed.
test('an entry behind a slow link gets the state', async context => {
  const limitMs = 2 * FETCH_TIMEOUT_MS;
  const controls = sharedLink(3, SLOW_TRANSFER_MS);
  const {isLate} = await follow(context, controls, limitMs);
  assert.equal(isLate, false);
});
