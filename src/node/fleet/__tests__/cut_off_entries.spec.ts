import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {FleetMembers} from '../fleet_members.js';
import {InstanceRegistry} from '../instance_registry.js';
import type {EntryInstance} from '../messages.js';

const REGION = asId<RegionId>('north');
const DOMAIN = asId<DomainId>('north-a');
const COUNT = 4;

/** Entries of one domain; the first ones are cut off from all upstreams. */
function entriesWith(cutOff: number): readonly EntryInstance[] {
  return Array.from({length: COUNT}, (_, index) => ({
    instanceId: asId<InstanceId>(`n${index}`),
    incarnation: 1,
    domain: DOMAIN,
    region: REGION,
    innerAddress: `n${index}:1`,
    callersAddress: `n${index}:2`,
    isReady: true,
    isStopping: false,
    isScheduling: false,
    isCutOff: index < cutOff,
  }));
}

/** What the last entry, and the first one, know of the fleet. */
function membersWith(cutOff: number, self = COUNT - 1): FleetMembers {
  const entries = entriesWith(cutOff);
  const members = new FleetMembers(() => {
    const own = entries[self];
    assert.ok(own !== undefined);
    return own;
  });
  members.updateView(
    asId<InstanceId>('control'),
    {view: {viewId: '1', entries, controlMembers: []}},
    0,
  );
  return members;
}

// Guards against a request that is passed on to an entry which cannot serve it
// either, or back to the entry that it came from.
test('requests are passed on to connected entries only', () => {
  const targets = (cutOff: number): readonly string[] =>
    membersWith(cutOff, 0)
      .relayTargets(REGION, 0)
      .map(each => each.instanceId)
      .sort();
  assert.deepEqual(
    [1, 3, 4].map(cutOff => [
      targets(cutOff),
      membersWith(cutOff, 0).isOwnRegionCutOff(0),
    ]),
    [
      [['n1', 'n2', 'n3'], false],
      [['n3'], false],
      [['n1', 'n2', 'n3'], true],
    ],
  );
});

// Guards against callers that are sent to entries which must pass their requests
// on, and against too few entries for the callers of a region.
test('callers avoid entries that are cut off while enough others remain', () => {
  const addresses = (cutOff: number): readonly string[] => {
    const registry = new InstanceRegistry('1', () => undefined);
    entriesWith(cutOff).forEach(entry => registry.record(entry, 0));
    return registry.addressesFor({region: REGION, domain: undefined}, 64);
  };
  assert.deepEqual(
    [0, 2, 3, 4].map(cutOff => addresses(cutOff).length),
    [4, 2, 4, 4],
  );
});
