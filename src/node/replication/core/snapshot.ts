/** Snapshots: log compaction, and transfer to members that lag behind it. */
import type {MemberId} from '../../types/ids.js';
import {followLeader} from './append.js';
import {compactTo, termAt} from './log.js';
import type {SnapshotRequest} from './messages.js';
import {replicateTo, withProgress} from './replicate.js';
import {
  chain,
  outcome,
  type Effect,
  type Outcome,
  type ReplicaState,
} from './state.js';

/**
 * Compacts the log after a snapshot of the state up to `index` was synced.
 * Entries after `keepFrom` stay.
 */
export function onCompacted(
  state: ReplicaState,
  index: number,
  keepFrom: number,
): Outcome {
  const coveredConfigs = state.configs.filter(
    config => config.index <= index,
  ).length;
  return outcome({
    ...state,
    log: compactTo(state.log, Math.min(index, keepFrom)),
    durableIndex: Math.max(state.durableIndex, index),
    configs: state.configs.slice(Math.max(0, coveredConfigs - 1)),
  });
}

/** Installs the leader's snapshot if it is ahead of the commit index. */
export function onSnapshotRequest(
  state: ReplicaState,
  from: MemberId,
  callId: number,
  request: SnapshotRequest,
): Outcome {
  const done = (current: ReplicaState): Outcome =>
    outcome(current, {
      kind: 'reply',
      callId,
      reply: {kind: 'done', term: current.term},
      durable: true,
    });
  if (request.term < state.term) return done(state);
  return chain(
    state,
    current => followLeader(current, from, request.term),
    current =>
      !request.isLast || request.index <= current.commitIndex
        ? outcome(current)
        : install(current, request),
    done,
  );
}

function install(state: ReplicaState, request: SnapshotRequest): Outcome {
  const {index, indexTerm, members} = request;
  const matchesLog = termAt(state.log, index) === indexTerm;
  const effect: Effect = {kind: 'install_snapshot', snapshot: request};
  return outcome(
    {
      ...state,
      log: matchesLog
        ? compactTo(state.log, index)
        : {baseIndex: index, baseTerm: indexTerm, entries: []},
      commitIndex: index,
      durableIndex: matchesLog ? Math.max(state.durableIndex, index) : index,
      configs: [
        {index, members},
        ...state.configs.filter(c => matchesLog && c.index > index),
      ],
    },
    effect,
  );
}

/** Resumes with entries after a transfer; if it failed, with a probe. */
export function onSnapshotSent(
  state: ReplicaState,
  peer: MemberId,
  index: number | undefined,
): Outcome {
  const progress = state.progress.get(peer);
  if (progress?.mode !== 'snapshot') return outcome(state);
  if (index === undefined) {
    return outcome(withProgress(state, peer, {mode: 'probe', inFlight: 0}));
  }
  const matchIndex = Math.max(progress.matchIndex, index);
  return replicateTo(
    withProgress(state, peer, {
      mode: 'probe',
      inFlight: 0,
      matchIndex,
      nextIndex: matchIndex + 1,
      lastContactAtMs: state.nowMs,
    }),
    peer,
  );
}
