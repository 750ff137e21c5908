import assert from 'node:assert/strict';
import {test} from 'node:test';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../../types/ids.js';
import {FleetMembers} from '../fleet_members.js';
import {InstanceRegistry} from '../instance_registry.js';
import {
  homesOf,
  type Route,
  type WorkspaceSpec,
} from '../../routes/route_table.js';
import type {EntryInstance, FleetView} from '../messages.js';

function entry(
  name: string,
  region: string,
  fields: Partial<EntryInstance> = {},
): EntryInstance {
  return {
    instanceId: asId<InstanceId>(name),
    incarnation: 1,
    domain: asId<DomainId>(`${region}-a`),
    region: asId<RegionId>(region),
    innerAddress: `${name}:1`,
    callersAddress: `${name}:2`,
    isReady: true,
    isStopping: false,
    isScheduling: false,
    ...fields,
  };
}

function view(
  viewId: string,
  entries: readonly EntryInstance[],
): {view: FleetView} {
  return {view: {viewId, entries, controlMembers: []}};
}

// Guards against callers that are sent to another region, to an entry that is
// not ready, or to one that has stopped or expired.
test('callers get the ready entries of their region', () => {
  const registry = new InstanceRegistry('1', () => undefined);
  registry.record(entry('n1', 'north'), 0);
  registry.record(entry('n2', 'north', {isReady: false}), 0);
  registry.record(entry('n3', 'north'), 0);
  registry.record(entry('s1', 'south'), 0);
  registry.record(entry('n3', 'north', {isStopping: true}), 100);
  const ask = (region: string): readonly string[] =>
    registry.addressesFor(
      {region: asId<RegionId>(region), domain: undefined},
      64,
    );
  const atStart = {north: ask('north'), south: ask('south'), west: ask('west')};
  registry.record(entry('s1', 'south'), 2_000);
  registry.expire(3_000);
  matchSnapshot(import.meta.url, 'addresses for callers', {
    atStart,
    northGone: ask('north'),
  });
});

// Guards against requests bound to two regions that are sent to a third one
// while all entries of their caller's region restart.
test('callers of a region without entries get those of the home regions', () => {
  const registry = new InstanceRegistry('1', () => undefined);
  const regions = ['north', 'south', 'west'].map(name => asId<RegionId>(name));
  regions.forEach(region => registry.record(entry(`${region}-1`, region), 0));
  registry.record(entry('north-1', 'north', {isStopping: true}), 100);
  const [north, south, west] = regions;
  const host = 'homed';
  const route = (homeRegions: readonly (RegionId | undefined)[]): Route =>
    ({host, homeRegions}) as unknown as Route;
  const routes = [route([north, south]), route([]), route([south, west])];
  const ask = (region: RegionId | undefined, name: string) =>
    registry.addressesFor(
      {region, domain: undefined},
      64,
      homesOf({routes}, name),
    );
  assert.deepEqual(
    [ask(north, host), ask(west, host), ask(north, 'other')],
    [['south-1:2'], ['west-1:2'], ['south-1:2', 'west-1:2']],
  );
});

// Guards against requests of bound workspaces that are sent to entries of a region
// that is no home of theirs, and against homes that nobody can keep to.
test('the homes of workspaces narrow those of a host', () => {
  const [north, south, west] = ['north', 'south', 'west'].map(name =>
    asId<RegionId>(name),
  ) as [RegionId, RegionId, RegionId];
  const host = 'homed';
  const ask = (route: RegionId[], ...workspaces: RegionId[][]) =>
    homesOf(
      {
        routes: [{host, homeRegions: route} as unknown as Route],
        workspaces: workspaces.map(
          homeRegions => ({homeRegions}) as unknown as WorkspaceSpec,
        ),
      },
      host,
    );
  assert.deepEqual(
    {
      both: ask([north, south], [south, west], []),
      workspacesOnly: ask([], [south, west], [west]),
      routesOnly: ask([north], []),
      neither: ask([], []),
      disjoint: ask([north], [south]),
      noneInCommon: ask([north, south], [south], [north]),
      unboundRoute: ask([], [south], [north]),
    },
    {
      both: [south],
      workspacesOnly: [west],
      routesOnly: [north],
      neither: undefined,
      disjoint: [north],
      noneInCommon: [north, south],
      unboundRoute: undefined,
    },
  );
});

