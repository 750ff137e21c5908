/**
 * The pure core of a replicated log. `step` maps a state and an event to the
 * next state and to effects, which the driver executes in order.
 */
import type {ReplicaMember} from '../replicated_log.js';
import type {MemberId} from '../../types/ids.js';
import {onAppendReply, onAppendRequest} from './append.js';
import {advanceCommitIndex, startReads} from './commit.js';
import {
  becomeFollower,
  onTimeoutNow,
  onVoteReply,
  onVoteSaved,
  onVoteRequest,
  startPreVote,
} from './election.js';
import {
  appendAsLeader,
  hasFailedToHandOver,
  isQuorumActive,
  onLeaderTick,
  startTransfer,
} from './leadership.js';
import {EMPTY_LOG, lastIndex, membersOf, termAt, type LogState} from './log.js';
import type {PeerReply, PeerRequest} from './messages.js';
import {stepDownIfRemoved, startChange} from './membership.js';
import {withProgress} from './replicate.js';
import {onCompacted, onSnapshotRequest, onSnapshotSent} from './snapshot.js';
import {
  chain,
  outcome,
  withElectionTimeout,
  withRestartElectionTimeout,
  type CoreSettings,
  type Effect,
  type Outcome,
  type ReplicaEvent,
  type ReplicaState,
} from './state.js';

/** Time and random value for one event. */
export interface StepContext {
  /** Monotonic time. */
  readonly nowMs: number;
  /** In [0, 1). */
  readonly random: number;
}

/** Stored state and members that a member starts with. */
export interface InitialState {
  readonly term?: number;
  readonly vote?: MemberId;
  readonly log?: LogState;
  /** Index up to which the state machine was restored. */
  readonly snapshotIndex?: number;
  /** Members as of `snapshotIndex`. */
  readonly members: readonly ReplicaMember[];
}

export function createInitialState(
  settings: CoreSettings,
  initial: InitialState,
  context: StepContext,
): ReplicaState {
  const {log = EMPTY_LOG, snapshotIndex = 0, members} = initial;
  const laterConfigs = log.entries
    .filter(entry => entry.kind === 'members' && entry.index > snapshotIndex)
    .map(entry => ({index: entry.index, members: membersOf(entry)}));
  const isRestart = lastIndex(log) > 0 || snapshotIndex > 0;
  const withTimeout = isRestart
    ? withRestartElectionTimeout
    : withElectionTimeout;
  return withTimeout({
    settings,
    ...context,
    term: initial.term ?? 0,
    vote: initial.vote,
    role: 'follower',
    leaderContactAtMs: context.nowMs,
    log,
    durableIndex: lastIndex(log),
    commitIndex: snapshotIndex,
    isWritable: true,
    configs: [{index: snapshotIndex, members}, ...laterConfigs],
    electionDeadlineMs: 0,
    heartbeatDeadlineMs: 0,
    votes: new Map(),
    progress: new Map(),
    round: 0,
    reads: [],
  });
}

/** When the next `tick` is due. */
export function nextDeadlineMs(state: ReplicaState): number {
  return state.role === 'leader'
    ? state.heartbeatDeadlineMs
    : state.electionDeadlineMs;
}

/** Handles one event. A changed term or vote is the first effect. */
export function step(
  state: ReplicaState,
  event: ReplicaEvent,
  context: StepContext,
): Outcome {
  const result = chain(
    {...state, ...context},
    current => handle(current, event),
    stepDownIfRemoved,
  );
  const {term, vote} = result.state;
  if (term === state.term && vote === state.vote) return result;
  // Term and vote are saved before any effect that depends on them.
  const save: Effect = {kind: 'save_hard_state', term, vote};
  return {state: result.state, effects: [save, ...result.effects]};
}

