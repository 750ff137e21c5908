/** The parts of a prompt that several requests share. */
import type {PromptPart, PromptSize} from './types.js';

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
