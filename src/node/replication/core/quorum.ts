/** Weighted votes: a quorum is more than half of the total weight. */
import type {ReplicaMember} from '../replicated_log.js';
import type {MemberId} from '../../types/ids.js';

export function totalWeight(members: readonly ReplicaMember[]): number {
  return members.reduce((sum, member) => sum + member.weight, 0);
}

/** The weight of one member; 0 for a learner or a non-member. */
export function weightOf(
  members: readonly ReplicaMember[],
  memberId: MemberId,
): number {
  return members.find(member => member.memberId === memberId)?.weight ?? 0;
}

/** Whether the members for which `agrees` holds are a quorum. */
export function isQuorum(
  members: readonly ReplicaMember[],
  agrees: (memberId: MemberId) => boolean,
): boolean {
  const agreeingWeight = totalWeight(members.filter(m => agrees(m.memberId)));
  return 2 * agreeingWeight > totalWeight(members);
}

/** The greatest value that a quorum has reached; 0 without voters. */
export function quorumValue(
  members: readonly ReplicaMember[],
  valueOf: (memberId: MemberId) => number,
): number {
  const reached = members
    .filter(member => member.weight > 0)
    .map(member => valueOf(member.memberId));
  return reached.reduce(
    (best, value) =>
      value > best && isQuorum(members, id => valueOf(id) >= value)
        ? value
        : best,
    0,
  );
}

/**
 * Whether each quorum of `before` shares a member with each quorum of `after`,
 * given that the weight of one member differs. This always holds for a change
 * by 1; for a change by 2 it holds only if the smaller total is even.
 */
export function quorumsOverlap(
  before: readonly ReplicaMember[],
  after: readonly ReplicaMember[],
): boolean {
  const totals = [totalWeight(before), totalWeight(after)];
  const smaller = Math.min(...totals);
  const difference = Math.max(...totals) - smaller;
  const minCombinedWeight =
    Math.floor(smaller / 2) + Math.floor((smaller + difference) / 2) + 2;
  return minCombinedWeight - difference > smaller;
}
