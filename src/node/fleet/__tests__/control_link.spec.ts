import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {pino} from 'pino';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {EMPTY_CONTROL_STATE} from '../../routes/route_table.js';
import {RpcRouter} from '../../rpc/rpc.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {ControlLink} from '../control_link.js';
import {FleetMembers} from '../fleet_members.js';
import {InstanceRegistry} from '../instance_registry.js';
import {
  ANNOUNCE_METHOD,
  announcementSchema,
  type AnnouncementReply,
  type EntryInstance,
} from '../messages.js';

function startControl(network: MemoryNetwork): InstanceRegistry {
  const registry = new InstanceRegistry('1', () => undefined);
  const router = new RpcRouter();
  router.register(
    ANNOUNCE_METHOD,
    announcementSchema,
    ({entry}): AnnouncementReply => {
      registry.record(entry, performance.now());
      return {
        revision: 0,
        incarnation: registry.incarnationOf(entry.instanceId),
        view: registry.currentView([]),
      };
    },
  );
  network.attach('control:1', 'control', router);
  return registry;
}

function startEntry(t: TestContext, network: MemoryNetwork, startMs: number) {
  let incarnation = startMs;
  const describe = (): EntryInstance => ({
    instanceId: asId<InstanceId>('e1'),
    incarnation,
    domain: asId<DomainId>('home-a'),
    region: asId<RegionId>('home'),
    innerAddress: 'e1:1',
    callersAddress: 'e1:2',
    isReady: true,
    isStopping: false,
    isScheduling: false,
  });
  const client = network.attach('e1:1', 'e1', new RpcRouter());
  const link = new ControlLink({
    members: new FleetMembers(describe),
    client,
    bulkClient: client,
    logger: pino({level: 'silent'}),
    seedAddresses: () => ['control:1'],
    currentState: () => EMPTY_CONTROL_STATE,
    onState: () => undefined,
    onStaleIncarnation: held => {
      incarnation = held + 1;
      link.announceToAll();
    },
  });
  link.start();
  t.after(() => link.stop());
  return link;
}

// Guards against an entry that is missing from the directory for seconds: its
// wall clock moved back while it was down, so that its incarnation is lower
// than that of its last process.
test('an entry restarted with an earlier clock is listed at once', async t => {
  const network = new MemoryNetwork();
  const registry = startControl(network);
  startEntry(t, network, 5_000).stop();
  await sleep(30);
  const before = registry.incarnationOf(asId<InstanceId>('e1'));
  startEntry(t, network, 3_000);
  await sleep(400);
  const after = registry.incarnationOf(asId<InstanceId>('e1'));
  assert.deepEqual([before, after], [5_000, 5_001]);
});
