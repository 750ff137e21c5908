/**
 * Finds the rules for a request: its route and its caller's workspace. Callers are
 * known by their key, relayed requests by the name that the first entry has found.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {RouteMatcher} from '../routes/route_matcher.js';
import {
  allowsRegion,
  type Route,
  type WorkspaceSpec,
} from '../routes/route_table.js';
import type {RegionId} from '../types/ids.js';
import type {RequestProtocol} from './protocol.js';
import type {RelayMetadata} from './relay.js';
import type {RejectionReason} from './request_log.js';

/** The rules that apply to one request. */
export interface RequestRules {
  /** With the priority and home regions that apply to the workspace. */
  readonly route: Route;
  /** `undefined` if the route is public or the table has no workspaces. */
  readonly workspace: WorkspaceSpec | undefined;
}

/** Why no rules apply to a caller's request, so that it must not run. */
export type NoCallerRules = Extract<
  RejectionReason,
  'no_route' | 'unknown_key' | 'no_common_region'
>;

/** The same for a relayed request. */
export type NoRelayRules = Extract<
  RejectionReason,
  'no_route' | 'unknown_workspace' | 'no_common_region' | 'not_a_home'
>;

/** What the rules for a caller's request depend on. */
export interface CallerHead {
  readonly headers: IncomingHttpHeaders;
  readonly path: string;
}

/** The rules for a request of a caller. */
export function rulesForCaller(
  matcher: RouteMatcher,
  {headers, path}: CallerHead,
  protocol: Pick<RequestProtocol, 'callerKey'>,
): Result<RequestRules, NoCallerRules> {
  const {workspaces} = matcher;
  const route = matcher.match(headers.host ?? '', path);
  if (route === undefined) return err('no_route');
  if (workspaces === undefined || route.isPublic === true) {
    return ok({route, workspace: undefined});
  }
  const workspace = workspaces.withKey(protocol.callerKey(headers));
  if (workspace === undefined) return err('unknown_key');
  return rulesForWorkspace(matcher, route, workspace);
}

/**
 * The rules for a request that another entry has relayed to this region. The table
 * of that entry may be older or newer than the one here.
 */
export function rulesForRelayed(
  matcher: RouteMatcher,
  {host, path, workspace: name}: RelayMetadata,
  region: RegionId,
): Result<RequestRules, NoRelayRules> {
  const {workspaces} = matcher;
  const route = matcher.match(host, path);
  if (route === undefined) return err('no_route');
  const needsNone = workspaces === undefined || route.isPublic === true;
  const workspace = name === undefined ? undefined : workspaces?.withName(name);
  if (workspace === undefined && (name !== undefined || !needsNone)) {
    return err('unknown_workspace');
  }
  const rules: Result<RequestRules, NoRelayRules> =
    workspace === undefined
      ? ok({route, workspace})
      : rulesForWorkspace(matcher, route, workspace);
  return rules.andThen(each =>
    allowsRegion(each.route, region) ? ok(each) : err('not_a_home'),
  );
}

function rulesForWorkspace(
  {workspaces}: RouteMatcher,
  route: Route,
  workspace: WorkspaceSpec,
): Result<RequestRules, 'no_common_region'> {
  const effective = workspaces?.routeFor(workspace, route);
  return effective === undefined
    ? err('no_common_region')
    : ok({route: effective, workspace});
}

/**
 * The raw headers of a request as it may leave this entry. Without workspaces, the
 * headers of callers mean nothing here and are passed on like any other.
 */
export function headersWithoutIdentity(
  {workspaces}: RouteMatcher,
  rawHeaders: readonly string[],
  protocol: Pick<RequestProtocol, 'withoutIdentity'>,
): readonly string[] {
  return workspaces === undefined
    ? rawHeaders
    : protocol.withoutIdentity(rawHeaders);
}
