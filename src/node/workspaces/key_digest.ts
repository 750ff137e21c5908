/** Digests of callers' keys; keys themselves are kept nowhere. */
import {createHash} from 'node:crypto';
import {asId, type Digest} from '../types/ids.js';

/** The digest under which a key is known. */
export function digestOfKey(key: string): Digest {
  return asId<Digest>(createHash('sha256').update(key).digest('hex'));
}