function handle(state: ReplicaState, event: ReplicaEvent): Outcome {
  switch (event.kind) {
    case 'tick':
      return onTick(state);
    case 'request':
      return onRequest(state, event.from, event.callId, event.request);
    case 'reply':
      return onReply(state, event.from, event.reply);
    case 'unreachable':
      return onUnreachable(state, event.peer);
    case 'propose':
      return onPropose(state, event.proposals);
    case 'change':
      return startChange(state, event.id, event.change, event.caughtUpIndex);
    case 'read':
      return startReads(state, event.ids);
    case 'vote_saved':
      return onVoteSaved(state, event.term);
    case 'persisted':
      return onPersisted(state, event.index, event.term);
    case 'storage':
      return onStorage(state, event.isWritable);
    case 'compacted':
      return onCompacted(state, event.index, event.keepFrom);
    case 'snapshot_sent':
      return onSnapshotSent(state, event.peer, event.index);
    case 'transfer':
      return startTransfer(state);
  }
}

function onTick(state: ReplicaState): Outcome {
  if (state.role !== 'leader') {
    return state.nowMs >= state.electionDeadlineMs
      ? startPreVote(state)
      : outcome(state);
  }
  return isQuorumActive(state) && !hasFailedToHandOver(state)
    ? onLeaderTick(state)
    : becomeFollower(state, state.term);
}

// What a member cannot store it neither proposes nor votes for, so another member
// has to lead. Without one that can take over at once, an election decides.
function onStorage(state: ReplicaState, isWritable: boolean): Outcome {
  const current = {...state, isWritable};
  if (isWritable || state.role === 'follower') return outcome(current);
  const handedOver = startTransfer(current);
  return handedOver.state.transfer === undefined
    ? becomeFollower(current, state.term)
    : handedOver;
}

function onRequest(
  state: ReplicaState,
  from: MemberId,
  callId: number,
  request: PeerRequest,
): Outcome {
  switch (request.kind) {
    case 'pre_vote':
    case 'vote':
      return onVoteRequest(state, from, callId, request);
    case 'append':
      return onAppendRequest(state, from, callId, request);
    case 'snapshot':
      return onSnapshotRequest(state, from, callId, request);
    case 'timeout_now':
      return onTimeoutNow(state, callId, request.term);
  }
}

function onReply(
  state: ReplicaState,
  from: MemberId,
  reply: PeerReply,
): Outcome {
  switch (reply.kind) {
    case 'append_reply':
      return onAppendReply(state, from, reply);
    case 'done':
      return reply.term > state.term
        ? becomeFollower(state, reply.term)
        : outcome(state);
    default:
      return onVoteReply(state, from, reply);
  }
}

function onUnreachable(state: ReplicaState, peer: MemberId): Outcome {
  const progress = state.progress.get(peer);
  if (progress === undefined || progress.mode === 'snapshot') {
    return outcome(state);
  }
  // All entries streamed after the last match may be lost. A probe keeps its
  // position: the member may have far more entries than it has acknowledged.
  const isStream = progress.mode === 'stream';
  const nextIndex = isStream ? progress.matchIndex + 1 : progress.nextIndex;
  return outcome(
    withProgress(state, peer, {mode: 'probe', inFlight: 0, nextIndex}),
  );
}

function onPropose(
  state: ReplicaState,
  proposals: (ReplicaEvent & {kind: 'propose'})['proposals'],
): Outcome {
  const ids = proposals.map(proposal => proposal.id);
  const isHandingOver = state.transfer !== undefined || !state.isWritable;
  if (state.role !== 'leader' || isHandingOver) {
    return outcome(state, {
      kind: 'refused',
      ids,
      code: 'not_leader',
      message: 'only the leader accepts proposals',
    });
  }
  const firstIndex = lastIndex(state.log) + 1;
  return chain(
    state,
    current =>
      outcome(current, {kind: 'accepted', ids, firstIndex, term: state.term}),
    current =>
      appendAsLeader(
        current,
        proposals.map(({command}) => ({kind: 'command', value: command})),
      ),
  );
}

function onPersisted(
  state: ReplicaState,
  index: number,
  term: number,
): Outcome {
  // Another leader may have replaced these entries while they were being saved.
  if (termAt(state.log, index) !== term || index <= state.durableIndex) {
    return outcome(state);
  }
  const durable = {...state, durableIndex: index};
  return state.role === 'leader'
    ? advanceCommitIndex(durable)
    : outcome(durable);
}
