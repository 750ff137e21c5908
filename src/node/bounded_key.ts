/** Keys of bounded length for texts that callers choose. */
import {createHash} from 'node:crypto';

/** Longer texts are replaced by a digest of this length. */
export const MAX_KEY_LENGTH = 64;

/**
 * A text under which something is kept, short however long the given one is. It is a
 * copy, since the runtime keeps a whole text in memory as long as a slice is in use.
 */
export function boundedKey(text: string): string {
  return text.length <= MAX_KEY_LENGTH
    ? Buffer.from(text).toString()
    : createHash('sha256').update(text).digest('hex');
}
