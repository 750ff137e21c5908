/** Estimates what an engine holds in its prompt cache. */
import type {PromptPart} from './types.js';

/** Also bounds the memory that prompts of very many short parts take. */
export const MAX_CACHED_PARTS = 2_048;

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
    const firstMissing = parts.findIndex(
      ({partId, tokens}) => tokens > 0 && !this.parts.has(partId),
    );
    const held = firstMissing < 0 ? parts : parts.slice(0, firstMissing);
    return held.reduce((sum, part) => sum + part.tokens, 0);
  }

  get partCount(): number {
    return this.parts.size;
  }

  has(partId: string): boolean {
    return this.parts.has(partId);
  }

  /** Marks the parts of a prompt as most recently used. */
  touch(parts: readonly PromptPart[]): void {
    // The first part is touched last, so that shared leading parts are evicted
    // after the parts that follow them.
    const held = parts.filter(({tokens}) => tokens > 0);
    held.reverse().forEach(({partId, tokens}) => {
      const known = this.parts.get(partId);
      this.parts.delete(partId);
      this.parts.set(partId, tokens);
      this.heldTokens += tokens - (known ?? 0);
    });
  }

  /** Evicts least recently used parts until the rest fits both bounds. */
  shrinkTo(capacityTokens: number): void {
    // Not as an array, since it runs for each placement and mostly evicts nothing.
    for (const [partId, tokens] of this.parts) {
      const isSmall = this.parts.size <= MAX_CACHED_PARTS;
      if (isSmall && this.heldTokens <= capacityTokens) return;
      this.heldTokens -= tokens;
      this.parts.delete(partId);
    }
  }

  /** Empties the cache after a restart of the engine. */
  clear(): void {
    this.parts.clear();
    this.heldTokens = 0;
  }
}
