/** A weight store with a configured rate and list of models. */
import {okAsync, type ResultAsync} from 'neverthrow';
import type {GatewayError} from '../../types/errors.js';
import {WeightStore, type StoredModel} from './weight_store.js';

/** The weight store of one domain, with a fixed rate. */
export class FixedRateStore extends WeightStore {
  constructor(
    private readonly listModels: () => readonly StoredModel[],
    private readonly rateBytesPerSecond: number,
  ) {
    super();
  }

  override models(): ResultAsync<readonly StoredModel[], GatewayError> {
    return okAsync(this.listModels());
  }

  override bytesPerSecond(): number {
    return this.rateBytesPerSecond;
  }
}
