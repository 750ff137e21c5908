import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FleetMembers} from '../../fleet/fleet_members.js';
import type {EntryInstance} from '../../fleet/messages.js';
import type {Logger} from '../../logging/logger.js';
import {MetricsRegistry} from '../../metrics/registry.js';
import type {ServiceSpec} from '../../routes/route_table.js';
import {HOME, HOME_A} from '../../scheduling/__tests__/scheduling_fixture.js';
import {asId, type ServiceId, type UpstreamId} from '../../types/ids.js';
import {RegionLoops, type RegionLoopsOptions} from '../region_loops.js';
import type {ProbeTarget, SchedulerHost} from '../scheduler_host.js';
import type {HealthResult, UpstreamFeed} from '../upstream_feed.js';

const SERVICE = asId<ServiceId>('service');
const UPSTREAMS = 9;

function target(index: number): ProbeTarget {
  return {
    service: SERVICE,
    domain: HOME_A,
    upstreamId: asId<UpstreamId>(`u${index}`),
    address: `u${index}:1`,
  };
}

// Guards against a probe storm: when many connections broke at once, each
// upstream that was marked down triggered new probes of all others that were
// down, which overloaded the scheduler and the upstreams.
test('an upstream gets one probe at a time when many go down', async () => {
  const probed: string[] = [];
  const answers: ((result: HealthResult) => void)[] = [];
  const down: ProbeTarget[] = [];
  const loops = new RegionLoops({
    region: HOME,
    domains: [{domain: HOME_A, region: HOME}],
    members: new FleetMembers(() => ({}) as EntryInstance),
    host: {
      probeTargets: () => down,
      noteProbeFailure: () => undefined,
    } as unknown as SchedulerHost,
    feed: {
      health: (address: string) => {
        probed.push(address);
        return new Promise(resolve => answers.push(resolve));
      },
    } as unknown as UpstreamFeed,
    logger: {} as Logger,
    metrics: new MetricsRegistry(),
    services: () => [{name: SERVICE, healthPath: '/'} as ServiceSpec],
  } as unknown as RegionLoopsOptions);
  Array.from({length: UPSTREAMS}, (_, index) => {
    down.push(target(index));
    loops.probeAll();
  });
  assert.equal(probed.length, UPSTREAMS);
  answers.splice(0).forEach(answer => answer({kind: 'unhealthy'}));
  await new Promise(resolve => setImmediate(resolve));
  loops.probeAll();
  assert.equal(probed.length, 2 * UPSTREAMS, 'the next round probes again');
});
