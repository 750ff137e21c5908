/** Errors of calls: the peer's own, and those of the way to it. */
import type {JSONRPCErrorException} from 'json-rpc-2.0';
import {
  fromErrorBody,
  GatewayError,
  type ErrorBody,
  type ErrorCode,
} from '../types/errors.js';

/** The error as it was thrown at the peer. */
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

/** The error of a call that may or may not have arrived. */
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
