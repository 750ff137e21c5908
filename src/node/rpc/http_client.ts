/** Sends calls between processes as JSON-RPC 2.0 over HTTP. */
import {
  JSONRPCClient,
  JSONRPCErrorException,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';
import {Agent, request} from 'undici';
import {GatewayError} from '../types/errors.js';
import {AUTHENTICATION_HEADER, createCredentials} from './authentication.js';
import {timeoutSignal} from '../utils.js';
import {toRemoteError, toTransportError} from './call_errors.js';
import {RpcClient, type RpcClientOptions} from './rpc.js';

/** The path of the inner listener that answers JSON-RPC calls. */
export const RPC_PATH = '/rpc';

const CONNECTIONS_PER_PEER = 4;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
const CONNECT_TIMEOUT_MS = 2_000;

/**
 * One call in flight. The JSON-RPC library turns transport errors into error
 * responses, so the original error is stored here.
 */
interface PendingCall {
  readonly timeoutMs: number;
  transportError?: GatewayError;
}

function isAbortError(thrown: unknown): boolean {
  return (
    thrown instanceof Error &&
    (thrown.name === 'AbortError' || thrown.name === 'TimeoutError')
  );
}

function transportError(thrown: unknown, address: string): GatewayError {
  const code = isAbortError(thrown) ? 'timeout' : 'unreachable';
  return toTransportError(thrown, code, address);
}

/** Without this check, a call whose response never comes would not end. */
function requireReplyTo(
  payload: unknown,
  {id}: JSONRPCResponse,
  address: string,
): void {
  if (id === (payload as JSONRPCRequest).id) return;
  throw new GatewayError({
    code: 'unreachable',
    message: 'the response belongs to another call',
    step: 'rpc.send',
    peer: address,
    work: 'unknown',
  });
}

/**
 * Calls other instances over HTTP. A call that times out destroys its
 * connection, so a stalled connection is never reused.
 */
export class HttpRpcClient extends RpcClient {
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
  private readonly clients = new Map<string, JSONRPCClient<PendingCall>>();

  constructor(private readonly options: RpcClientOptions) {
    super();
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
  }

  protected override async send(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const call: PendingCall = {timeoutMs};
    try {
      return await this.clientFor(address).request(method, params, call);
    } catch (thrown) {
      if (call.transportError !== undefined) throw call.transportError;
      if (thrown instanceof JSONRPCErrorException) {
        throw toRemoteError(thrown, address, method);
      }
      throw transportError(thrown, address);
    }
  }

  private clientFor(address: string): JSONRPCClient<PendingCall> {
    const existing = this.clients.get(address);
    if (existing !== undefined) return existing;
    const client: JSONRPCClient<PendingCall> = new JSONRPCClient(
      async (payload, call) => {
        client.receive(await this.post(address, payload, call));
      },
    );
    this.clients.set(address, client);
    return client;
  }

  private async post(
    address: string,
    payload: unknown,
    call: PendingCall | undefined,
  ): Promise<JSONRPCResponse> {
    try {
      return await this.exchange(
        address,
        payload,
        call?.timeoutMs ?? CONNECT_TIMEOUT_MS,
      );
    } catch (thrown) {
      const error = transportError(thrown, address);
      if (call !== undefined) call.transportError = error;
      throw error;
    }
  }

  private async exchange(
    address: string,
    payload: unknown,
    timeoutMs: number,
  ): Promise<JSONRPCResponse> {
    const body = Buffer.from(JSON.stringify(payload));
    const response = await request(`http://${address}${RPC_PATH}`, {
      method: 'POST',
      dispatcher: this.agent,
      body,
      headers: {
        'content-type': 'application/json',
        [AUTHENTICATION_HEADER]: createCredentials(
          this.options.clusterSecret,
          this.options.self,
          RPC_PATH,
          body,
        ),
      },
      signal: timeoutSignal(timeoutMs),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new GatewayError({
        code: response.statusCode === 401 ? 'unauthorized' : 'unreachable',
        message: `status ${response.statusCode} from the inner listener`,
        step: 'rpc.send',
        peer: address,
      });
    }
    const reply = (await response.body.json()) as JSONRPCResponse;
    requireReplyTo(payload, reply, address);
    return reply;
  }
}
