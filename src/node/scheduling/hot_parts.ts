/**
 * The shared prompt parts that a domain used last. Digests name them by short
 * keys, so that other regions can tell how much of a prompt this domain need
 * not read again.
 */
import type {PromptSize} from './types.js';
import {hashOf} from './weighted_choice.js';

/** Bounds the size of a digest. */
const MAX_PARTS = 48;
/** Reading a shorter part again costs less than naming it in digests. */
const MIN_PART_TOKENS = 500;
const KEY_RADIX = 36;

/** Key of a part in digests. Equal keys of two parts only spoil a prediction. */
export function partKey(partId: string): string {
  return hashOf(partId).toString(KEY_RADIX);
}

/** Tokens of a prompt's leading shared parts that are among `keys`. */
export function heldTokens(
  prompt: PromptSize | undefined,
  keys: ReadonlySet<string>,
): number {
  if (prompt === undefined || keys.size === 0) return 0;
  const shared = prompt.parts.slice(0, -1);
  const isHeld = ({partId, tokens}: (typeof shared)[number]): boolean =>
    tokens < MIN_PART_TOKENS || keys.has(partKey(partId));
  const firstMissing = shared.findIndex(each => !isHeld(each));
  const held = firstMissing < 0 ? shared : shared.slice(0, firstMissing);
  return held.reduce((sum, each) => sum + each.tokens, 0);
}

/** Least recently used parts are dropped first. */
export class HotParts {
  private readonly parts = new Set<string>();

  /** Counts the shared parts of a prompt that is read in this domain. */
  note({parts}: PromptSize): void {
    parts
      .slice(0, -1)
      .filter(({tokens}) => tokens >= MIN_PART_TOKENS)
      .reverse()
      .forEach(({partId}) => {
        this.parts.delete(partId);
        this.parts.add(partId);
      });
    [...this.parts]
      .slice(0, Math.max(0, this.parts.size - MAX_PARTS))
      .forEach(each => this.parts.delete(each));
  }

  /** Keys of those that some engine still holds. */
  keys(isHeld: (partId: string) => boolean): readonly string[] {
    return [...this.parts].filter(isHeld).map(partKey);
  }
}
