/**
 * Sends a request to an entry of another region, which runs it on an upstream
 * there. It is relayed at most once: the receiver never relays it again.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import {
  AUTHENTICATION_HEADER,
  createCredentials,
} from '../rpc/authentication.js';
import type {
  InstanceId,
  RegionId,
  ServiceId,
  UpstreamId,
} from '../types/ids.js';
import type {Connections} from './connections.js';
import {exchange, type AnswerSink, type ExchangeEnd} from './exchange.js';
import type {InboundRequest} from './types.js';

/** The path of the inner listener for relayed requests. */
export const RELAY_PATH = '/relay';
const LENGTH_BYTES = 4;

/** What travels in front of the body of a relayed request. */
export interface RelayedHead {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly rawHeaders: readonly string[];
  readonly service: ServiceId;
  readonly remainingMs: number;
  /** How long the request has been under way. */
  readonly ageMs: number;
  readonly isRepeat: boolean;
  readonly avoidUpstreams: readonly UpstreamId[];
  readonly lastEventId?: number;
}

export interface RelayOptions {
  readonly self: InstanceId;
  readonly clusterSecret: string;
  readonly members: FleetMembers;
  readonly connections: Connections;
}

/** The sending side. */
export class Relay {
  constructor(private readonly options: RelayOptions) {}

  /** Aborting the signal closes the connection, which cancels the request. */
  async send(
    region: RegionId,
    request: InboundRequest,
    sink: AnswerSink,
    signal: AbortSignal,
  ): Promise<ExchangeEnd> {
    const {members, connections, self, clusterSecret} = this.options;
    const nowMs = monotonicNowMs();
    const entries = members.relayTargets(region, nowMs);
    const entry = entries[Math.floor(Math.random() * entries.length)];
    if (entry === undefined) {
      return {kind: 'not_sent', cause: `no entry in ${region}`};
    }
    const body = encodeRelayed(headOf(request, nowMs), request.body);
    const end = await exchange(
      connections.pool(entry.innerAddress),
      {
        method: 'POST',
        path: RELAY_PATH,
        headers: [
          AUTHENTICATION_HEADER,
          createCredentials(clusterSecret, self, RELAY_PATH, body),
        ],
        body,
      },
      sink,
      signal,
    );
    if (end.kind === 'not_sent') {
      members.suspect(entry.instanceId, monotonicNowMs());
    }
    return end;
  }
}

/** Puts the head in front of the body, after its length. */
export function encodeRelayed(head: RelayedHead, body: Buffer): Buffer {
  const headBytes = Buffer.from(JSON.stringify(head));
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(headBytes.length);
  return Buffer.concat([length, headBytes, body]);
}

/** The reverse of `encodeRelayed`; throws if the bytes do not fit. */
export function decodeRelayed(bytes: Buffer): {
  head: RelayedHead;
  body: Buffer;
} {
  const end = LENGTH_BYTES + bytes.readUInt32BE(0);
  const text = bytes.toString('utf8', LENGTH_BYTES, end);
  return {head: JSON.parse(text) as RelayedHead, body: bytes.subarray(end)};
}

function headOf(request: InboundRequest, nowMs: number): RelayedHead {
  const {requestId, method, path, rawHeaders, service, lastEventId} = request;
  return {
    requestId,
    method,
    path,
    rawHeaders,
    service,
    host: request.route.host,
    remainingMs: request.expiresAtMs - nowMs,
    ageMs: nowMs - request.receivedAtMs,
    isRepeat: request.isRepeat,
    avoidUpstreams: request.avoidUpstreams,
    ...(lastEventId === undefined ? {} : {lastEventId}),
  };
}
