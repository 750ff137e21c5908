/** Response headers between entries; callers never get them. */
import type {HeaderPair} from './protocol.js';

const PREFIX = 'x-cyclamenfall-';

/**
 * Tells the other entry that a relayed request did not run, and whether an upstream
 * had it: a `NotRun`, or `1` from software versions that do not say.
 */
export const NOT_RUN_HEADER = `${PREFIX}not-run`;
/** Whether upstreams rejected a relayed request, or it was sent to none. */
export type NotRun = 'rejected' | 'unsent';
/** Tells the other entry which software version began a relayed stream. */
export const SOFTWARE_VERSION_HEADER = `${PREFIX}software-version`;

/**
 * Tells the other entry that the upstream's response had neither a length nor
 * chunks, and what is known of its completeness.
 */
export const UNFRAMED_HEADER = `${PREFIX}unframed`;

/** The headers without those that are only for entries. */
export function withoutInnerHeaders(
  headers: readonly HeaderPair[],
): readonly HeaderPair[] {
  return headers.filter(([name]) => !name.toLowerCase().startsWith(PREFIX));
}
