/** The rules of a route together with those of a caller's workspace. */
import type {Route, WorkspaceSpec} from '../routes/route_table.js';
import type {RegionId} from '../types/ids.js';

/**
 * The route with the priority of the workspace, which goes before its own, and
 * the regions that both allow; `undefined` if both are bound to regions and have
 * none in common.
 */
export function effectiveRoute(
  route: Route,
  {priority = route.priority, homeRegions}: WorkspaceSpec,
): Route | undefined {
  const homes = commonRegions(route.homeRegions, homeRegions);
  if (homes === undefined) return undefined;
  const isSame = priority === route.priority && homes === route.homeRegions;
  return isSame ? route : {...route, priority, homeRegions: homes};
}

/** The regions in two lists, where an empty list means all; `undefined` if none. */
function commonRegions(
  left: readonly RegionId[],
  right: readonly RegionId[],
): readonly RegionId[] | undefined {
  if (right.length === 0) return left;
  if (left.length === 0) return right;
  const common = left.filter(each => right.includes(each));
  return common.length === 0 ? undefined : common;
}
