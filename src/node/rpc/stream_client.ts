/**
 * Carries calls as JSON-RPC 2.0 over one kept connection to each peer. It is
 * meant for small, frequent messages: a call costs a fraction of the processor
 * time of an HTTP exchange. Large messages belong to `HttpRpcClient`, since a
 * connection delivers in order.
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

/** The path of the inner listener that turns into a stream of calls. */
export const STREAM_PATH = '/rpc-stream';
export const STREAM_PROTOCOL = 'cyclamenfall-rpc';
/** Carries the server's contribution to the key of the connection. */
export const NONCE_HEADER = 'x-cyclamenfall-nonce';

const CONNECT_TIMEOUT_MS = 800;
/** A peer that owes an answer and sends nothing for so long is given up. */
const SILENCE_MS = 700;
/** From then on a second connection is opened, to tell which of both it is. */
const DOUBT_MS = 350;
/** Codes of errors that arise here; the peer's own are others. */
const TIMEOUT_CODE = -32_001;
/** The library's code for calls that it rejects itself. */
const REJECTED_CODE = 0;
const LOCAL_ERRORS: ReadonlyMap<number, ErrorCode> = new Map([
  [TIMEOUT_CODE, 'timeout'],
  [REJECTED_CODE, 'unreachable'],
]);
const SILENT_REASON = 'the connection is silent';
const DEAD_REASON = 'the peer is silent';
const EMPTY_BODY = new Uint8Array();

/** Calls other instances over streams. */
export class StreamRpcClient extends RpcClient {
  private readonly peers = new Map<string, PeerStream>();
  /** Connections that were opened beside silent ones. */
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
      return await this.peerAt(address).call(method, params, timeoutMs);
    } catch (thrown) {
      throw errorOf(thrown, address, method);
    }
  }

  private peerAt(address: string): PeerStream {
    const known = this.peers.get(address);
    if (known !== undefined && !known.isClosed) return known;
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

function errorOf(
  thrown: unknown,
  address: string,
  method: string,
): GatewayError {
  const isAnswer = thrown instanceof JSONRPCErrorException;
  const code = isAnswer ? localCodeOf(thrown) : 'unreachable';
  return isAnswer && code === undefined
    ? toRemoteError(thrown, address, method)
    : toTransportError(thrown, code ?? 'unreachable', address);
}

// The peer behind a silent connection may be well.
function localCodeOf(thrown: JSONRPCErrorException): ErrorCode | undefined {
  return thrown.message === SILENT_REASON
    ? 'timeout'
    : LOCAL_ERRORS.get(thrown.code);
}

/** The second connection to a peer whose first one is silent. */
interface Spare {
  readonly openSpare: () => void;
  /** Whether the peer itself has answered on it. */
  readonly isSpareOpen: () => boolean;
}

/** One connection to one peer; once closed it is replaced. */
class PeerStream {
  isClosed = false;
  private readonly client: JSONRPCClient;
  private readonly connecting: ClientRequest;
  private socket: Duplex | undefined;
  private writer: FrameWriter | undefined;
  private waiting: unknown[] = [];
  private receivedAtMs = Number.NEGATIVE_INFINITY;
  private callsUnderWay = 0;
  /** Since then the peer owes an answer and has sent nothing. */
  private owedSinceMs = 0;
  private silenceTimer: ReturnType<typeof setTimeout> | undefined;
  private readonly connectTimer: ReturnType<typeof setTimeout>;

  constructor(
    private readonly address: string,
    private readonly options: RpcClientOptions,
    private readonly spare: Spare,
  ) {
    this.client = new JSONRPCClient(payload => this.send(payload));
    this.connectTimer = setTimeout(
      () => this.close('the connection took too long'),
      CONNECT_TIMEOUT_MS,
    );
    this.connecting = this.connect();
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
    const timed = this.client.timeout(timeoutMs, id => {
      this.closeIfSilent(sentAtMs);
      return localError(id, TIMEOUT_CODE, 'timed out');
    });
    this.expectAnswer(sentAtMs);
    try {
      return await timed.request(method, params as object);
    } finally {
      this.callsUnderWay -= 1;
    }
  }

  private expectAnswer(nowMs: number): void {
    if (this.callsUnderWay === 0) this.owedSinceMs = nowMs;
    this.callsUnderWay += 1;
    this.silenceTimer ??= setTimeout(() => this.checkSilence(), DOUBT_MS);
  }

  private checkSilence(): void {
    this.silenceTimer = undefined;
    if (this.isClosed || this.callsUnderWay === 0) return;
    const silentMs =
      monotonicNowMs() - Math.max(this.owedSinceMs, this.receivedAtMs);
    if (silentMs >= SILENCE_MS) {
      this.closeSilent();
      return;
    }
    const isDoubtful = silentMs >= DOUBT_MS;
    if (isDoubtful && this.isOpen) this.spare.openSpare();
    const nextMs = isDoubtful ? SILENCE_MS : DOUBT_MS;
    this.silenceTimer = setTimeout(
      () => this.checkSilence(),
      nextMs - silentMs,
    );
  }

  private closeSilent(): void {
    this.close(this.spare.isSpareOpen() ? SILENT_REASON : DEAD_REASON);
  }

  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.connectTimer);
    clearTimeout(this.silenceTimer);
    this.connecting.destroy();
    this.socket?.destroy();
    this.client.rejectAllPendingRequests(reason);
  }

  // A peer that sent nothing since the call may be behind a dead connection;
  // a fresh one tells.
  private closeIfSilent(sinceMs: number): void {
    if (this.receivedAtMs < sinceMs) {
      setImmediate(() => this.closeSilent());
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
    const connecting = request({
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
    connecting.on('upgrade', (response, socket, head) =>
      this.open(credentials, response, socket, head),
    );
    connecting.on('response', response => {
      response.resume();
      this.close(`status ${response.statusCode} from the inner listener`);
    });
    connecting.on('error', error => this.close(error.message));
    connecting.end();
    return connecting;
  }

  private open(
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
    this.waiting.splice(0).forEach(message => writer.write(message));
  }

  private send(payload: unknown): void {
    if (this.isClosed) throw new Error('the connection is closed');
    if (this.writer === undefined) this.waiting.push(payload);
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
