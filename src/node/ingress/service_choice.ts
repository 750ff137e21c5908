/** Chooses the service of a caller's request: by weight, or as its stream began. */
import type {IncomingMessage} from 'node:http';
import type {StreamOrigin} from '../origins/origin_store.js';
import type {RouteMatcher} from '../routes/route_matcher.js';
import type {Route} from '../routes/route_table.js';
import {requestFromCaller} from './inbound_request.js';
import type {RequestRunContext} from './request_context.js';
import {headersWithoutIdentity, type RequestRules} from './request_rules.js';
import type {InboundRequest} from './types.js';

type ServiceContext = Pick<RequestRunContext, 'protocol' | 'origins'>;

/** The rules for a caller's request, and the table that was in force then. */
export interface RulesMatch {
  readonly matcher: RouteMatcher;
  readonly rules: RequestRules;
  readonly receivedAtMs: number;
}

/** The request for a service of its route; `undefined` if that has none. */
export async function withService(
  request: IncomingMessage,
  body: Buffer,
  {matcher, rules, receivedAtMs}: RulesMatch,
  context: ServiceContext,
): Promise<InboundRequest | undefined> {
  const {protocol} = context;
  const {rawHeaders} = request;
  const origin = await findOrigin(request, rules.route, context);
  const service =
    origin?.service ?? matcher.pickService(rules.route, Math.random());
  if (service === undefined) return undefined;
  return requestFromCaller(request, body, {
    ...rules,
    traits: protocol.requestTraits(request.headers),
    rawHeaders: headersWithoutIdentity(matcher, rawHeaders, protocol),
    service,
    tableVersion: matcher.table.version,
    origin,
    receivedAtMs,
  });
}

/** What began the stream that the caller takes up again, as far as known. */
async function findOrigin(
  request: IncomingMessage,
  route: Route,
  {protocol, origins}: ServiceContext,
): Promise<StreamOrigin | undefined> {
  const {resumedAttemptId} = protocol.requestTraits(request.headers);
  if (resumedAttemptId === undefined) return undefined;
  const origin = await origins.find(resumedAttemptId);
  // The route may lead to another service by now.
  const isServed = route.shares.some(
    ({service, weight}) => service === origin?.service && weight > 0,
  );
  return isServed ? origin : undefined;
}
