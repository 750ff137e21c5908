/** Orders to upstreams, and the interface that sends them. */
import type {ResultAsync} from 'neverthrow';
import type {GatewayError} from '../types/errors.js';
import type {FencingToken, ModelId, UpstreamId} from '../types/ids.js';

/** Actions that can be ordered from an upstream. */
export type OrderAction =
  | {readonly kind: 'load_model'; readonly modelId: ModelId}
  | {readonly kind: 'unload_model'; readonly modelId: ModelId}
  | {readonly kind: 'change_role'; readonly role: string};

/** One order with the token of the lease under which it is issued. */
export interface Order {
  readonly upstreamId: UpstreamId;
  readonly token: FencingToken;
  readonly action: OrderAction;
}

/**
 * Sends orders to upstreams. An implementation gives up after `timeoutMs` and
 * never retries an order, because the lease may have expired by then.
 */
export abstract class OrderSink {
  /** Fails with `conflict` if the upstream has seen a newer token. */
  abstract send(
    order: Order,
    timeoutMs: number,
  ): ResultAsync<void, GatewayError>;
}
