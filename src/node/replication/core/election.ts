/**
 * Elections with pre-vote: a member asks whether it could win before it raises
 * its term, so that a partitioned member does not depose the leader when it
 * returns.
 */
import type {MemberId} from '../../types/ids.js';
import {becomeLeader} from './leadership.js';
import {lastIndex, lastTerm} from './log.js';
import type {VoteReply, VoteRequest} from './messages.js';
import {isQuorum} from './quorum.js';
import {
  chain,
  currentMembers,
  outcome,
  ownWeight,
  peersOf,
  withElectionTimeout,
  type Effect,
  type Outcome,
  type ReplicaState,
} from './state.js';

/**
 * Becomes a follower in `term`; `leader` is omitted while it is unknown.
 * Pending reads are refused.
 */
export function becomeFollower(
  state: ReplicaState,
  term: number,
  leader?: MemberId,
): Outcome {
  const followed: ReplicaState = withElectionTimeout({
    ...state,
    role: 'follower',
    term,
    vote: term > state.term ? undefined : state.vote,
    leader,
    votes: new Map(),
    progress: new Map(),
    reads: [],
    transfer: undefined,
  });
  if (state.reads.length === 0) return outcome(followed);
  return outcome(followed, {
    kind: 'refused',
    ids: state.reads.map(read => read.id),
    code: 'not_leader',
    message: 'the leader stepped down before the read was confirmed',
  });
}

/**
 * Asks the voters whether they would vote for this member. One that cannot store
 * its own vote only forgets a leader that is silent.
 */
export function startPreVote(state: ReplicaState): Outcome {
  if (ownWeight(state) === 0) return outcome(withElectionTimeout(state));
  if (!state.isWritable) return becomeFollower(state, state.term);
  const {memberId} = state.settings;
  const preCandidate: ReplicaState = withElectionTimeout({
    ...state,
    role: 'pre_candidate',
    leader: undefined,
    votes: new Map([[memberId, true]]),
  });
  if (hasWon(preCandidate)) return startElection(preCandidate, false);
  return outcome(
    preCandidate,
    ...requestVotes(preCandidate, 'pre_vote', state.term + 1, false),
  );
}

/** Starts a new term and asks the voters for their votes. */
export function startElection(state: ReplicaState, transfer: boolean): Outcome {
  if (ownWeight(state) === 0 || !state.isWritable) return outcome(state);
  const {memberId} = state.settings;
  const candidate: ReplicaState = withElectionTimeout({
    ...state,
    role: 'candidate',
    term: state.term + 1,
    vote: memberId,
    leader: undefined,
    votes: new Map(),
  });
  return outcome(
    candidate,
    ...requestVotes(candidate, 'vote', candidate.term, transfer),
  );
}

/**
 * Counts the candidate's own vote once it is synced. Otherwise a single voter
 * could become leader, crash before the sync, and lead the same term again with
 * different entries.
 */
export function onVoteSaved(state: ReplicaState, term: number): Outcome {
  const {memberId} = state.settings;
  if (state.role !== 'candidate' || state.term !== term) return outcome(state);
  const counted: ReplicaState = {
    ...state,
    votes: new Map(state.votes).set(memberId, true),
  };
  return hasWon(counted) ? becomeLeader(counted) : outcome(counted);
}

/** Replies to a request for a vote or a pre-vote. */
export function onVoteRequest(
  state: ReplicaState,
  from: MemberId,
  callId: number,
  request: VoteRequest,
): Outcome {
  if (hasLiveLeader(state) && !request.transfer) {
    return respond(state, callId, request, false);
  }
  if (request.kind === 'pre_vote') {
    const granted =
      state.isWritable &&
      request.term > state.term &&
      isUpToDate(state, request) &&
      !isPreferredTo(state, from, request);
    return respond(state, callId, request, granted);
  }
  if (request.term < state.term) return respond(state, callId, request, false);
  return chain(
    state,
    current =>
      request.term > current.term
        ? becomeFollower(current, request.term)
        : outcome(current),
    current => castVote(current, from, callId, request),
  );
}

