/** Advances the commit index and confirms linearizable reads. */
import {termAt} from './log.js';
import {isQuorum, quorumValue} from './quorum.js';
import {sendHeartbeats} from './replicate.js';
import {
  chain,
  currentMembers,
  outcome,
  type Effect,
  type Outcome,
  type PendingRead,
  type ReplicaState,
} from './state.js';

/** Advances a leader's commit index to the last index stored by a quorum. */
export function advanceCommitIndex(state: ReplicaState): Outcome {
  const reached = quorumValue(currentMembers(state), id =>
    id === state.settings.memberId
      ? state.durableIndex
      : (state.progress.get(id)?.matchIndex ?? 0),
  );
  // An entry of an older term is committed only by a later entry of the current
  // term; a quorum that stores it is not enough.
  if (
    reached <= state.commitIndex ||
    termAt(state.log, reached) !== state.term
  ) {
    return outcome(state);
  }
  return chain(
    {...state, commitIndex: reached},
    current => outcome(current, {kind: 'commit', index: reached}),
    startWaitingReads,
  );
}

/** Advances the commit index of a follower. */
export function commitUpTo(state: ReplicaState, index: number): Outcome {
  if (index <= state.commitIndex) return outcome(state);
  return outcome({...state, commitIndex: index}, {kind: 'commit', index});
}

/** Whether an entry of the leader's own term is committed. */
export function hasCommittedInTerm(state: ReplicaState): boolean {
  return termAt(state.log, state.commitIndex) === state.term;
}

/** Queues reads; each is ready once a quorum confirms the leadership. */
export function startReads(
  state: ReplicaState,
  ids: readonly number[],
): Outcome {
  if (state.role !== 'leader') {
    return outcome(state, {
      kind: 'refused',
      ids,
      code: 'not_leader',
      message: 'only the leader confirms reads',
    });
  }
  const waiting: readonly PendingRead[] = ids.map(id => ({id, round: 0}));
  return startWaitingReads({...state, reads: state.reads.concat(waiting)});
}

function startWaitingReads(state: ReplicaState): Outcome {
  const hasWaiting = state.reads.some(read => read.index === undefined);
  if (!hasWaiting || !hasCommittedInTerm(state)) return outcome(state);
  const sent = sendHeartbeats(state);
  const reads = sent.state.reads.map(read =>
    read.index === undefined
      ? {id: read.id, index: state.commitIndex, round: sent.state.round}
      : read,
  );
  return chain(
    {...sent.state, reads},
    current => outcome(current, ...sent.effects),
    finishReads,
  );
}

/** Completes the reads whose heartbeat round a quorum has acknowledged. */
export function finishReads(state: ReplicaState): Outcome {
  const isReady = (read: PendingRead): boolean =>
    read.index !== undefined &&
    isQuorum(
      currentMembers(state),
      id =>
        id === state.settings.memberId ||
        (state.progress.get(id)?.ackedRound ?? 0) >= read.round,
    );
  const ready = state.reads.filter(isReady);
  if (ready.length === 0) return outcome(state);
  const effects = ready.map<Effect>(read => ({
    kind: 'read_ready',
    id: read.id,
    index: read.index ?? 0,
  }));
  const reads = state.reads.filter(read => !isReady(read));
  return outcome({...state, reads}, ...effects);
}
