/**
 * The protocol between callers and upstreams, as far as the ingress depends on
 * it. The platform's adapter implements it.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {PromptSize} from '../scheduling/types.js';
import type {AttemptId, UpstreamId, WorkspaceId} from '../types/ids.js';

/** Properties that the headers of a request state. */
export interface RequestTraits {
  /** Identifies one attempt of the caller; `''` if it sends no id. */
  readonly attemptId: string;
  /** The caller's timeout; `undefined` if it states none. */
  readonly waitsMs?: number;
  readonly prompt?: PromptSize;
  /** The last event that the caller received, if it resumes a stream. */
  readonly lastEventId?: number;
  /** The attempt that brought the first event of the stream it resumes. */
  readonly resumedAttemptId?: AttemptId;
}

/** Per-try parameters of a request to an upstream. */
export interface UpstreamRequestParams {
  readonly upstreamId: UpstreamId;
  readonly remainingMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** The caller's workspace, of which the upstream is told. */
  readonly workspace?: WorkspaceId;
  /** Address of the upstream that has the prompt prefix cached. */
  readonly fetchFrom?: string;
  /** The last event that was relayed, if a stream is resumed. */
  readonly lastEventId?: number;
}

/** Properties that the status and headers of a response state. */
export interface ResponseTraits {
  /** Id of the attempt that it responds to; `undefined` if it states none. */
  readonly attemptId?: string;
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether callers take its status for a promise that the request did not run. */
  readonly isReadAsNotRun: boolean;
  /** Whether it carries the upstream's signature. */
  readonly isSigned: boolean;
  readonly isEncoded: boolean;
  /**
   * Requests a second that the upstream takes from all instances together, if
   * it names a limit. It holds until a success does not name one any more.
   */
  readonly maxRequestsPerS?: number;
  /**
   * Requests that the upstream may turn away in a second for want of room; it
   * falls over if there are more. Undefined if it says nothing.
   */
  readonly maxRejectionsPerS?: number;
  /**
   * Time for which it wants no other request from this instance, or for which none is
   * to be sent as it is not at its address.
   */
  readonly retryAfterMs?: number;
  /** Whether it says that it is not the upstream that was meant. */
  readonly isMisdirected?: boolean;
  /** Whether the upstream is about to stop. */
  readonly isLeaving: boolean;
}

/** A header as a pair of name and value. */
export type HeaderPair = readonly [name: string, value: string];

/** Reads and writes the headers of requests and responses. */
export abstract class RequestProtocol {
  abstract requestTraits(headers: IncomingHttpHeaders): RequestTraits;

  /** The key with which the caller identifies itself, if it sends one. */
  abstract callerKey(headers: IncomingHttpHeaders): string | undefined;

  /**
   * The caller's raw headers without its key, and without what it says of its
   * workspace. Nothing beyond the entry that has the caller needs them.
   */
  abstract withoutIdentity(rawHeaders: readonly string[]): readonly string[];

  /** The caller's headers, with those that the gateway sets. */
  abstract upstreamHeaders(
    rawHeaders: readonly string[],
    send: UpstreamRequestParams,
  ): readonly HeaderPair[];

  abstract responseTraits(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseTraits;

  /** The headers of an upstream's response that are passed to the caller. */
  abstract callerHeaders(headers: IncomingHttpHeaders): readonly HeaderPair[];
}

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/** A raw header list without headers of some names, given in lower case. */
export function withoutHeaders(
  rawHeaders: readonly string[],
  names: ReadonlySet<string>,
): readonly string[] {
  // Names stand at even positions, each followed by its value.
  return rawHeaders.filter(
    (_, position) =>
      !names.has((rawHeaders[position - (position % 2)] ?? '').toLowerCase()),
  );
}

/** The headers of a raw header list, without hop-by-hop headers. */
export function endToEndHeaders(
  rawHeaders: readonly string[],
): readonly HeaderPair[] {
  const pairs = rawHeaders.flatMap((name, position) =>
    position % 2 === 0 ? [[name, rawHeaders[position + 1] ?? ''] as const] : [],
  );
  const named = new Set(
    pairs
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.split(','))
      .map(name => name.trim().toLowerCase()),
  );
  return pairs.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP_HEADERS.has(lower) && !named.has(lower);
  });
}

/** The same for parsed headers. */
export function endToEndHeadersOf(
  headers: IncomingHttpHeaders,
): readonly HeaderPair[] {
  const raw = Object.entries(headers).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value ?? '']).flatMap(each => [
      name,
      each,
    ]),
  );
  return endToEndHeaders(raw);
}
