/** Builds the requests that the ingress runs, from callers and other entries. */
import {randomBytes} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {boundedKey} from '../bounded_key.js';
import {monotonicNowMs} from '../clock/clock.js';
import type {StreamOrigin} from '../origins/origin_store.js';
import {asId, type RequestId, type ServiceId} from '../types/ids.js';
import type {RequestTraits} from './protocol.js';
import type {RelayMetadata} from './relay.js';
import type {RequestRules} from './request_rules.js';
import type {InboundRequest} from './types.js';

const REQUEST_ID_RANDOM_BYTES = 6;

/** What was found out about a request before it runs. */
export interface MatchedRequest extends RequestRules {
  readonly traits: RequestTraits;
  /** Without the caller's key if the table has workspaces. */
  readonly rawHeaders: readonly string[];
  readonly tableVersion: number;
}

/** The same for a request of a caller, for which a service was chosen. */
export interface MatchedCallerRequest extends MatchedRequest {
  readonly service: ServiceId;
  /** What began the stream that the caller takes up again, if it is known. */
  readonly origin: StreamOrigin | undefined;
  readonly receivedAtMs: number;
}

/** A request that a caller sent to this entry. */
export function requestFromCaller(
  request: IncomingMessage,
  body: Buffer,
  matched: MatchedCallerRequest,
): InboundRequest {
  const {traits, route, service, origin, receivedAtMs} = matched;
  const waitsMs = traits.waitsMs ?? Number.POSITIVE_INFINITY;
  const {lastEventId} = traits;
  const softwareVersion = origin?.softwareVersion;
  return {
    service,
    requestId: createRequestId(traits.attemptId),
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    body,
    ...rulesOf(matched),
    traits,
    receivedAtMs,
    expiresAtMs: receivedAtMs + Math.min(route.timeoutMs, waitsMs),
    isRelayed: false,
    isRepeat: false,
    avoidUpstreams: [],
    lastEventId,
    begun: lastEventId === undefined ? undefined : {softwareVersion},
  };
}

/** A request that another entry relayed to this one. */
export function requestFromRelay(
  metadata: RelayMetadata,
  body: Buffer,
  matched: MatchedRequest,
): InboundRequest {
  const nowMs = monotonicNowMs();
  return {
    requestId: asId<RequestId>(metadata.requestId),
    method: metadata.method,
    path: metadata.path,
    body,
    ...rulesOf(matched),
    service: metadata.service,
    traits: matched.traits,
    receivedAtMs: nowMs - metadata.ageMs,
    expiresAtMs: nowMs + metadata.remainingMs,
    isRelayed: true,
    isRepeat: metadata.isRepeat,
    avoidUpstreams: metadata.avoidUpstreams,
    lastEventId: metadata.lastEventId,
    begun: metadata.begun,
  };
}

function rulesOf({
  route,
  workspace,
  rawHeaders,
  tableVersion,
}: MatchedRequest): Pick<
  InboundRequest,
  'route' | 'workspace' | 'rawHeaders' | 'tableVersion'
> {
  return {
    route,
    rawHeaders,
    tableVersion,
    ...(workspace === undefined ? {} : {workspace}),
  };
}

/** An id that begins with that of the caller's attempt, or a digest of a long one. */
export function createRequestId(attemptId: string): RequestId {
  const unique = randomBytes(REQUEST_ID_RANDOM_BYTES).toString('base64url');
  return asId<RequestId>(`${boundedKey(attemptId)}.${unique}`);
}

/** A colon and the end of the line; a space behind the colon may be missing. */
const LINE_OVERHEAD_BYTES = 3;

/** Least size of the header lines of a request, as its caller may have sent them. */
export function headerBytes({
  rawHeaders,
}: Pick<IncomingMessage, 'rawHeaders'>): number {
  const lineCount = rawHeaders.length / 2;
  return rawHeaders.reduce(
    (sum, text) => sum + text.length,
    lineCount * LINE_OVERHEAD_BYTES,
  );
}

/** A pair of texts and their places in the lists and tables of the runtime. */
const LINE_MEMORY_BYTES = 128;

/** Memory that the header lines of a request take, approximately. */
export function headMemoryBytes({
  rawHeaders,
}: Pick<IncomingMessage, 'rawHeaders'>): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length,
    (rawHeaders.length / 2) * LINE_MEMORY_BYTES,
  );
}

/** Frees the header lines of a request that is refused while its body arrives. */
export function releaseHead(request: IncomingMessage): void {
  request.rawHeaders.length = 0;
  request.headers = {};
}

/** A raw header list by lower-case name. */
export function headersOf(
  rawHeaders: readonly string[],
): Record<string, string> {
  return Object.fromEntries(
    rawHeaders.flatMap((name, position) =>
      position % 2 === 0
        ? [[name.toLowerCase(), rawHeaders[position + 1] ?? '']]
        : [],
    ),
  );
}
