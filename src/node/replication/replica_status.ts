/** What a member tells about itself and its group. */
import {asNumber, type LogIndex, type Term} from '../types/ids.js';
import {termAt} from './core/log.js';
import {currentMembers, ownWeight, type ReplicaState} from './core/state.js';
import type {ReplicaStatus} from './replicated_log.js';

export interface RunnerStatus {
  readonly appliedIndex: number;
  readonly isStopped: boolean;
}

export function statusOf(
  state: ReplicaState,
  {appliedIndex, isStopped}: RunnerStatus,
): ReplicaStatus {
  const {term, leader, commitIndex, role, log, settings, isWritable} = state;
  const isLearner = role !== 'leader' && ownWeight(state) === 0;
  const liveRole = isLearner ? 'learner' : role;
  return {
    memberId: settings.memberId,
    role: isStopped ? 'stopped' : liveRole,
    term: asNumber<Term>(term),
    leader,
    commitIndex: asNumber<LogIndex>(commitIndex),
    appliedIndex: asNumber<LogIndex>(appliedIndex),
    members: currentMembers(state),
    hasCommittedInTerm: termAt(log, commitIndex) === term,
    isWritable,
  };
}
