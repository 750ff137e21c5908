import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Route, WorkspaceSpec} from '../../routes/route_table.js';
import {asId, type RegionId, type WorkspaceId} from '../../types/ids.js';
import {digestOfKey} from '../key_digest.js';
import {WorkspaceIndex} from '../workspace_index.js';

const [NORTH, SOUTH, WEST] = ['north', 'south', 'west'].map(name =>
  asId<RegionId>(name),
) as [RegionId, RegionId, RegionId];

function route(priority: number, ...homeRegions: RegionId[]): Route {
  return {name: 'r', priority, homeRegions} as unknown as Route;
}

function workspace(
  name: string,
  fields: Partial<WorkspaceSpec> = {},
): WorkspaceSpec {
  return {
    name: asId<WorkspaceId>(name),
    keyDigests: [digestOfKey(`key-of-${name}`)],
    homeRegions: [],
    ...fields,
  };
}

// Guards against callers that are taken for those of another workspace, or for
// those of any although their key is not known.
test('a workspace is found by each of its keys and by its name', () => {
  const keyDigests = ['first', 'second'].map(digestOfKey);
  const index = new WorkspaceIndex([
    workspace('blue'),
    workspace('red', {keyDigests}),
  ]);
  const found = ['key-of-blue', 'first', 'second', 'key-of-red', '', undefined];
  assert.deepEqual(
    found.map(key => index.withKey(key)?.name),
    ['blue', 'red', 'red', undefined, undefined, undefined],
  );
  assert.equal(index.withName(asId<WorkspaceId>('red'))?.name, 'red');
  assert.equal(index.withName(asId<WorkspaceId>('key-of-red')), undefined);
});

// Guards against the priority of a route that goes before its caller's, and
// against requests that leave the homes of either.
test('the rules of a workspace and of a route both apply', () => {
  const index = new WorkspaceIndex([]);
  const rulesOf = (fields: Partial<WorkspaceSpec>, base: Route) => {
    const effective = index.routeFor(workspace('blue', fields), base);
    return effective && [effective.priority, effective.homeRegions];
  };
  const homeRegions = [SOUTH, WEST];
  assert.deepEqual(
    [
      rulesOf({}, route(3)),
      rulesOf({priority: 0}, route(3)),
      rulesOf({homeRegions}, route(3)),
      rulesOf({}, route(3, NORTH)),
      rulesOf({priority: 5, homeRegions}, route(3, NORTH, WEST)),
      rulesOf({homeRegions}, route(3, NORTH)),
    ],
    [
      [3, []],
      [0, []],
      [3, [SOUTH, WEST]],
      [3, [NORTH]],
      [5, [WEST]],
      undefined,
    ],
  );
});

// Guards against memory that grows with workspaces times routes: many workspaces
// have the same rules.
test('workspaces of equal rules share their routes', () => {
  const workspaces = ['blue', 'red'].map(name =>
    workspace(name, {priority: 1}),
  );
  const index = new WorkspaceIndex(workspaces);
  const base = route(2);
  const [blue, red] = workspaces.map(each => index.routeFor(each, base));
  assert.notEqual(blue, base);
  assert.equal(blue, red);
});
