/** Selects the route and the service for a request. */
import type {ServiceId} from '../types/ids.js';
import {KeyHistory} from '../workspaces/key_history.js';
import {WorkspaceIndex} from '../workspaces/workspace_index.js';
import type {Route, RouteTable, ServiceSpec} from './route_table.js';

/** An index over one version of the route table. */
export class RouteMatcher {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly services: ReadonlyMap<ServiceId, ServiceSpec>;
  /** `undefined` if callers need no keys. */
  readonly workspaces: WorkspaceIndex | undefined;

  /** Since when keys that this table lacks have been missing; for log lines only. */
  readonly keyHistory: KeyHistory;

  /** `before` is the matcher that this one replaces. */
  constructor(
    readonly table: RouteTable,
    before?: RouteMatcher,
  ) {
    const {workspaces} = table;
    this.keyHistory = KeyHistory.upTo(table, before?.keyHistory);
    this.workspaces = workspaces && new WorkspaceIndex(workspaces);
    this.services = new Map(table.services.map(each => [each.name, each]));
    [...table.routes]
      .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
      .forEach(route => this.add(route));
  }

  /** The route of the host with the longest prefix that matches the path. */
  match(host: string, path: string): Route | undefined {
    const pathOnly = path.split('?', 1)[0] ?? path;
    return this.routesByHost
      .get(hostName(host))
      ?.find(route => pathOnly.startsWith(route.pathPrefix));
  }

  service(name: ServiceId): ServiceSpec | undefined {
    return this.services.get(name);
  }

  /** Picks a service by weight; `draw` is a random number in [0, 1). */
  pickService(route: Route, draw: number): ServiceId | undefined {
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let rest = draw * total;
    return route.shares.find(share => {
      rest -= share.weight;
      return rest < 0;
    })?.service;
  }

  private add(route: Route): void {
    const host = hostName(route.host);
    const routes = this.routesByHost.get(host);
    if (routes === undefined) this.routesByHost.set(host, [route]);
    else routes.push(route);
  }
}

function hostName(host: string): string {
  return (host.split(':', 1)[0] ?? host).toLowerCase();
}
