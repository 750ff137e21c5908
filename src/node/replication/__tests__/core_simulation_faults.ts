/** The properties that the simulation checks, and faults that break them. */
import {
  entryAt,
  lastIndex,
  termAt,
  type LogEntry,
  type LogState,
} from '../core/log.js';
import type {PeerReply, PeerRequest} from '../core/messages.js';

/** A fault of a member or its disk that a checker must detect. */
export type SeededFault =
  /** A member loses its vote, as after a restart without its disk. */
  | 'lost_vote'
  /** A member whose disk was emptied starts again under its old identity. */
  | 'reused_identity'
  /** A sync reports success without writing. */
  | 'lost_sync'
  /** The check of the previous entry always passes. */
  | 'ignored_mismatch'
  /** Members acknowledge entries that they rejected. */
  | 'false_acknowledgement';

/** A property that is checked after each event. */
export type Checker =
  | 'election safety'
  | 'log matching'
  | 'leader completeness'
  | 'state machine safety';

/**
 * Pairs of entries of two logs that must be equal: those up to the last index
 * at which the terms agree, in descending order.
 */
export function entriesToCompare(
  left: LogState,
  right: LogState,
): readonly {
  readonly index: number;
  readonly left: LogEntry | undefined;
  readonly right: LogEntry | undefined;
}[] {
  const first = Math.max(left.baseIndex, right.baseIndex) + 1;
  let last = Math.min(lastIndex(left), lastIndex(right));
  while (last >= first && termAt(left, last) !== termAt(right, last)) last--;
  return Array.from({length: Math.max(0, last - first + 1)}, (_, step) => {
    const index = last - step;
    return {index, left: entryAt(left, index), right: entryAt(right, index)};
  });
}

/** The request as seen by a member that skips the previous-entry check. */
export function distortRequest(
  fault: SeededFault | undefined,
  log: LogState,
  request: PeerRequest,
): PeerRequest {
  if (fault !== 'ignored_mismatch' || request.kind !== 'append') return request;
  const prevTerm = termAt(log, request.prevIndex) ?? request.prevTerm;
  return {...request, prevTerm};
}

/** The reply of a member that acknowledges entries it rejected. */
export function distortReply(
  fault: SeededFault | undefined,
  request: PeerRequest,
  reply: PeerReply,
): PeerReply {
  if (
    fault !== 'false_acknowledgement' ||
    reply.kind !== 'append_reply' ||
    request.kind !== 'append'
  ) {
    return reply;
  }
  const matchIndex = request.prevIndex + request.entries.length;
  return {...reply, success: true, matchIndex};
}
