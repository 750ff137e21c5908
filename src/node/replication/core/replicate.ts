/** The leader's side of replication: which entries to send to whom. */
import type {MemberId} from '../../types/ids.js';
import {entriesFrom, termAt, type LogEntry} from './log.js';
import {
  chain,
  lastLogIndex,
  outcome,
  type Effect,
  type Outcome,
  type Progress,
  type ReplicaState,
} from './state.js';

/** Updates the progress of one member, if it is tracked. */
export function withProgress(
  state: ReplicaState,
  peer: MemberId,
  change: Partial<Progress>,
): ReplicaState {
  const previous = state.progress.get(peer);
  if (previous === undefined) return state;
  const progress = new Map(state.progress).set(peer, {...previous, ...change});
  return {...state, progress};
}

/** Sends every member the entries it lacks. */
export function replicateToAll(state: ReplicaState): Outcome {
  return chain(
    state,
    ...[...state.progress.keys()].map(
      peer => (current: ReplicaState) => replicateTo(current, peer),
    ),
  );
}

/**
 * Sends one member the entries it lacks, within its limit of in-flight
 * messages, or a snapshot if those entries were compacted.
 */
export function replicateTo(state: ReplicaState, peer: MemberId): Outcome {
  const progress = state.progress.get(peer);
  if (progress === undefined || progress.mode === 'snapshot') {
    return outcome(state);
  }
  const {maxBatchEntries, maxBatchChars, maxInFlight} = state.settings;
  const window = progress.mode === 'probe' ? 1 : maxInFlight;
  const {nextIndex, inFlight} = progress;
  if (inFlight >= window || nextIndex > lastLogIndex(state)) {
    return outcome(state);
  }
  if (nextIndex <= state.log.baseIndex) {
    return outcome(withProgress(state, peer, {mode: 'snapshot'}), {
      kind: 'send_snapshot',
      to: peer,
    });
  }
  const entries = entriesFrom(state.log, nextIndex, {
    maxEntries: maxBatchEntries,
    maxChars: maxBatchChars,
  });
  const isProbe = progress.mode === 'probe';
  const sent = withProgress(state, peer, {
    inFlight: inFlight + 1,
    nextIndex: isProbe ? nextIndex : nextIndex + entries.length,
  });
  return chain(
    sent,
    current =>
      outcome(current, appendRequest(current, peer, nextIndex, entries)),
    current => (isProbe ? outcome(current) : replicateTo(current, peer)),
  );
}

/** Starts a heartbeat round: sends all members an empty append. */
export function sendHeartbeats(state: ReplicaState): Outcome {
  const next: ReplicaState = {
    ...state,
    round: state.round + 1,
    heartbeatDeadlineMs: state.nowMs + state.settings.heartbeatMs,
  };
  const heartbeats = [...next.progress].map(([peer, {nextIndex}]) =>
    appendRequest(next, peer, Math.max(nextIndex, next.log.baseIndex + 1), []),
  );
  return outcome(next, ...heartbeats);
}

function appendRequest(
  state: ReplicaState,
  to: MemberId,
  nextIndex: number,
  entries: readonly LogEntry[],
): Effect {
  const prevIndex = nextIndex - 1;
  return {
    kind: 'send',
    to,
    request: {
      kind: 'append',
      term: state.term,
      prevIndex,
      prevTerm: termAt(state.log, prevIndex) ?? 0,
      entries: [...entries],
      commitIndex: state.commitIndex,
      round: state.round,
    },
    durable: false,
  };
}
