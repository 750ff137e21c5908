/**
 * A fast hash for spreading keys. It is not cryptographic: use SHA-256 to
 * identify content.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_SPAN = 2 ** 32;

/** FNV-1a over the UTF-16 code units, then the finalizer of MurmurHash3. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** A hash strictly between 0 and 1. */
export function unitHash(text: string): number {
  return (hash32(text) + 0.5) / UINT32_SPAN;
}

/**
 * The score of a node for a key by weighted rendezvous hashing: the node with
 * the greatest score owns the key, and each owns a share of the keys that is
 * proportional to its weight.
 */
export function rendezvousScore(
  key: string,
  node: string,
  weight: number,
): number {
  if (weight <= 0) return 0;
  return -weight / Math.log(unitHash(`${node}|${key}`));
}
