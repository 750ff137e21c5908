/**
 * The rate-limited store from which upstreams fetch model weights. The gateway
 * transfers no weights itself: it paces its load orders so that the resulting
 * transfers stay within the total rate of the store.
 */
import type {ResultAsync} from 'neverthrow';
import type {GatewayError} from '../../types/errors.js';
import type {ModelId} from '../../types/ids.js';

/** A model in the store. */
export interface StoredModel {
  readonly modelId: ModelId;
  readonly version: string;
  readonly weightsBytes: number;
}

/** Access to the weight store of a domain. */
export abstract class WeightStore {
  /** Returns the models that can currently be loaded. */
  abstract models(): ResultAsync<readonly StoredModel[], GatewayError>;

  /** Returns the total rate of the store, shared by all transfers. */
  abstract bytesPerSecond(): number;
}
