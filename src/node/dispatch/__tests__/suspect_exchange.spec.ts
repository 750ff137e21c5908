import assert from 'node:assert/strict';
import {test} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {advanceClock} from '../../__tests__/support/advance_clock.js';
import {monotonicNowMs} from '../../clock/clock.js';
import {
  HOME_A,
  upstream,
} from '../../scheduling/__tests__/scheduling_fixture.js';
import {asId, type ServiceId, type SuspectId} from '../../types/ids.js';
import {MemoryRegion, type RegionEntry} from './support/memory_region.js';

const SCOPE = {service: asId<ServiceId>('service'), domain: HOME_A};
const SUSPECT = asId<SuspectId>('part:crashing');
const REQUEST = asId<SuspectId>('request:a');

function crashesKnownTo({host}: RegionEntry): number {
  const [report] = host.evidence.reports(monotonicNowMs());
  return report?.crashes.length ?? 0;
}

// Guards against a scheduler that starts or moves and has to see the crashes
// again before it stops sending what causes them.
test('an entry that begins to schedule gets the evidence of the others', async t => {
  pauseClock(t);
  const region = new MemoryRegion({
    domains: [HOME_A],
    entriesInDomain: 3,
    upstreams: [upstream('a')],
  });
  t.after(() => region.stop());
  const [observer, ...others] = region.entries as [RegionEntry, RegionEntry];
  observer.host.evidence.noteCrash(
    'a@1',
    monotonicNowMs(),
    [{shared: [SUSPECT], request: REQUEST, sentAtMs: monotonicNowMs() - 1}],
    monotonicNowMs(),
  );
  await advanceClock(t, 400, 50);
  others.forEach(({host}) => host.ensureScheduler(SCOPE));
  await advanceClock(t, 400, 50);
  assert.deepEqual(others.map(crashesKnownTo), [1, 1]);
});
