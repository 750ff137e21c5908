/** Utilities for the records tests. */
import {createHash} from 'node:crypto';

/** The SHA-256 digest in hexadecimal. */
export function sha256(bytes: Uint8Array | string): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** The original function, which a paused clock later replaces globally. */
const realSetImmediate = setImmediate;

/** Runs all promise callbacks that do not wait for a timer. */
export function flushPromises(): Promise<void> {
  return new Promise(resolve => realSetImmediate(resolve));
}
