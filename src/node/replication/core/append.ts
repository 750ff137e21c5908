/** Append requests on the follower, and their replies on the leader. */
import type {MemberId} from '../../types/ids.js';
import {commitUpTo, advanceCommitIndex, finishReads} from './commit.js';
import {becomeFollower} from './election.js';
import {continueTransfer} from './leadership.js';
import {
  firstIndexOfTerm,
  lastIndex,
  membersOf,
  replaceSuffix,
  termAt,
  type LogEntry,
} from './log.js';
import type {AppendReply, AppendRequest} from './messages.js';
import {replicateTo, withProgress} from './replicate.js';
import {
  chain,
  outcome,
  withElectionTimeout,
  type MembersAt,
  type Outcome,
  type ReplicaState,
} from './state.js';

/**
 * Follows the sender of a message of the current or a newer term as the leader
 * and restarts the election timeout.
 */
export function followLeader(
  state: ReplicaState,
  leader: MemberId,
  term: number,
): Outcome {
  const isSameLeader =
    state.role === 'follower' && state.term === term && state.leader === leader;
  return chain(
    state,
    current =>
      isSameLeader ? outcome(current) : becomeFollower(current, term, leader),
    current =>
      outcome(
        withElectionTimeout({...current, leaderContactAtMs: current.nowMs}),
      ),
  );
}

/** Appends the new entries, or rejects them if the logs do not match. */
export function onAppendRequest(
  state: ReplicaState,
  from: MemberId,
  callId: number,
  request: AppendRequest,
): Outcome {
  if (request.term < state.term) {
    return reject(state, callId, request, lastIndex(state.log) + 1);
  }
  return chain(
    state,
    current => followLeader(current, from, request.term),
    current => {
      const conflictIndex = findConflict(current, request);
      return conflictIndex === undefined
        ? accept(current, callId, request)
        : reject(current, callId, request, conflictIndex);
    },
  );
}

function findConflict(
  state: ReplicaState,
  request: AppendRequest,
): number | undefined {
  const {prevIndex, prevTerm} = request;
  // Entries up to the base are committed, so they match the leader's.
  if (prevIndex < state.log.baseIndex) return undefined;
  const ownTerm = termAt(state.log, prevIndex);
  if (ownTerm === undefined) return lastIndex(state.log) + 1;
  if (ownTerm === prevTerm) return undefined;
  return Math.max(
    firstIndexOfTerm(state.log, prevIndex),
    state.commitIndex + 1,
  );
}

// A member that cannot write confirms the leader, the entries that it has stored,
// and no others. It keeps later ones in memory to serve reads.
function accept(
  state: ReplicaState,
  callId: number,
  request: AppendRequest,
): Outcome {
  const matchIndex = request.prevIndex + request.entries.length;
  const firstNew = request.entries.findIndex(
    entry =>
      entry.index > state.log.baseIndex &&
      termAt(state.log, entry.index) !== entry.term,
  );
  const added = firstNew < 0 ? [] : request.entries.slice(firstNew);
  const firstIndex = added[0]?.index ?? Infinity;
  if (firstIndex <= state.commitIndex) {
    throw new Error(
      `append request of term ${request.term} conflicts with committed entry ${firstIndex}`,
    );
  }
  return chain(
    state,
    current =>
      added.length === 0 ? outcome(current) : appendEntries(current, added),
    current => commitUpTo(current, Math.min(request.commitIndex, matchIndex)),
    current =>
      outcome(current, {
        kind: 'reply',
        callId,
        reply: {
          kind: 'append_reply',
          term: current.term,
          success: true,
          matchIndex: current.isWritable
            ? matchIndex
            : Math.min(matchIndex, current.durableIndex),
          conflictIndex: 0,
          round: request.round,
        },
        durable: current.isWritable,
      }),
  );
}

function appendEntries(
  state: ReplicaState,
  added: readonly LogEntry[],
): Outcome {
  const prevIndex = (added[0]?.index ?? 1) - 1;
  const prevTerm = termAt(state.log, prevIndex) ?? 0;
  const kept = state.configs.filter(
    ({index}) => index <= prevIndex || index <= state.commitIndex,
  );
  const configs = added
    .filter(entry => entry.kind === 'members')
    .map<MembersAt>(entry => ({
      index: entry.index,
      members: membersOf(entry),
    }));
  return outcome(
    {
      ...state,
      log: replaceSuffix(state.log, prevIndex, added),
      durableIndex: Math.min(state.durableIndex, prevIndex),
      configs: kept.concat(configs),
    },
    {kind: 'save_entries', prevIndex, prevTerm, entries: added},
  );
}

function reject(
  state: ReplicaState,
  callId: number,
  request: AppendRequest,
  conflictIndex: number,
): Outcome {
  return outcome(state, {
    kind: 'reply',
    callId,
    reply: {
      kind: 'append_reply',
      term: state.term,
      success: false,
      matchIndex: 0,
      conflictIndex,
      round: request.round,
    },
    durable: state.isWritable,
  });
}

/** Updates a member's progress, advances the commit index and sends more. */
export function onAppendReply(
  state: ReplicaState,
  from: MemberId,
  reply: AppendReply,
): Outcome {
  if (reply.term > state.term) return becomeFollower(state, reply.term);
  const progress = state.progress.get(from);
  if (
    state.role !== 'leader' ||
    reply.term < state.term ||
    progress === undefined
  ) {
    return outcome(state);
  }
  const updated = withProgress(state, from, {
    lastContactAtMs: state.nowMs,
    ackedRound: Math.max(progress.ackedRound, reply.round),
    inFlight: Math.max(0, progress.inFlight - 1),
    ...(reply.success
      ? progressAfterSuccess(state, from, reply.matchIndex)
      : progressAfterRejection(state, from, reply.conflictIndex)),
  });
  return chain(
    updated,
    advanceCommitIndex,
    current => replicateTo(current, from),
    finishReads,
    continueTransfer,
  );
}

function progressAfterSuccess(
  state: ReplicaState,
  peer: MemberId,
  replyIndex: number,
) {
  const {matchIndex = 0, nextIndex = 1, mode} = state.progress.get(peer) ?? {};
  const match = Math.max(matchIndex, replyIndex);
  return {
    matchIndex: match,
    nextIndex: Math.max(nextIndex, match + 1),
    mode: mode === 'snapshot' ? mode : ('stream' as const),
  };
}

function progressAfterRejection(
  state: ReplicaState,
  peer: MemberId,
  conflictIndex: number,
) {
  const {matchIndex = 0, nextIndex = 1, mode} = state.progress.get(peer) ?? {};
  // A rejection at or below the match index is stale: a later reply was faster.
  if (conflictIndex <= matchIndex || mode === 'snapshot') return {};
  return {
    nextIndex: Math.min(nextIndex, conflictIndex),
    mode: 'probe' as const,
  };
}
