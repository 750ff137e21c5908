/**
 * Splits weight changes into steps of one, since the quorums before and after a
 * larger change might not overlap.
 */
import type {MembershipChange} from './core/state.js';
import {weightOf} from './core/quorum.js';
import type {ReplicaMember} from './replicated_log.js';

/** The steps of `change`, to be committed one after another. */
export function weightSteps(
  members: readonly ReplicaMember[],
  change: MembershipChange,
): readonly MembershipChange[] {
  if (change.kind === 'add_learner') return [change];
  const {memberId} = change;
  const from = weightOf(members, memberId);
  // The removal itself drops the last vote.
  const to = change.kind === 'remove' ? Math.min(1, from) : change.weight;
  const direction = Math.sign(to - from);
  const steps = Array.from(
    {length: Math.abs(to - from)},
    (_, position): MembershipChange => ({
      kind: 'set_weight',
      memberId,
      weight: from + direction * (position + 1),
    }),
  );
  return change.kind === 'remove' ? [...steps, change] : steps;
}
