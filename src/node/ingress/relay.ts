/**
 * Relays a request to an entry of another region, which runs it on an upstream
 * there. A request is relayed at most once: the receiver never relays it again.
 */
import {monotonicNowMs} from '../clock/clock.js';
import {drawnEntry} from '../fleet/entry_capacity.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import {
  AUTHENTICATION_HEADER,
  createCredentials,
} from '../rpc/authentication.js';
import type {BegunStream} from '../scheduling/types.js';
import type {
  InstanceId,
  RegionId,
  ServiceId,
  UpstreamId,
  WorkspaceId,
} from '../types/ids.js';
import type {ConnectionPools} from './connections.js';
import {exchangeWith, type ResponseSink, type ExchangeEnd} from './exchange.js';
import {RelayDoubts, type WaitingRelay} from './relay_doubts.js';
import type {InboundRequest} from './types.js';

/** Path for relayed requests on the inner listener. */
export const RELAY_PATH = '/relay';
const LENGTH_PREFIX_BYTES = 4;

/** Metadata that is sent in front of the body of a relayed request. */
export interface RelayMetadata {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Without the caller's key if the table has workspaces. */
  readonly rawHeaders: readonly string[];
  /** Set if the sender's table has workspaces and the route is not public. */
  readonly workspace?: WorkspaceId;
  readonly service: ServiceId;
  readonly remainingMs: number;
  /** Time since the first entry received the request. */
  readonly ageMs: number;
  readonly isRepeat: boolean;
  readonly avoidUpstreams: readonly UpstreamId[];
  readonly lastEventId?: number;
  readonly begun?: BegunStream;
}

export interface RelayOptions {
  readonly self: InstanceId;
  readonly clusterSecret: string;
  readonly members: FleetMembers;
  readonly connections: ConnectionPools;
}

/** Sends requests to entries of other regions. */
export class RelayClient {
  private readonly doubts = new RelayDoubts();

  constructor(private readonly options: RelayOptions) {}

  /** Whether requests sent to the region now would probably not be answered. */
  isDoubtful(region: RegionId): boolean {
    return this.doubts.isDoubtful(region, monotonicNowMs());
  }

  /** Aborting the signal closes the connection and so cancels the request. */
  async send(
    region: RegionId,
    request: InboundRequest,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<ExchangeEnd> {
    const {members, connections, self, clusterSecret} = this.options;
    const nowMs = monotonicNowMs();
    const entries = members.relayTargets(region, nowMs);
    const entry = drawnEntry(entries, Math.random);
    if (entry === undefined) {
      return {kind: 'not_sent', cause: `no live entry in region ${region}`};
    }
    const body = encodeRelayRequest(metadataOf(request, nowMs), request.body);
    const {targetLatencyMs} = request.route;
    const waiting = this.doubts.noteSent(region, targetLatencyMs, nowMs);
    const end = await exchangeWith(
      connections,
      {address: entry.innerAddress},
      {
        method: 'POST',
        path: RELAY_PATH,
        headers: [
          AUTHENTICATION_HEADER,
          createCredentials(clusterSecret, self, RELAY_PATH, body),
        ],
        body,
      },
      this.observed(sink, waiting),
      signal,
    );
    const isFailed = end.kind === 'not_sent' || end.kind === 'broken';
    this.doubts.noteEnd(waiting, isFailed, monotonicNowMs());
    if (end.kind === 'not_sent') {
      members.suspect(entry.instanceId, monotonicNowMs());
    }
    return end;
  }

  private observed(sink: ResponseSink, waiting: WaitingRelay): ResponseSink {
    return {
      onHead: (status, headers) => {
        this.doubts.noteAnswer(waiting, monotonicNowMs());
        sink.onHead(status, headers);
      },
      onData: (chunk, resume) => sink.onData(chunk, resume),
    };
  }
}

/** Encodes the metadata length, the metadata as JSON, and the body. */
export function encodeRelayRequest(
  metadata: RelayMetadata,
  body: Buffer,
): Buffer {
  const metadataBytes = Buffer.from(JSON.stringify(metadata));
  const length = Buffer.alloc(LENGTH_PREFIX_BYTES);
  length.writeUInt32BE(metadataBytes.length);
  return Buffer.concat([length, metadataBytes, body]);
}

/** Reverses `encodeRelayRequest`; throws if the bytes are malformed. */
export function decodeRelayRequest(bytes: Buffer): {
  metadata: RelayMetadata;
  body: Buffer;
} {
  const end = LENGTH_PREFIX_BYTES + bytes.readUInt32BE(0);
  const text = bytes.toString('utf8', LENGTH_PREFIX_BYTES, end);
  return {
    metadata: JSON.parse(text) as RelayMetadata,
    body: bytes.subarray(end),
  };
}

function metadataOf(request: InboundRequest, nowMs: number): RelayMetadata {
  const {requestId, method, path, rawHeaders, service} = request;
  const {lastEventId, begun, workspace} = request;
  return {
    requestId,
    method,
    path,
    rawHeaders,
    service,
    host: request.route.host,
    ...(workspace === undefined ? {} : {workspace: workspace.name}),
    remainingMs: request.expiresAtMs - nowMs,
    ageMs: nowMs - request.receivedAtMs,
    isRepeat: request.isRepeat,
    avoidUpstreams: request.avoidUpstreams,
    ...(lastEventId === undefined ? {} : {lastEventId}),
    ...(begun === undefined ? {} : {begun}),
  };
}
