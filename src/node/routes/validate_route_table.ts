/** Validates a route table before it is proposed. */
import type {
  Route,
  RouteTable,
  WorkspaceQuota,
  WorkspaceSpec,
} from './route_table.js';

/** Upstreams get the name in a header, which can hold visible ASCII only. */
const WORKSPACE_NAME = /^[!-~]([ -~]*[!-~])?$/;

/** All problems of a table; empty if it is valid. */
export function routeTableProblems(table: RouteTable): readonly string[] {
  return [
    ...duplicateServices(table),
    ...duplicateRoutes(table.routes),
    ...table.routes.flatMap(route => routeProblems(route, table)),
    ...duplicateWorkspaces(table.workspaces ?? []),
    ...sharedKeys(table.workspaces ?? []),
    ...(table.workspaces ?? []).flatMap(workspaceProblems),
  ];
}

function duplicateServices({services}: RouteTable): readonly string[] {
  const names = services.map(service => service.name);
  return names
    .filter((name, position) => names.indexOf(name) !== position)
    .map(name => `service ${name} is listed twice`);
}

function duplicateRoutes(routes: readonly Route[]): readonly string[] {
  const seen = new Map<string, Route>();
  return routes.flatMap(route => {
    const hostAndPrefix = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    const other = seen.get(hostAndPrefix);
    seen.set(hostAndPrefix, route);
    return other === undefined
      ? []
      : [`routes ${other.name} and ${route.name} share ${hostAndPrefix}`];
  });
}

function routeProblems(route: Route, table: RouteTable): readonly string[] {
  const known = new Set(table.services.map(service => service.name));
  const {name, pathPrefix, shares} = route;
  const totalWeight = shares.reduce((sum, share) => sum + share.weight, 0);
  const isPrefix = pathPrefix.startsWith('/') && pathPrefix.endsWith('/');
  return [
    ...shares
      .filter(share => !known.has(share.service))
      .map(share => `route ${name}: no service ${share.service}`),
    ...(totalWeight > 0 ? [] : [`route ${name}: its weights add up to 0`]),
    ...(route.timeoutMs > 0 ? [] : [`route ${name}: its timeout is 0`]),
    ...(isPrefix ? [] : [`route ${name}: ${pathPrefix} is no path prefix`]),
  ];
}

function duplicateWorkspaces(
  workspaces: readonly WorkspaceSpec[],
): readonly string[] {
  const names = workspaces.map(each => each.name);
  const duplicates = names.filter(
    (name, position) => names.indexOf(name) !== position,
  );
  return [...new Set(duplicates)].map(
    name => `workspace ${name} is listed twice`,
  );
}

function sharedKeys(workspaces: readonly WorkspaceSpec[]): readonly string[] {
  const holders = new Map<string, WorkspaceSpec>();
  return workspaces.flatMap(workspace =>
    workspace.keyDigests.flatMap((digest, position) => {
      const holder = holders.get(digest) ?? workspace;
      holders.set(digest, holder);
      return holder === workspace
        ? []
        : [
            `workspace ${workspace.name}: its key ${position + 1} ` +
              `is also a key of ${holder.name}`,
          ];
    }),
  );
}

function workspaceProblems({
  name,
  priority = 0,
  quota,
}: WorkspaceSpec): readonly string[] {
  return [
    ...(WORKSPACE_NAME.test(name)
      ? []
      : [`workspace ${JSON.stringify(name)}: its name is not visible ASCII`]),
    ...(Number.isFinite(priority)
      ? []
      : [`workspace ${name}: its priority is ${priority}`]),
    ...(quota === undefined ? [] : quotaProblems(quota)).map(
      problem => `workspace ${name}: ${problem}`,
    ),
  ];
}

function quotaProblems({
  ratePerS,
  burst,
  plainTokens,
}: WorkspaceQuota): readonly string[] {
  return [
    ...(Number.isFinite(ratePerS) && ratePerS > 0
      ? []
      : [`its rate is ${ratePerS} a second`]),
    ...(isAmount(burst) ? [] : [`its burst is ${burst}`]),
    ...(isAmount(plainTokens) ? [] : [`its plain tokens are ${plainTokens}`]),
  ];
}

function isAmount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