function castVote(
  state: ReplicaState,
  from: MemberId,
  callId: number,
  request: VoteRequest,
): Outcome {
  const mayVote = state.vote === undefined || state.vote === from;
  const granted = state.isWritable && mayVote && isUpToDate(state, request);
  if (!granted) return respond(state, callId, request, false);
  const voted = withElectionTimeout({...state, vote: from});
  return respond(voted, callId, request, true);
}

/**
 * Counts a vote. With a quorum, a pre-candidate starts an election and a
 * candidate becomes leader.
 */
export function onVoteReply(
  state: ReplicaState,
  from: MemberId,
  reply: VoteReply,
): Outcome {
  if (!reply.granted && reply.term > state.term) {
    return becomeFollower(state, reply.term);
  }
  const isPreVote = reply.kind === 'pre_vote_reply';
  const expectedRole = isPreVote ? 'pre_candidate' : 'candidate';
  const expectedTerm = isPreVote ? state.term + 1 : state.term;
  if (state.role !== expectedRole || reply.askedTerm !== expectedTerm) {
    return outcome(state);
  }
  const counted: ReplicaState = {
    ...state,
    votes: new Map(state.votes).set(from, reply.granted),
  };
  if (!hasWon(counted)) return outcome(counted);
  return isPreVote ? startElection(counted, false) : becomeLeader(counted);
}

/** On the leader's request, starts an election at once, without a pre-vote. */
export function onTimeoutNow(
  state: ReplicaState,
  callId: number,
  term: number,
): Outcome {
  const done: Effect = {
    kind: 'reply',
    callId,
    reply: {kind: 'done', term: state.term},
    durable: false,
  };
  if (term !== state.term || state.role === 'leader') {
    return outcome(state, done);
  }
  return chain(
    state,
    current => outcome(current, done),
    current => startElection(current, true),
  );
}

function hasWon(state: ReplicaState): boolean {
  return isQuorum(currentMembers(state), id => state.votes.get(id) === true);
}

function hasLiveLeader(state: ReplicaState): boolean {
  if (state.role === 'leader') return true;
  const elapsedMs = state.nowMs - state.leaderContactAtMs;
  return state.leader !== undefined && elapsedMs < state.settings.electionMinMs;
}

function isUpToDate(state: ReplicaState, request: VoteRequest): boolean {
  const ownTerm = lastTerm(state.log);
  if (request.lastTerm !== ownTerm) return request.lastTerm > ownTerm;
  return request.lastIndex >= lastIndex(state.log);
}

// Of two pre-candidates with equal logs, only the one with the lower id
// proceeds; otherwise both would start a term and split the vote.
function isPreferredTo(
  state: ReplicaState,
  other: MemberId,
  request: VoteRequest,
): boolean {
  const {memberId} = state.settings;
  const isEqual =
    request.lastTerm === lastTerm(state.log) &&
    request.lastIndex === lastIndex(state.log);
  return state.role === 'pre_candidate' && isEqual && memberId < other;
}

function respond(
  state: ReplicaState,
  callId: number,
  request: VoteRequest,
  granted: boolean,
): Outcome {
  return outcome(state, {
    kind: 'reply',
    callId,
    reply: {
      kind: request.kind === 'vote' ? 'vote_reply' : 'pre_vote_reply',
      term: state.term,
      askedTerm: request.term,
      granted,
    },
    durable: request.kind === 'vote' && state.isWritable,
  });
}

function requestVotes(
  state: ReplicaState,
  kind: VoteRequest['kind'],
  term: number,
  transfer: boolean,
): readonly Effect[] {
  return peersOf(state)
    .filter(peer => peer.weight > 0)
    .map(peer => ({
      kind: 'send',
      to: peer.memberId,
      request: {
        kind,
        term,
        lastIndex: lastIndex(state.log),
        lastTerm: lastTerm(state.log),
        transfer,
      },
      durable: kind === 'vote',
    }));
}
