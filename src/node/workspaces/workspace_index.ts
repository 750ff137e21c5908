/**
 * Finds the workspace of a caller and the rules that apply to its requests. Built
 * once for each version of the route table.
 */
import type {Route, WorkspaceSpec} from '../routes/route_table.js';
import type {WorkspaceId} from '../types/ids.js';
import {effectiveRoute} from './effective_route.js';
import {KeyIndex} from './key_index.js';

/** The routes as they apply to workspaces of equal priority and homes. */
type EffectiveRoutes = Map<Route, Route | undefined>;

/** The workspaces of one version of the route table. */
export class WorkspaceIndex {
  private readonly byName: ReadonlyMap<WorkspaceId, WorkspaceSpec>;
  private readonly byKey: KeyIndex<WorkspaceSpec>;
  private readonly routesByName: ReadonlyMap<WorkspaceId, EffectiveRoutes>;

  constructor(workspaces: readonly WorkspaceSpec[]) {
    this.byName = new Map(workspaces.map(each => [each.name, each]));
    this.byKey = new KeyIndex(workspaces);
    const shared = new Map<string, EffectiveRoutes>();
    this.routesByName = new Map(
      workspaces.map(({name, priority, homeRegions}) => {
        const rules = JSON.stringify([priority ?? null, ...homeRegions]);
        const routes = shared.get(rules) ?? new Map<Route, Route | undefined>();
        shared.set(rules, routes);
        return [name, routes];
      }),
    );
  }

  /** The workspace that holds a key; `undefined` if none does. */
  withKey(key: string | undefined): WorkspaceSpec | undefined {
    return this.byKey.find(key);
  }

  withName(name: WorkspaceId): WorkspaceSpec | undefined {
    return this.byName.get(name);
  }

  /**
   * The route as it applies to a workspace of this table; `undefined` if they
   * have no region in common.
   */
  routeFor(workspace: WorkspaceSpec, route: Route): Route | undefined {
    const routes = this.routesByName.get(workspace.name);
    if (routes?.has(route) === true) return routes.get(route);
    const effective = effectiveRoute(route, workspace);
    routes?.set(route, effective);
    return effective;
  }
}
