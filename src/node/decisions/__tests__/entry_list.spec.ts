import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  asId,
  type Digest,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {listEntries, type EntryCandidate} from '../index.js';

const centro = asId<RegionId>('centro');
const cuyo = asId<RegionId>('cuyo');
const patagonia = asId<RegionId>('patagonia');

function entry(
  name: string,
  regionId: RegionId,
  change: Partial<EntryCandidate> = {},
): EntryCandidate {
  return {
    instanceId: asId<InstanceId>(name),
    regionId,
    callerAddress: `127.0.0.1:${name.length}`,
    state: 'alive',
    loadShare: 0,
    ...change,
  };
}

const candidates = [
  entry('c1', centro),
  entry('c2', centro),
  entry('c3', centro, {state: 'suspect'}),
  entry('c4', centro, {state: 'leaving'}),
  entry('y1', cuyo),
  entry('p1', patagonia),
];

function list(caller: string, of = candidates) {
  return listEntries(
    {
      callerDigest: asId<Digest>(caller),
      homeRegionId: centro,
      allowedRegionIds: [centro, cuyo],
    },
    of,
  );
}

// Guards against lists that send callers to regions that may not see their
// data, to leaving entries, or far away while a near entry is healthy.
test('a list begins with the home region and omits entries that may not be used', () => {
  Array.from({length: 50}, (_, index) => `caller ${index}`).forEach(caller => {
    const names = list(caller).entries.map(each => each.instanceId as string);
    assert.deepEqual(names.slice(0, 2).sort(), ['c1', 'c2']);
    assert.deepEqual(names.slice(2), ['y1', 'c3']);
    assert.ok(list(caller).lifetimeMs <= 5_500);
  });
});

// Guards against all callers using one entry, and against moves without need.
test('callers spread by load and keep their entry', () => {
  const first = (loadShare: number, caller: string) =>
    list(caller, [entry('c1', centro, {loadShare}), entry('c2', centro)])
      .entries[0]?.instanceId;
  const count = (loadShare: number): number =>
    Array.from({length: 1_000}, (_, index) =>
      first(loadShare, `caller ${index}`),
    ).filter(name => name === 'c1').length;
  assert.ok(Math.abs(count(0) - 500) < 60);
  assert.ok(Math.abs(count(0.5) - 333) < 60);
  assert.equal(first(0, 'x'), first(0.1, 'x'));
});
