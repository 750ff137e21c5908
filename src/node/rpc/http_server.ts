/**
 * The inner listener of a process. It authenticates every message from other
 * instances and serves JSON-RPC calls and forwarded requests.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {
  JSONRPCErrorException,
  JSONRPCServer,
  type JSONRPCRequest,
} from 'json-rpc-2.0';
import {toErrorBody, toGatewayError} from '../types/errors.js';
import {
  keepFewHeaderLines,
  SLOW_SENDER_CHECK_MS,
} from '../http/header_lines.js';
import {closeServer, listen, readBody, sendResponse} from '../http/server.js';
import {AUTHENTICATION_HEADER, CredentialVerifier} from './authentication.js';
import {RPC_PATH} from './http_client.js';
import type {RpcContext, RpcRouter} from './rpc.js';
import {StreamServer} from './stream_server.js';

const MAX_INNER_BODY_BYTES = 64 * 1024 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const RPC_ERROR_CODE = -32_000;

/** The JSON-RPC library responds to it with 'Invalid Request'. */
const INVALID_CALL = {} as JSONRPCRequest;

/** Handles one authenticated request on a path other than `/rpc`. */
export type InnerHandler = (
  body: Buffer,
  request: IncomingMessage,
  response: ServerResponse,
  context: RpcContext,
) => Promise<void>;

/** Options of `InnerServer`. */
export interface InnerServerOptions {
  /** `host:port`; port 0 selects any free port. */
  readonly address: string;
  readonly clusterSecret: string;
  readonly router: RpcRouter;
  /** Handlers by path, such as the one for forwarded requests. */
  readonly handlers?: ReadonlyMap<string, InnerHandler>;
}

/** The inner listener: HTTP server, RPC dispatch and RPC streams. */
export class InnerServer {
  private readonly verifier: CredentialVerifier;
  private readonly jsonRpc = new JSONRPCServer<RpcContext>({
    errorListener: () => undefined,
  });
  private readonly server: Server;
  private readonly streams: StreamServer;

  constructor(private readonly options: InnerServerOptions) {
    this.verifier = new CredentialVerifier(options.clusterSecret);
    this.server = createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
      },
      (request, response) => void this.answer(request, response),
    );
    keepFewHeaderLines(this.server);
    this.streams = new StreamServer({
      clusterSecret: options.clusterSecret,
      verifier: this.verifier,
      answer: async (call, context) =>
        this.jsonRpc.receive(this.ensureRegistered(call), context),
    });
    this.server.on('upgrade', (request, socket, head) =>
      this.streams.accept(request, socket, head),
    );
    this.jsonRpc.mapErrorToJSONRPCErrorResponse = (id, thrown) => {
      const error = toGatewayError(thrown, 'rpc.handle', 'self');
      return {
        jsonrpc: '2.0',
        id,
        error: {
          code:
            thrown instanceof JSONRPCErrorException
              ? thrown.code
              : RPC_ERROR_CODE,
          message: error.message,
          data: toErrorBody(error),
        },
      };
    };
  }

  /** Starts to listen; resolves with the bound address. */
  start(): Promise<string> {
    return listen(this.server, this.options.address);
  }

  async stop(): Promise<void> {
    this.streams.close();
    await closeServer(this.server);
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const path = request.url ?? '';
      if (!this.verifier.isPlausible(credentialsOf(request))) {
        sendResponse(response, {status: 401});
        return;
      }
      const body = await readBody(request, MAX_INNER_BODY_BYTES);
      const sender = this.verifier.verify(credentialsOf(request), path, body);
      if (sender === undefined) {
        sendResponse(response, {status: 401});
        return;
      }
      await this.route(path, body, request, response, {sender});
    } catch (thrown) {
      const error = toGatewayError(thrown, 'inner.answer', 'self');
      if (response.headersSent) {
        response.destroy();
        return;
      }
      sendResponse(response, {
        status: error.code === 'too_large' ? 413 : 500,
        contentType: 'application/json',
        text: JSON.stringify({error: toErrorBody(error)}),
      });
    }
  }

  private async route(
    path: string,
    body: Buffer,
    request: IncomingMessage,
    response: ServerResponse,
    context: RpcContext,
  ): Promise<void> {
    if (path === RPC_PATH) {
      const reply = await this.callMethod(body, context);
      response.writeHead(200, {'content-type': 'application/json'});
      response.end(JSON.stringify(reply));
      return;
    }
    const handler = this.options.handlers?.get(path);
    if (handler === undefined) {
      response.writeHead(404).end();
      return;
    }
    await handler(body, request, response, context);
  }

  // The JSON-RPC library throws on calls that are not objects, so these are
  // replaced with an invalid call first.
  private async callMethod(
    body: Buffer,
    context: RpcContext,
  ): Promise<unknown> {
    const text = body.toString('utf8');
    const parsed = parseJson(text);
    if (parsed === undefined) return this.jsonRpc.receiveJSON(text, context);
    if (!Array.isArray(parsed)) {
      return this.jsonRpc.receive(this.ensureRegistered(parsed), context);
    }
    if (parsed.length === 0) {
      return this.jsonRpc.receive(INVALID_CALL, context);
    }
    return this.jsonRpc.receive(
      parsed.map(call => this.ensureRegistered(call)),
      context,
    );
  }

  // Methods may be registered on the router after the listener has started,
  // so each is added to the JSON-RPC library when it is first called.
  private ensureRegistered(call: unknown): JSONRPCRequest {
    if (typeof call !== 'object' || call === null) return INVALID_CALL;
    const {method} = call as {readonly method?: unknown};
    if (
      typeof method === 'string' &&
      !this.jsonRpc.hasMethod(method) &&
      this.options.router.has(method)
    ) {
      this.jsonRpc.addMethod(method, (params, context) =>
        this.options.router.dispatch(method, params, context),
      );
    }
    return call as JSONRPCRequest;
  }
}

/** Returns `undefined` if the text is not valid JSON. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function credentialsOf(request: IncomingMessage): string | undefined {
  const header = request.headers[AUTHENTICATION_HEADER];
  return typeof header === 'string' ? header : undefined;
}
