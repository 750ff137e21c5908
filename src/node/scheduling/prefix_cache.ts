/** What one engine probably holds in its prompt cache. */
import type {PromptPart} from './types.js';

/**
 * Least recently used parts, by the requests that this region sent to the
 * engine. A part counts as held only if all parts before it are held too.
 */
export class PrefixCache {
  /** In order of last use, the oldest first. */
  private readonly parts = new Map<string, number>();
  private heldTokens = 0;

  /** Tokens at the beginning of a prompt that need not be read again. */
  cachedTokens(parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex(part => !this.parts.has(part.partId));
    const held = firstMissing < 0 ? parts : parts.slice(0, firstMissing);
    return held.reduce((sum, part) => sum + part.tokens, 0);
  }

  /** Notes the use of a prompt. */
  touch(parts: readonly PromptPart[]): void {
    // The first part is touched last, so that the parts that others need
    // outlive those that follow them.
    [...parts].reverse().forEach(part => {
      const known = this.parts.get(part.partId);
      this.parts.delete(part.partId);
      this.parts.set(part.partId, part.tokens);
      this.heldTokens += part.tokens - (known ?? 0);
    });
  }

  /** Drops the least recently used parts down to a size. */
  shrinkTo(capacityTokens: number): void {
    const oldest = [...this.parts.keys()];
    oldest.every(partId => {
      if (this.heldTokens <= capacityTokens) return false;
      this.heldTokens -= this.parts.get(partId) ?? 0;
      this.parts.delete(partId);
      return true;
    });
  }

  /** The engine restarted. */
  clear(): void {
    this.parts.clear();
    this.heldTokens = 0;
  }
}
