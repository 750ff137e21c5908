/**
 * Membership changes, one at a time. A learner becomes a voter only after it
 * has stored everything that is committed.
 */
import type {ReplicaMember} from '../replicated_log.js';
import type {ErrorCode} from '../../types/errors.js';
import {hasCommittedInTerm} from './commit.js';
import {becomeFollower} from './election.js';
import {appendAsLeader, newProgress} from './leadership.js';
import {quorumsOverlap} from './quorum.js';
import {
  chain,
  currentMembers,
  lastLogIndex,
  outcome,
  ownWeight,
  type Effect,
  type MembershipChange,
  type Outcome,
  type Progress,
  type ReplicaState,
} from './state.js';

interface Refusal {
  readonly code: ErrorCode;
  readonly message: string;
}

/** Appends a membership change, or refuses it. */
export function startChange(
  state: ReplicaState,
  id: number,
  change: MembershipChange,
  caughtUpIndex: number,
): Outcome {
  const refusal = refuseChange(state, change, caughtUpIndex);
  if (refusal !== undefined) {
    return outcome(state, {kind: 'refused', ids: [id], ...refusal});
  }
  const members = changedMembers(currentMembers(state), change);
  const index = lastLogIndex(state) + 1;
  const accepted: Effect = {
    kind: 'accepted',
    ids: [id],
    firstIndex: index,
    term: state.term,
  };
  const changed: ReplicaState = {
    ...state,
    configs: state.configs.concat({index, members}),
  };
  return chain(
    {...changed, progress: progressOf(changed, members)},
    current => outcome(current, accepted),
    current => appendAsLeader(current, [{kind: 'members', value: members}]),
  );
}

/** The members after a change. */
export function changedMembers(
  members: readonly ReplicaMember[],
  change: MembershipChange,
): readonly ReplicaMember[] {
  switch (change.kind) {
    case 'add_learner':
      return members.concat({...change.member, weight: 0});
    case 'set_weight':
      return members.map(member =>
        member.memberId === change.memberId
          ? {...member, weight: change.weight}
          : member,
      );
    case 'remove':
      return members.filter(member => member.memberId !== change.memberId);
  }
}

/** Makes a leader without votes step down once that change is committed. */
export function stepDownIfRemoved(state: ReplicaState): Outcome {
  const config = state.configs.at(-1);
  const isCommitted = config !== undefined && config.index <= state.commitIndex;
  if (state.role !== 'leader' || !isCommitted || ownWeight(state) > 0) {
    return outcome(state);
  }
  return becomeFollower(state, state.term);
}

function refuseChange(
  state: ReplicaState,
  change: MembershipChange,
  caughtUpIndex: number,
): Refusal | undefined {
  if (state.role !== 'leader') {
    return {code: 'not_leader', message: 'only the leader changes members'};
  }
  const lastChange = state.configs.at(-1)?.index ?? 0;
  if (lastChange > state.commitIndex || !hasCommittedInTerm(state)) {
    return {code: 'not_ready', message: 'another change is not committed yet'};
  }
  const members = currentMembers(state);
  const isAdd = change.kind === 'add_learner';
  const memberId = isAdd ? change.member.memberId : change.memberId;
  const known = members.find(member => member.memberId === memberId);
  if (isAdd && known !== undefined) {
    return {code: 'conflict', message: `${memberId} is a member already`};
  }
  if (!isAdd && known === undefined) {
    return {code: 'not_found', message: `${memberId} is not a member`};
  }
  const after = changedMembers(members, change);
  if (!quorumsOverlap(members, after)) {
    return {code: 'conflict', message: 'quorums would not overlap'};
  }
  if (!after.some(member => member.weight > 0)) {
    return {code: 'conflict', message: 'no voter would be left'};
  }
  return change.kind === 'set_weight' && known?.weight === 0
    ? refusePromotion(state, known, Math.min(caughtUpIndex, state.commitIndex))
    : undefined;
}

function refusePromotion(
  state: ReplicaState,
  {memberId}: ReplicaMember,
  neededIndex: number,
): Refusal | undefined {
  const matchIndex = state.progress.get(memberId)?.matchIndex ?? 0;
  const isSelf = memberId === state.settings.memberId;
  if (isSelf || matchIndex >= neededIndex) return undefined;
  return {
    code: 'not_ready',
    message: `${memberId} has ${matchIndex} of ${neededIndex} entries`,
  };
}

function progressOf(
  state: ReplicaState,
  members: readonly ReplicaMember[],
): ReadonlyMap<ReplicaMember['memberId'], Progress> {
  return new Map(
    members
      .map(member => member.memberId)
      .filter(id => id !== state.settings.memberId)
      .map(id => [id, state.progress.get(id) ?? newProgress(state)]),
  );
}
