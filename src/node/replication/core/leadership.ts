/** The leader: start of its term, quorum check, heartbeats and transfer. */
import type {MemberId} from '../../types/ids.js';
import {advanceCommitIndex} from './commit.js';
import {lastIndex, replaceSuffix, lastTerm, type LogEntry} from './log.js';
import {isQuorum} from './quorum.js';
import {replicateTo, replicateToAll, sendHeartbeats} from './replicate.js';
import {
  chain,
  currentMembers,
  lastLogIndex,
  outcome,
  peersOf,
  type Outcome,
  type Progress,
  type ReplicaState,
} from './state.js';

/** Becomes leader: appends an entry of the new term and replicates it. */
export function becomeLeader(state: ReplicaState): Outcome {
  const leading: ReplicaState = {
    ...state,
    role: 'leader',
    leader: state.settings.memberId,
    votes: new Map(),
    progress: new Map(
      peersOf(state).map(peer => [peer.memberId, newProgress(state)]),
    ),
    reads: [],
    transfer: undefined,
    heartbeatDeadlineMs: state.nowMs + state.settings.heartbeatMs,
  };
  if (lastIndex(state.log) > 0) {
    return appendAsLeader(leading, [{kind: 'noop'}]);
  }
  // The first entry lists the founding members, for members that started
  // without that list.
  const members = currentMembers(state);
  return appendAsLeader(
    {...leading, configs: [...leading.configs, {index: 1, members}]},
    [{kind: 'members', value: members}],
  );
}

/**
 * Progress of a member before its first reply. `lastContactAtMs` starts at the
 * current time, so that a new leader does not step down before members can
 * reply.
 */
export function newProgress(state: ReplicaState): Progress {
  return {
    matchIndex: 0,
    nextIndex: lastLogIndex(state) + 1,
    inFlight: 0,
    mode: 'probe',
    lastContactAtMs: state.nowMs,
    ackedRound: 0,
  };
}

/** Appends new entries of the current term and sends them. */
export function appendAsLeader(
  state: ReplicaState,
  contents: readonly Pick<LogEntry, 'kind' | 'value'>[],
): Outcome {
  const prevIndex = lastIndex(state.log);
  const prevTerm = lastTerm(state.log);
  const entries = contents.map((content, position) => ({
    index: prevIndex + position + 1,
    term: state.term,
    ...content,
  }));
  const log = replaceSuffix(state.log, prevIndex, entries);
  return chain(
    {...state, log},
    current =>
      outcome(current, {kind: 'save_entries', prevIndex, prevTerm, entries}),
    replicateToAll,
    advanceCommitIndex,
  );
}

/** Whether a quorum replied within the minimum election timeout. */
export function isQuorumActive(state: ReplicaState): boolean {
  const oldestMs = state.nowMs - state.settings.electionMinMs;
  return isQuorum(
    currentMembers(state),
    id =>
      id === state.settings.memberId ||
      (state.progress.get(id)?.lastContactAtMs ?? 0) >= oldestMs,
  );
}

/** Whether a leader that cannot write has found no successor in time. */
export function hasFailedToHandOver(state: ReplicaState): boolean {
  const {isWritable, transfer, nowMs} = state;
  return !isWritable && nowMs >= (transfer?.deadlineMs ?? 0);
}

/** Clears an expired transfer and sends heartbeats when they are due. */
export function onLeaderTick(state: ReplicaState): Outcome {
  const isTransferExpired =
    state.transfer !== undefined && state.nowMs >= state.transfer.deadlineMs;
  const current = isTransferExpired ? {...state, transfer: undefined} : state;
  if (state.nowMs < state.heartbeatDeadlineMs) return outcome(current);
  return sendHeartbeats(current);
}

/** Starts a transfer to the reachable voter with the highest match index. */
export function startTransfer(state: ReplicaState): Outcome {
  const to = chooseTransferTarget(state);
  if (state.role !== 'leader' || to === undefined) return outcome(state);
  const deadlineMs = state.nowMs + state.settings.electionMinMs;
  return chain(
    {...state, transfer: {to, deadlineMs}},
    current => replicateTo(current, to),
    continueTransfer,
  );
}

/** Asks the transfer target to take over once it has the complete log. */
export function continueTransfer(state: ReplicaState): Outcome {
  const to = state.transfer?.to;
  const progress = to === undefined ? undefined : state.progress.get(to);
  if (to === undefined || progress?.matchIndex !== lastLogIndex(state)) {
    return outcome(state);
  }
  return outcome(state, {
    kind: 'send',
    to,
    request: {kind: 'timeout_now', term: state.term},
    durable: false,
  });
}

function chooseTransferTarget(state: ReplicaState): MemberId | undefined {
  const oldestMs = state.nowMs - state.settings.electionMinMs;
  const matchOf = (id: MemberId): number =>
    state.progress.get(id)?.matchIndex ?? 0;
  return peersOf(state)
    .filter(peer => peer.weight > 0)
    .map(peer => peer.memberId)
    .filter(id => (state.progress.get(id)?.lastContactAtMs ?? 0) >= oldestMs)
    .sort((left, right) => matchOf(right) - matchOf(left))[0];
}
