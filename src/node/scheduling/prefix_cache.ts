/** Estimates what an engine holds in its prompt cache. */
import type {PromptPart} from './types.js';

/**
 * LRU model of the cache, built from the requests that were sent to the engine.
 * A part counts as cached only if all parts before it are cached too.
 */
export class PrefixCache {
  /** Tokens by part, least recently used first. */
  private readonly parts = new Map<string, number>();
  private heldTokens = 0;

  /** Tokens of the cached prefix of a prompt. */
  cachedTokens(parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex(part => !this.parts.has(part.partId));
    const held = firstMissing < 0 ? parts : parts.slice(0, firstMissing);
    return held.reduce((sum, part) => sum + part.tokens, 0);
  }

  has(partId: string): boolean {
    return this.parts.has(partId);
  }

  /** Marks the parts of a prompt as most recently used. */
  touch(parts: readonly PromptPart[]): void {
    // The first part is touched last, so that shared leading parts are evicted
    // after the parts that follow them.
    [...parts].reverse().forEach(part => {
      const known = this.parts.get(part.partId);
      this.parts.delete(part.partId);
      this.parts.set(part.partId, part.tokens);
      this.heldTokens += part.tokens - (known ?? 0);
    });
  }

  /** Evicts least recently used parts until the rest fits the capacity. */
  shrinkTo(capacityTokens: number): void {
    const oldest = [...this.parts.keys()];
    oldest.every(partId => {
      if (this.heldTokens <= capacityTokens) return false;
      this.heldTokens -= this.parts.get(partId) ?? 0;
      this.parts.delete(partId);
      return true;
    });
  }

  /** Empties the cache after a restart of the engine. */
  clear(): void {
    this.parts.clear();
    this.heldTokens = 0;
  }
}