// Guards against requests bound to one region that are sent to another one while
// all entries of their region restart in turn.
test('callers of a home region whose entries restart stay there', () => {
  const registry = new InstanceRegistry('1', () => undefined);
  const north = asId<RegionId>('north');
  registry.record(entry('n1', 'north'), 0);
  registry.record(entry('s1', 'south'), 0);
  const ask = (homeRegions?: readonly RegionId[]): readonly string[] =>
    registry.addressesFor({region: north, domain: undefined}, 9, homeRegions);
  registry.record(entry('n1', 'north', {isStopping: true}), 100);
  // Routes without a common home bind their requests too.
  const stopping = [ask([north]), ask([]), ask()];
  registry.record(entry('n1', 'north', {isReady: false, incarnation: 2}), 200);
  const starting = ask([north]);
  registry.record(entry('s1', 'south'), 5_000);
  registry.expire(5_000);
  const lost = ask([north]);
  assert.deepEqual(
    [...stopping, starting, lost],
    [['n1:2'], ['n1:2'], ['s1:2'], ['n1:2'], ['s1:2']],
  );
});

// Guards against callers that slow down the entry that schedules for a whole
// domain, and against too few entries for the callers of a region.
test('callers avoid scheduling entries while enough others remain', () => {
  const ask = (schedulers: number): readonly string[] => {
    const registry = new InstanceRegistry('1', () => undefined);
    Array.from({length: 8}, (_, index) =>
      registry.record(
        entry(`n${index}`, 'north', {isScheduling: index < schedulers}),
        0,
      ),
    );
    const north = asId<RegionId>('north');
    return registry.addressesFor({region: north, domain: undefined}, 64);
  };
  assert.deepEqual(
    [0, 2, 3].map(schedulers => ask(schedulers).length),
    [8, 6, 8],
  );
});

// Guards against a late announcement of a process that has been replaced.
test('an announcement with a lower incarnation is ignored', () => {
  const registry = new InstanceRegistry('1', () => undefined);
  registry.record(entry('n1', 'north', {incarnation: 5}), 0);
  registry.record(entry('n1', 'north', {incarnation: 4, isReady: false}), 10);
  assert.equal(
    registry.addressesFor({region: undefined, domain: undefined}, 9).length,
    1,
  );
});

// Guards against a service that has no scheduler after the loss of an instance,
// and against all services changing their scheduler because of it.
test('the next entry in rank takes a job while the first is suspect', () => {
  const self = entry('n1', 'north');
  const members = new FleetMembers(() => self);
  const names = ['n1', 'n2', 'n3'];
  members.updateView(
    asId<InstanceId>('c1'),
    view(
      '1',
      names.map(name => entry(name, 'north')),
    ),
    0,
  );
  const ranked = (nowMs: number): readonly string[] =>
    members
      .rankedEntries(asId<RegionId>('north'), 'service', nowMs)
      .map(each => each.instanceId);
  const before = ranked(0);
  const [first] = before;
  members.suspect(asId<InstanceId>(first ?? ''), 0);
  const during = ranked(100);
  const expected = first === 'n1' ? before : before.slice(1);
  assert.deepEqual(during, expected);
  assert.deepEqual(ranked(5_000), before);
});

// Guards against entries that drop all peers when no control member is
// reachable.
test('the last view remains in use while no control member replies', () => {
  const self = entry('n1', 'north');
  const members = new FleetMembers(() => self);
  members.updateView(
    asId<InstanceId>('c1'),
    view('1', [self, entry('n2', 'north')]),
    0,
  );
  members.updateView(asId<InstanceId>('c1'), {}, 60_000);
  assert.equal(members.liveEntries(asId<RegionId>('north'), 60_000).length, 2);
});

// Guards against a new connection between regions for every request, and
// against relayed requests that all go to the same entry of a region.
test('each entry relays to four entries of a region, spread over all', () => {
  const targets = Array.from({length: 12}, (_, index) =>
    entry(`south-${index}`, 'south'),
  );
  const used = Array.from({length: 24}, (_, index) => {
    const members = new FleetMembers(() => entry(`north-${index}`, 'north'));
    members.updateView(asId<InstanceId>('c1'), view('1', targets), 0);
    return members
      .relayTargets(asId<RegionId>('south'), 10)
      .map(each => each.instanceId);
  });
  assert.ok(used.every(each => each.length === 4));
  assert.ok(new Set(used.flat()).size >= 10);
});

// Guards against two different assignments of a job: entries that disagree
// would schedule the same upstreams at the same time.
test('a job is assigned to the first entry in rank', () => {
  const members = new FleetMembers(() => entry('n0', 'north'));
  const others = Array.from({length: 9}, (_, index) =>
    entry(`n${index + 1}`, 'north'),
  );
  members.updateView(asId<InstanceId>('c1'), view('1', others), 0);
  const region = asId<RegionId>('north');
  const jobs = Array.from({length: 30}, (_, index) => `service-${index}`);
  const assigned = jobs.map(job => members.assignedEntry(region, job, 10));
  const first = jobs.map(job => members.rankedEntries(region, job, 10)[0]);
  assert.deepEqual(assigned, first);
  assert.ok(new Set(assigned.map(each => each?.instanceId)).size > 5);
});
