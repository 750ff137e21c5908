/**
 * What the decision to reject a request rests on, for its log line. No key and no
 * digest of one is part of it, as the digest of a guessed key could be compared.
 */
import type {RouteMatcher} from '../routes/route_matcher.js';
import type {RegionId} from '../types/ids.js';
import type {RequestProtocol} from './protocol.js';
import type {RelayMetadata} from './relay.js';
import type {CallerHead, NoCallerRules, NoRelayRules} from './request_rules.js';

/** Fields of a log line. */
export type RejectionFigures = Readonly<Record<string, unknown>>;

/** Why the rules gave none for a request of a caller. */
export function callerFigures(
  reason: NoCallerRules,
  matcher: RouteMatcher,
  {headers, path}: CallerHead,
  protocol: Pick<RequestProtocol, 'callerKey'>,
): RejectionFigures {
  const key = protocol.callerKey(headers);
  if (reason === 'unknown_key') return unknownKeyFigures(matcher, key);
  if (reason === 'no_route') return {};
  const workspace = matcher.workspaces?.withKey(key);
  const route = matcher.match(headers.host ?? '', path);
  return {
    route: route?.name,
    routeHomes: route?.homeRegions,
    workspace: workspace?.name,
    workspaceHomes: workspace?.homeRegions,
  };
}

/** The same for a request that another entry relayed to `region`. */
export function relayFigures(
  reason: NoRelayRules,
  matcher: RouteMatcher,
  {host, path, workspace: name}: RelayMetadata,
  region: RegionId,
): RejectionFigures {
  const workspace =
    name === undefined ? undefined : matcher.workspaces?.withName(name);
  const route = matcher.match(host, path);
  if (reason === 'no_route') return {};
  return {
    entryRegion: region,
    route: route?.name,
    routeHomes: route?.homeRegions,
    workspace: name,
    workspaceHomes: workspace?.homeRegions,
  };
}

function unknownKeyFigures(
  {keyHistory}: RouteMatcher,
  key: string | undefined,
): RejectionFigures {
  if (key === undefined) return {hasKey: false};
  const {sinceVersion, formerWorkspace} = keyHistory.absenceOf(key);
  return {hasKey: true, unknownSinceVersion: sinceVersion, formerWorkspace};
}
