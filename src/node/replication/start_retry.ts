/** Steps of a start that wait for a disk that refuses reads or writes. */
import {toGatewayError} from '../types/errors.js';
import {isDiskError} from '../storage/disk_error.js';
import type {StorageChange} from './storage_writer.js';

const RETRY_MS = 500;

export interface StartRetryOptions {
  readonly onStorageChange?: (change: StorageChange) => void;
  readonly signal?: AbortSignal;
}

/**
 * Repeats a step until the disk allows it. A process that ended instead would be
 * started again and again, and serve nothing meanwhile. Other errors, such as
 * damaged files, are thrown.
 */
export async function whenDiskAllows<Value>(
  {onStorageChange, signal}: StartRetryOptions,
  step: () => Promise<Value>,
): Promise<Value> {
  for (let isWritable = true; ;) {
    try {
      const value = await step();
      if (!isWritable) onStorageChange?.({isWritable: true});
      return value;
    } catch (thrown) {
      if (!isDiskError(thrown) || signal?.aborted === true) throw thrown;
      const cause = toGatewayError(thrown, 'storage.start', 'self');
      if (isWritable) onStorageChange?.({isWritable: false, cause});
      isWritable = false;
    }
    await new Promise(resolve => setTimeout(resolve, RETRY_MS));
  }
}
