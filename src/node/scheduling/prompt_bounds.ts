/** Bounds what is kept of the prompts that callers describe. */
import type {PromptPart} from './types.js';

/** Ordinary prompts have a few parts. */
export const MAX_PROMPT_PARTS = 256;

/** The first parts and the last one; the tokens of others belong to no part. */
export function boundedParts(
  parts: readonly PromptPart[],
): readonly PromptPart[] {
  return parts.length <= MAX_PROMPT_PARTS
    ? parts
    : [...parts.slice(0, MAX_PROMPT_PARTS - 1), ...parts.slice(-1)];
}
