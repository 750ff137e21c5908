/**
 * What the ingress needs of the protocol between callers and upstreams. The
 * platform's adapter implements it.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {PromptSize} from '../scheduling/types.js';
import type {UpstreamId} from '../types/ids.js';

/** What the headers of a request say. */
export interface RequestTraits {
  /** Names one attempt of the caller; `''` if there is none. */
  readonly attemptId: string;
  /** How long the caller waits; `undefined` if it does not say. */
  readonly waitsMs?: number;
  readonly prompt?: PromptSize;
  /** The last event that the caller has, if it resumes a stream. */
  readonly lastEventId?: number;
}

/** How one request is sent to an upstream. */
export interface UpstreamRequestParams {
  readonly upstreamId: UpstreamId;
  readonly remainingMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Address of the upstream that holds the beginning of the prompt. */
  readonly fetchFrom?: string;
  /** The last event that was relayed, when a stream goes on. */
  readonly lastEventId?: number;
}

/** What the head of an upstream's answer says. */
export interface ResponseTraits {
  /** The attempt that it answers; `undefined` if it does not say. */
  readonly attemptId?: string;
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether it carries the upstream's signature. */
  readonly isSigned: boolean;
  readonly isEncoded: boolean;
}

/** A header as a pair of name and value. */
export type HeaderPair = readonly [name: string, value: string];

/** Reads and writes the headers of requests and answers. */
export abstract class RequestProtocol {
  abstract requestTraits(headers: IncomingHttpHeaders): RequestTraits;

  /** The caller's headers with those that the system sets. */
  abstract upstreamHeaders(
    rawHeaders: readonly string[],
    send: UpstreamRequestParams,
  ): readonly HeaderPair[];

  abstract responseTraits(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseTraits;

  /** The headers of an answer that go on to the caller. */
  abstract callerHeaders(headers: IncomingHttpHeaders): readonly HeaderPair[];
}

/** Headers that concern one connection only. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

/** Pairs of a raw header list without those of the connection. */
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
    return !CONNECTION_HEADERS.has(lower) && !named.has(lower);
  });
}

/** Pairs of parsed headers without those of the connection. */
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
