/** Validates a route table before it is proposed. */
import type {Route, RouteTable} from './route_table.js';

/** All problems of a table; empty if it is valid. */
export function routeTableProblems(table: RouteTable): readonly string[] {
  return [
    ...duplicateServices(table),
    ...duplicateRoutes(table.routes),
    ...table.routes.flatMap(route => routeProblems(route, table)),
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
