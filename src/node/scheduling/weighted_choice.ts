/** Weighted choice by a key, so that many choosers do not take the same. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const RANGE = 4_294_967_296;

/**
 * Returns one of the candidates; over many keys each is taken in proportion to
 * its weight. Equal keys and candidates give equal choices.
 */
export function weightedChoice<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  weightOf: (candidate: Candidate) => number,
): Candidate | undefined {
  const total = candidates.reduce((sum, each) => sum + weightOf(each), 0);
  let remaining = fraction(key) * total;
  const chosen = candidates.find(each => {
    remaining -= weightOf(each);
    return remaining < 0;
  });
  return chosen ?? candidates.at(-1);
}

/** A value in [0, 1) that depends on the key alone. */
function fraction(key: string): number {
  // The last characters of a key hardly reach the high bits without mixing.
  const hash = hashOf(key);
  const mixed = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return ((mixed ^ (mixed >>> 16)) >>> 0) / RANGE;
}

/** 32-bit FNV-1a hash of a text. */
export function hashOf(text: string): number {
  return (
    [...text].reduce(
      (state, each) => Math.imul(state ^ each.charCodeAt(0), FNV_PRIME),
      FNV_OFFSET,
    ) >>> 0
  );
}
