/**
 * RPC between processes: JSON-RPC 2.0 requests whose parameters the receiver
 * validates. The transport is an abstract class, so that tests can connect
 * modules in memory and inject delays, losses and partitions.
 */
import {errAsync, ResultAsync} from 'neverthrow';
import type {z} from 'zod';
import {GatewayError, toGatewayError} from '../types/errors.js';
import type {InstanceId} from '../types/ids.js';

/** The caller, as authenticated by the transport. */
export interface RpcContext {
  readonly sender: InstanceId;
}

/** Handles one method. On failure it throws or rejects with a `GatewayError`. */
export type RpcHandler<Params, Result> = (
  params: Params,
  context: RpcContext,
) => Promise<Result> | Result;

interface RegisteredMethod {
  readonly schema: z.ZodType;
  readonly handler: RpcHandler<never, unknown>;
}

/** Dispatches calls to the methods that one process serves. */
export class RpcRouter {
  private readonly methods = new Map<string, RegisteredMethod>();

  /** Adds a method; `schema` validates the parameters of each call. */
  register<Params, Result>(
    method: string,
    schema: z.ZodType<Params>,
    handler: RpcHandler<Params, Result>,
  ): void {
    this.methods.set(method, {schema, handler});
  }

  has(method: string): boolean {
    return this.methods.has(method);
  }

  /** Validates the parameters and calls the handler of a method. */
  async dispatch(
    method: string,
    params: unknown,
    context: RpcContext,
  ): Promise<unknown> {
    const registered = this.methods.get(method);
    if (registered === undefined) {
      throw new GatewayError({
        code: 'not_found',
        message: `no such method: ${method}`,
        step: 'rpc.dispatch',
        peer: context.sender,
      });
    }
    const parsed = registered.schema.safeParse(params);
    if (!parsed.success) {
      throw new GatewayError({
        code: 'bad_request',
        message: `invalid parameters of ${method}: ${parsed.error.message}`,
        step: 'rpc.dispatch',
        peer: context.sender,
      });
    }
    return registered.handler(parsed.data as never, context);
  }
}

/** The identity and secret that a client authenticates itself with. */
export interface RpcClientOptions {
  readonly self: InstanceId;
  readonly clusterSecret: string;
}

/** Sends calls to other processes. */
export abstract class RpcClient {
  /**
   * Calls `method` at `address` (`host:port`). Errors thrown by the peer are
   * returned unchanged; the client itself adds `timeout` and `unreachable`.
   */
  call<Result>(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): ResultAsync<Result, GatewayError> {
    if (timeoutMs <= 0) {
      return errAsync(
        new GatewayError({
          code: 'timeout',
          message: `no time left to call ${method}`,
          step: 'rpc.call',
          peer: address,
        }),
      );
    }
    return ResultAsync.fromPromise(
      this.send(address, method, params, timeoutMs) as Promise<Result>,
      thrown => toGatewayError(thrown, `rpc.${method}`, address),
    );
  }

  /** Closes all connections. */
  abstract close(): Promise<void>;

  /** Sends one call and rejects with a `GatewayError`. */
  protected abstract send(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown>;
}
