import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {FleetMembers, type ViewUpdate} from '../fleet_members.js';
import {InstanceRegistry} from '../instance_registry.js';
import type {EntryInstance} from '../messages.js';

const REGION = asId<RegionId>('region');
const CONTROL = asId<InstanceId>('control');

function entry(index: number, isReady = true): EntryInstance {
  return {
    instanceId: asId<InstanceId>(`10.1.0.${index}`),
    incarnation: 1_800_000_000_000,
    domain: asId<DomainId>('region-a'),
    region: REGION,
    innerAddress: `10.1.0.${index}:8500`,
    callersAddress: `10.1.0.${index}:8144`,
    isReady,
    isStopping: false,
    isScheduling: false,
  };
}

function registryOf(count: number): InstanceRegistry {
  const registry = new InstanceRegistry('1', () => undefined);
  Array.from({length: count}, (_, index) => registry.record(entry(index), 0));
  return registry;
}

const announced = (viewId: string) => ({viewId, acceptsChanges: true});
const bytesOf = (update: ViewUpdate): number => JSON.stringify(update).length;

/** Bytes sent to one entry when another one changes. */
function bytesOfChange(count: number): number {
  const registry = registryOf(count);
  const {viewId} = registry.currentView([]);
  registry.record(entry(1, false), 100);
  return bytesOf(registry.viewUpdate(announced(viewId), []));
}

// Guards against bytes that grow with the square of the number of entries: each
// change was answered to every entry with the complete list.
test('the bytes of a change do not grow with the number of entries', () => {
  assert.ok(bytesOfChange(300) <= bytesOfChange(30) + 10);
});

// Guards against entries that miss a change, or keep one that has left.
test('changes lead to the same view as the complete list', () => {
  const registry = registryOf(40);
  const members = new FleetMembers(() => entry(99));
  members.updateView(CONTROL, registry.viewUpdate(announced(''), []), 0);
  registry.record(entry(3, false), 2_000);
  registry.record(entry(41), 2_000);
  registry.expire(3_000);
  const held = members.viewIdOf(CONTROL);
  const update = registry.viewUpdate(announced(held), []);
  assert.ok(update.view === undefined && update.changes !== undefined);
  members.updateView(CONTROL, update, 3_000);
  const complete = registry.currentView([]);
  assert.equal(members.viewIdOf(CONTROL), complete.viewId);
  assert.deepEqual(
    members
      .liveEntries(REGION, 3_000)
      .map(each => each.instanceId)
      .sort(),
    [
      ...complete.entries.map(each => each.instanceId),
      entry(99).instanceId,
    ].sort(),
  );
});

// Guards against changes that are applied to another view than they start from,
// as after a restart of the control member or of the entry.
test('an entry with an unknown or no view gets the complete list', () => {
  const registry = registryOf(5);
  const current = registry.currentView([]).viewId;
  registry.record(entry(1, false), 100);
  const isComplete = (viewId: string, acceptsChanges = true): boolean =>
    registry.viewUpdate({viewId, acceptsChanges}, []).view !== undefined;
  assert.deepEqual(
    [
      isComplete(''),
      isComplete('0.3'),
      isComplete('1.99'),
      isComplete(current, false),
      isComplete(current),
    ],
    [true, true, true, true, false],
  );
  const members = new FleetMembers(() => entry(99));
  members.updateView(CONTROL, registry.viewUpdate(announced(current), []), 0);
  assert.equal(members.viewIdOf(CONTROL), '');
});

// Guards against a share of a common budget that grows while entries are lost or out of
// sight, although they may still spend theirs.
test('lost entries still count among those that divide a budget', () => {
  const registry = registryOf(40);
  const members = new FleetMembers(() => entry(3));
  const counts = [registry, registryOf(5)].map(each => {
    members.updateView(CONTROL, each.viewUpdate(announced(''), []), 0);
    return members.mostEntries();
  });
  assert.deepEqual(counts, [40, 40]);
});
