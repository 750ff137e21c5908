/**
 * Sends calls as JSON-RPC 2.0 over one persistent connection to each peer. It
 * is meant for small, frequent messages: a call costs a fraction of the CPU time
 * of an HTTP exchange. Use `HttpRpcClient` for large messages: a connection
 * delivers in order, so a large message delays those behind it.
 */
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  JSONRPCErrorException,
  type JSONRPCID,
  type JSONRPCErrorResponse,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import {monotonicNowMs} from '../clock/clock.js';
import type {ErrorCode, GatewayError} from '../types/errors.js';
import {AUTHENTICATION_HEADER, createCredentials} from './authentication.js';
import {toRemoteError, toTransportError} from './call_errors.js';
import {RpcClient, type RpcClientOptions} from './rpc.js';
import {createStreamKey, FrameReader, FrameWriter} from './stream_frames.js';

/** The path of the inner listener that upgrades a connection to a stream. */
export const STREAM_PATH = '/rpc-stream';
export const STREAM_PROTOCOL = 'cyclamenfall-rpc';
/** Carries the server's contribution to the key of the connection. */
export const NONCE_HEADER = 'x-cyclamenfall-nonce';

const CONNECT_TIMEOUT_MS = 800;
/** Closes a connection that receives nothing for this long with calls in flight. */
const STALL_TIMEOUT_MS = 700;
/**
 * Opens a spare connection after this long without data, to distinguish a
 * stalled connection from an unresponsive peer.
 */
const SPARE_DELAY_MS = 350;
/** Code of local timeouts; the peer does not send it. */
const TIMEOUT_CODE = -32_001;
/** The JSON-RPC library's code for calls that it rejects itself. */
const REJECTED_CODE = 0;
const LOCAL_ERRORS: ReadonlyMap<number, ErrorCode> = new Map([
  [TIMEOUT_CODE, 'timeout'],
  [REJECTED_CODE, 'unreachable'],
]);
const STALLED_REASON = 'the connection is silent';
const UNRESPONSIVE_REASON = 'the peer is silent';
const EMPTY_BODY = new Uint8Array();

/** Calls other instances over streams. */
export class StreamRpcClient extends RpcClient {
  private readonly peers = new Map<string, PeerStream>();
  /** Connections that were opened because another one stalled. */
  private readonly spares = new Map<string, PeerStream>();

  constructor(private readonly options: RpcClientOptions) {
    super();
  }

  override close(): Promise<void> {
    [...this.peers.values(), ...this.spares.values()].forEach(peer =>
      peer.close('this process stops'),
    );
    this.peers.clear();
    this.spares.clear();
    return Promise.resolve();
  }

  protected override async send(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    try {
      return await this.streamTo(address).call(method, params, timeoutMs);
    } catch (thrown) {
      throw toCallError(thrown, address, method);
    }
  }

  private streamTo(address: string): PeerStream {
    const existing = this.peers.get(address);
    if (existing !== undefined && !existing.isClosed) return existing;
    const spare = this.spares.get(address);
    this.spares.delete(address);
    const next =
      spare === undefined || spare.isClosed ? this.open(address) : spare;
    this.peers.set(address, next);
    return next;
  }

  private open(address: string): PeerStream {
    return new PeerStream(address, this.options, {
      openSpare: () => this.spares.set(address, this.open(address)),
      isSpareOpen: () => this.spares.get(address)?.isOpen === true,
    });
  }
}

function toCallError(
  thrown: unknown,
  address: string,
  method: string,
): GatewayError {
  const isErrorResponse = thrown instanceof JSONRPCErrorException;
  const code = isErrorResponse ? localCode(thrown) : 'unreachable';
  return isErrorResponse && code === undefined
    ? toRemoteError(thrown, address, method)
    : toTransportError(thrown, code ?? 'unreachable', address);
}

// The peer of a stalled connection may be healthy, so it is not unreachable.
function localCode(thrown: JSONRPCErrorException): ErrorCode | undefined {
  return thrown.message === STALLED_REASON
    ? 'timeout'
    : LOCAL_ERRORS.get(thrown.code);
}

/** The second connection to a peer whose first connection stalled. */
interface SpareConnection {
  readonly openSpare: () => void;
  /** Whether the peer has accepted it. */
  readonly isSpareOpen: () => boolean;
}

/** One connection to one peer. It is replaced once closed. */
class PeerStream {
  isClosed = false;
  private readonly client: JSONRPCClient;
  private readonly upgradeRequest: ClientRequest;
  private socket: Duplex | undefined;
  private writer: FrameWriter | undefined;
  private unsentMessages: unknown[] = [];
  private receivedAtMs = Number.NEGATIVE_INFINITY;
  private callsInFlight = 0;
  /** When the number of calls in flight last rose from zero. */
  private awaitingSinceMs = 0;
  private stallTimer: ReturnType<typeof setTimeout> | undefined;
  private readonly connectTimer: ReturnType<typeof setTimeout>;

