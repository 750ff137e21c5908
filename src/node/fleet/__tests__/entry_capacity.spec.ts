import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type InstanceId} from '../../types/ids.js';
import {
  assignedByCapacity,
  capacityOf,
  drawnEntry,
  namedEntries,
} from '../entry_capacity.js';
import {lowestRanked} from '../rendezvous.js';

const DRAWS = 4_000;
const SMALL = capacityOf({
  processorShare: 0.243,
  memoryMb: 210,
  linkMbps: 5.25,
  maxDescriptors: 2_500,
});
const LARGE = capacityOf({
  processorShare: 0.81,
  memoryMb: 490,
  linkMbps: 17.5,
  maxDescriptors: 10_250,
});

interface Entry {
  readonly instanceId: InstanceId;
  readonly capacity?: number;
}

/** As many small entries as large ones. */
function entriesOf(...capacities: (number | undefined)[]): readonly Entry[] {
  return Array.from({length: 12}, (_, index) => {
    const capacity = capacities[index % capacities.length];
    const instanceId = asId<InstanceId>(`entry-${index}`);
    return capacity === undefined ? {instanceId} : {instanceId, capacity};
  });
}

/** The same numbers in each run. */
function createRandom(): () => number {
  let state = 7;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** How many times as often the large entries are chosen. */
function ratioOf(choose: (index: number) => Entry | undefined): number {
  const chosen = Array.from({length: DRAWS}, (_, index) => choose(index));
  const large = chosen.filter(each => each?.capacity === LARGE).length;
  return large / (DRAWS - large);
}

// Guards against entries of 0.243 and of 0.81 cores that get the same number of
// callers, relays and schedulers: the small ones answer late while others idle.
test('entries get work in proportion to what they bear', () => {
  const entries = entriesOf(SMALL, LARGE);
  const random = createRandom();
  const expected = (LARGE ?? 0) / (SMALL ?? 1);
  const ratios = [
    ratioOf(() => {
      const named = namedEntries(entries, random);
      return named[Math.floor(random() * named.length)];
    }),
    ratioOf(() => drawnEntry(entries, random)),
    ratioOf(index => assignedByCapacity(entries, `domain service-${index}`)),
  ];
  assert.ok(
    ratios.every(each => Math.abs(each / expected - 1) < 0.2),
    JSON.stringify({ratios, expected}),
  );
});

// Guards against builds of both kinds that assign jobs to different entries, and
// against a directory that leaves entries out without a reason.
test('entries that do not all announce a capacity count as equal', () => {
  const jobs = Array.from({length: 50}, (_, index) => `job-${index}`);
  [entriesOf(undefined), entriesOf(LARGE), entriesOf(SMALL, undefined)].forEach(
    entries => {
      assert.equal(
        namedEntries(entries, () => 0.99),
        entries,
      );
      assert.deepEqual(
        jobs.map(job => assignedByCapacity(entries, job)),
        jobs.map(job => lowestRanked(entries, job, each => each.instanceId)),
      );
    },
  );
});
