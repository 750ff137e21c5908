/**
 * Compressed JSON. At the deployment size planned for two years a configuration
 * has 0.5 MB and there are 470 changes a day. Each change is replicated through
 * the log and sent to every instance, so plain JSON would exceed the bandwidth
 * budget of the control plane.
 */
import {gunzipSync, gzipSync} from 'node:zlib';
import {z} from 'zod';
import {GatewayError} from '../types/errors.js';

/** Gzipped JSON in base64. */
export type Packed = string;

export const packedSchema: z.ZodType<Packed> = z.base64();

// Far above the size of any configuration; limits the memory that corrupt input
// can expand to.
const MAX_UNPACKED_BYTES = 64 * 1024 * 1024;

export function pack(value: unknown): Packed {
  return gzipSync(JSON.stringify(value)).toString('base64');
}

/** Reverses `pack`; throws `bad_request` if the text is corrupt. */
export function unpack(packed: Packed): unknown {
  try {
    const bytes = gunzipSync(Buffer.from(packed, 'base64'), {
      maxOutputLength: MAX_UNPACKED_BYTES,
    });
    return JSON.parse(bytes.toString('utf8'));
  } catch (thrown) {
    throw new GatewayError({
      code: 'bad_request',
      message: 'a packed value is not valid gzipped JSON, or too large',
      step: 'control.unpack',
      peer: 'self',
      cause: thrown,
    });
  }
}
