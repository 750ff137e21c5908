/** Finds who holds a caller's key; only digests of keys are kept. */
import {digestOfKey} from './key_digest.js';

/** Holders of keys, by the digests of these. */
export class KeyIndex<Holder extends {readonly keyDigests: readonly string[]}> {
  private readonly byDigest: ReadonlyMap<string, Holder>;

  constructor(holders: readonly Holder[]) {
    this.byDigest = new Map(
      holders.flatMap(holder =>
        holder.keyDigests.map(digest => [digest, holder] as const),
      ),
    );
  }

  /** The holder of a key; `undefined` if nobody holds it or there is no key. */
  find(key: string | undefined): Holder | undefined {
    return key === undefined ? undefined : this.byDigest.get(digestOfKey(key));
  }
}
