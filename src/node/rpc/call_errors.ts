/** Converts errors of RPC calls, thrown by the peer or by the transport. */
import type {JSONRPCErrorException} from 'json-rpc-2.0';
import {
  fromErrorBody,
  GatewayError,
  type ErrorBody,
  type ErrorCode,
} from '../types/errors.js';

/** Restores the error that the peer threw. */
export function toRemoteError(
  thrown: JSONRPCErrorException,
  address: string,
  method: string,
): GatewayError {
  const body = thrown.data as ErrorBody | undefined;
  if (typeof body?.code === 'string') return fromErrorBody(body);
  return new GatewayError({
    code: 'internal',
    message: thrown.message,
    step: `rpc.${method}`,
    peer: address,
  });
}

/**
 * Converts a transport error. The peer may or may not have received the call,
 * so `work` is `unknown`.
 */
export function toTransportError(
  thrown: unknown,
  code: ErrorCode,
  address: string,
): GatewayError {
  if (thrown instanceof GatewayError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new GatewayError({
    code,
    message,
    step: 'rpc.send',
    peer: address,
    work: 'unknown',
    cause: thrown,
  });
}