  constructor(
    private readonly address: string,
    private readonly options: RpcClientOptions,
    private readonly spare: SpareConnection,
  ) {
    this.client = new JSONRPCClient(payload => this.send(payload));
    this.connectTimer = setTimeout(
      () => this.close('the connection took too long'),
      CONNECT_TIMEOUT_MS,
    );
    this.upgradeRequest = this.connect();
  }

  get isOpen(): boolean {
    return this.writer !== undefined && !this.isClosed;
  }

  /** Rejects with a `JSONRPCErrorException`. */
  async call(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const sentAtMs = monotonicNowMs();
    const timedClient = this.client.timeout(timeoutMs, id => {
      this.closeIfStalled(sentAtMs);
      return localError(id, TIMEOUT_CODE, 'timed out');
    });
    this.trackCall(sentAtMs);
    try {
      return await timedClient.request(method, params as object);
    } finally {
      this.callsInFlight -= 1;
    }
  }

  private trackCall(nowMs: number): void {
    if (this.callsInFlight === 0) this.awaitingSinceMs = nowMs;
    this.callsInFlight += 1;
    this.stallTimer ??= setTimeout(() => this.checkStall(), SPARE_DELAY_MS);
  }

  private checkStall(): void {
    this.stallTimer = undefined;
    if (this.isClosed || this.callsInFlight === 0) return;
    const stalledMs =
      monotonicNowMs() - Math.max(this.awaitingSinceMs, this.receivedAtMs);
    if (stalledMs >= STALL_TIMEOUT_MS) {
      this.closeStalled();
      return;
    }
    const needsSpare = stalledMs >= SPARE_DELAY_MS;
    if (needsSpare && this.isOpen) this.spare.openSpare();
    const nextMs = needsSpare ? STALL_TIMEOUT_MS : SPARE_DELAY_MS;
    this.stallTimer = setTimeout(() => this.checkStall(), nextMs - stalledMs);
  }

  private closeStalled(): void {
    this.close(this.spare.isSpareOpen() ? STALLED_REASON : UNRESPONSIVE_REASON);
  }

  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.connectTimer);
    clearTimeout(this.stallTimer);
    this.upgradeRequest.destroy();
    this.socket?.destroy();
    this.client.rejectAllPendingRequests(reason);
  }

  // If nothing was received since the call was sent, the connection may be
  // dead; the next call then opens a new one.
  private closeIfStalled(sinceMs: number): void {
    if (this.receivedAtMs < sinceMs) {
      setImmediate(() => this.closeStalled());
    }
  }

  private connect(): ClientRequest {
    const {clusterSecret, self} = this.options;
    const [host, port] = splitAddress(this.address);
    const credentials = createCredentials(
      clusterSecret,
      self,
      STREAM_PATH,
      EMPTY_BODY,
    );
    const upgradeRequest = request({
      host,
      port,
      path: STREAM_PATH,
      agent: false,
      headers: {
        connection: 'Upgrade',
        upgrade: STREAM_PROTOCOL,
        [AUTHENTICATION_HEADER]: credentials,
      },
    });
    upgradeRequest.on('upgrade', (response, socket, head) =>
      this.startStream(credentials, response, socket, head),
    );
    upgradeRequest.on('response', response => {
      response.resume();
      this.close(`status ${response.statusCode} from the inner listener`);
    });
    upgradeRequest.on('error', error => this.close(error.message));
    upgradeRequest.end();
    return upgradeRequest;
  }

  private startStream(
    credentials: string,
    response: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): void {
    clearTimeout(this.connectTimer);
    const nonce = String(response.headers[NONCE_HEADER] ?? '');
    const key = createStreamKey(this.options.clusterSecret, credentials, nonce);
    const reader = new FrameReader(key, 'reply', message => {
      this.receivedAtMs = monotonicNowMs();
      this.client.receive(message as JSONRPCResponse);
    });
    this.socket = socket;
    socket.on('error', error => this.close(error.message));
    socket.on('close', () => this.close('the peer closed the connection'));
    socket.on('data', (chunk: Buffer) => {
      try {
        reader.push(chunk);
      } catch (thrown) {
        this.close(thrown instanceof Error ? thrown.message : String(thrown));
      }
    });
    if (head.length > 0) socket.unshift(head);
    const writer = new FrameWriter(socket, key, 'request');
    this.writer = writer;
    this.unsentMessages.splice(0).forEach(message => writer.write(message));
  }

  private send(payload: unknown): void {
    if (this.isClosed) throw new Error('the connection is closed');
    if (this.writer === undefined) this.unsentMessages.push(payload);
    else this.writer.write(payload);
  }
}

function localError(
  id: JSONRPCID,
  code: number,
  message: string,
): JSONRPCErrorResponse {
  return createJSONRPCErrorResponse(id, code, message);
}

function splitAddress(address: string): readonly [string, number] {
  const end = address.lastIndexOf(':');
  return [address.slice(0, end), Number(address.slice(end + 1))];
}
