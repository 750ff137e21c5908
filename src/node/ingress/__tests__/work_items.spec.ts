import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Route, WorkspaceSpec} from '../../routes/route_table.js';
import {asId, type RegionId, type WorkspaceId} from '../../types/ids.js';
import {effectiveRoute} from '../../workspaces/effective_route.js';
import type {InboundRequest} from '../types.js';
import {WorkItems, type WorkItemsOptions} from '../work_items.js';

const REGIONS = ['north', 'south', 'west'].map(name => asId<RegionId>(name));
const [NORTH, SOUTH, WEST] = REGIONS as [RegionId, RegionId, RegionId];
const ROUTE = {
  host: 'shop.example',
  priority: 4,
  targetLatencyMs: 500,
  homeRegions: [],
} as unknown as Route;

/** The items of a request that an entry of the north has. */
function itemsOf(
  homeRegions: readonly RegionId[],
  isRelayed = false,
  doubtful: readonly RegionId[] = [],
): WorkItems {
  const workspace: WorkspaceSpec = {
    name: asId<WorkspaceId>('blue'),
    keyDigests: [],
    priority: 2,
    homeRegions,
    fairWeight: 3,
  };
  const request = {
    requestId: 'r',
    method: 'POST',
    path: '/',
    body: Buffer.from('x'),
    route: effectiveRoute(ROUTE, workspace),
    workspace,
    traits: {attemptId: 'a'},
    avoidUpstreams: [],
    isRelayed,
  } as unknown as InboundRequest;
  return new WorkItems({
    self: 'entry',
    region: NORTH,
    members: {regions: () => REGIONS, hasConnectedPeer: () => true},
    reachability: {unreachable: () => ['u1']},
    notices: {forbidden: () => []},
    relay: {isDoubtful: (each: RegionId) => doubtful.includes(each)},
    evacuatedDomains: () => [],
    request,
    progress: {},
    tries: {hasRun: false, isRepeat: false},
  } as unknown as WorkItemsOptions);
}

// Guards against schedulers that cannot tell workspaces apart, and against the
// priority of a route that goes before that of its caller.
test('a work item names the workspace, its weight and its priority', () => {
  const {workspace, fairWeight, priority} = itemsOf([]).next();
  assert.deepEqual([workspace, fairWeight, priority], ['blue', 3, 2]);
});

// Guards against a first try, a retry, a replacement or another entry that takes
// a request out of the homes of its workspace.
test('a request stays in the homes of its workspace', () => {
  const outcomes = [[], [NORTH], [SOUTH, WEST]].map(homes => {
    const items = itemsOf(homes);
    const first = items.next();
    items.avoidRegion(WEST);
    const retry = items.next();
    const replacement = items.replacing({
      upstreamId: 'u',
      domain: 'd',
    } as never);
    const relayed = itemsOf(homes, true).next();
    return {
      isAllowedHere: [first, retry, replacement].map(
        each => each.isAllowedHere,
      ),
      otherRegions: [first, retry, replacement, relayed].map(each => [
        ...each.otherRegions,
      ]),
      mayUsePeer: [first.mayUsePeer, items.mayUsePeer(0), relayed.mayUsePeer],
    };
  });
  const allTrue = [true, true, true];
  assert.deepEqual(outcomes, [
    {
      isAllowedHere: allTrue,
      otherRegions: [[SOUTH, WEST], [SOUTH], [], []],
      mayUsePeer: [true, true, false],
    },
    {
      isAllowedHere: allTrue,
      otherRegions: [[], [], [], []],
      mayUsePeer: [true, true, false],
    },
    {
      isAllowedHere: [false, false, false],
      otherRegions: [[SOUTH, WEST], [SOUTH], [], []],
      mayUsePeer: [false, false, false],
    },
  ]);
});

// Guards against requests that go on being sent into a cut between two regions, and
// against a request that is refused at once because its only region is in doubt.
test('a region in doubt is left out unless a request can run nowhere else', () => {
  const others = REGIONS.filter(each => each !== NORTH);
  const [first] = others;
  const unbound = itemsOf([], false, others.slice(0, 1)).next();
  const bound = itemsOf(others.slice(0, 1), false, others).next();
  assert.equal(unbound.otherRegions.includes(first as RegionId), false);
  assert.deepEqual(bound.otherRegions, others.slice(0, 1));
});
