import assert from 'node:assert/strict';
import {test} from 'node:test';
import {seededRandom} from '../../__tests__/support/random.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {InstanceRegistry} from '../instance_registry.js';

const NORTH = asId<RegionId>('north');
const SOUTH = asId<RegionId>('south');
const PER_REGION = 6;
const ASKS = 2_000;

type Shares = (index: number) => number;

/** Entries of two regions that admit these shares of their requests. */
function registryWith(north: Shares, south: Shares): InstanceRegistry {
  const registry = new InstanceRegistry('1', () => undefined, seededRandom(7));
  [NORTH, SOUTH].forEach(region =>
    Array.from({length: PER_REGION}).forEach((_, index) => {
      const name = `${region}-${index}`;
      const entry = {
        instanceId: asId<InstanceId>(name),
        incarnation: 1,
        domain: asId<DomainId>(`${region}-a`),
        region,
        innerAddress: `${name}:1`,
        callersAddress: name,
        isReady: true,
        isStopping: false,
        isScheduling: false,
      };
      const shareOf = region === NORTH ? north : south;
      registry.record(entry, 0, shareOf(index));
    }),
  );
  return registry;
}

/** Shares of the callers of the north that choose entries which `isMeant` names. */
function shareOfCallers(
  registry: InstanceRegistry,
  isMeant: (name: string) => boolean,
  homeRegions?: readonly RegionId[],
): number {
  const place = {region: NORTH, domain: asId<DomainId>('north-a')};
  const shares = Array.from({length: ASKS}, () => {
    const named = registry.addressesFor(place, 64, homeRegions);
    return named.filter(isMeant).length / named.length;
  });
  const sum = shares.reduce((total, each) => total + each, 0);
  return Number((sum / ASKS).toFixed(2));
}

const isSouth = (name: string): boolean => name.startsWith('south');
const all: Shares = () => 1;

// Guards against a region at its peak that refuses its callers while the entries of
// another are nearly idle, and against callers that are sent away in calm.
test('a region at its peak is helped with about what it refuses', () => {
  const helped = [1, 0.9, 0.6, 0.2].map(share =>
    shareOfCallers(
      registryWith(() => share, all),
      isSouth,
    ),
  );
  assert.deepEqual(helped, [0, 0.08, 0.28, 0.44]);
});

// Guards against a swing of callers from one busy region to another.
test('busy entries of another region are no help', () => {
  const half = registryWith(
    () => 0.4,
    index => (index < 3 ? 1 : 0.9),
  );
  const isBusyOne = (name: string): boolean => /south-[345]/.test(name);
  assert.equal(shareOfCallers(half, isBusyOne), 0);
  const none = registryWith(
    () => 0.4,
    () => 0.9,
  );
  assert.equal(shareOfCallers(none, isSouth), 0);
});

// Guards against bound requests that arrive in a region where they may not run.
test('callers of hosts with bound requests are helped by homes only', () => {
  const registry = registryWith(() => 0.2, all);
  const helped = [[NORTH], [], [NORTH, SOUTH]].map(homes =>
    shareOfCallers(registry, isSouth, homes),
  );
  assert.deepEqual(helped, [0, 0, 0.44]);
});

// Guards against callers that keep coming to the one entry that refuses them.
test('a busy entry gets fewer callers of its region', () => {
  const registry = registryWith(index => (index === 0 ? 0.3 : 1), all);
  const isBusy = (name: string): boolean => name === 'north-0';
  const share = shareOfCallers(registry, isBusy);
  assert.ok(share > 0.02 && share < 0.08, `${share}`);
});
