/** Errors that the peer of a call answered with. */
import type {JSONRPCErrorException} from 'json-rpc-2.0';
import {fromErrorBody, GatewayError, type ErrorBody} from '../types/errors.js';

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
