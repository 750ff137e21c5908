/** Sends orders to the engines of this instance's domain. */
import {ResultAsync} from 'neverthrow';
import type {ModelUpstream} from '../adapters/upstream/model_upstream.js';
import {OrderSink, type Order} from '../orders/order_sink.js';
import {GatewayError, toGatewayError} from '../types/errors.js';
import type {FleetState} from './fleet_state.js';

const STEP = 'orders.send';

/** The order sink of an entry. */
export class UpstreamOrderSink extends OrderSink {
  constructor(
    private readonly fleet: FleetState,
    private readonly upstream: ModelUpstream,
    private readonly leaseHolder: string,
  ) {
    super();
  }

  override send(order: Order): ResultAsync<void, GatewayError> {
    return ResultAsync.fromPromise(this.sendOrder(order), thrown =>
      toGatewayError(thrown, STEP, order.upstreamId),
    );
  }

  private async sendOrder({upstreamId, token, action}: Order): Promise<void> {
    const address = this.fleet.findUpstream(upstreamId)?.address;
    if (address === undefined || action.kind === 'change_role') {
      throw this.error(
        'not_found',
        'the upstream is not in the configuration or the order is not supported',
        upstreamId,
      );
    }
    const isAccepted = await this.upstream.order(
      {upstreamId, address},
      {
        kind: action.kind === 'load_model' ? 'load' : 'unload',
        modelId: action.modelId,
        fencingToken: token,
        holder: this.leaseHolder,
      },
    );
    if (isAccepted) return;
    throw this.error(
      'conflict',
      'the engine has seen a newer fencing token',
      upstreamId,
    );
  }

  private error(
    code: 'not_found' | 'conflict',
    message: string,
    peer: string,
  ): GatewayError {
    return new GatewayError({code, message, step: STEP, peer});
  }
}
