/** The parts of a prompt that several requests share. */
import type {PromptPart, WorkItem, PromptSize} from './types.js';

/** Tokens of the shared parts: all but the last, which is the request's own. */
export function sharedTokens(parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Ids of the shared parts of a request's prompt, in prompt order. */
export function sharedParts({
  prompt,
}: {
  readonly prompt?: PromptSize;
}): readonly string[] {
  return (prompt?.parts ?? []).slice(0, -1).map(({partId}) => partId);
}

/**
 * Tokens that only this request occupies: its last part, tokens that belong to
 * no part, and its expected output. Shared parts are accounted for by the cache.
 */
export function ownTokens({prompt}: WorkItem): number {
  if (prompt === undefined) return 0;
  const own = Math.max(0, prompt.promptTokens - sharedTokens(prompt.parts));
  return own + prompt.expectedOutputTokens;
}
