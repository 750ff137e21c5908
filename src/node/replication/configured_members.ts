/**
 * Reconciles the members of a group with the configuration: the leader removes
 * members that are no longer configured and corrects weights, one change at a
 * time. New members send their own request to join.
 */
import type {InstanceId} from '../types/ids.js';
import {instanceOf} from './peer_transport.js';
import type {ReplicaMember, ReplicatedLog} from './replicated_log.js';

const RECONCILE_INTERVAL_MS = 1_000;

type AnyLog = ReplicatedLog<never, unknown>;
type Change = Parameters<AnyLog['changeMembership']>[0];

/** Configured weights; an instance without an entry must not be a member. */
export type ConfiguredWeights = ReadonlyMap<InstanceId, number>;

/** The next membership change towards the configuration, if one is needed. */
export function nextConfiguredChange(
  members: readonly ReplicaMember[],
  self: string,
  weights: ConfiguredWeights,
): Change | undefined {
  // An empty configuration is never intended: it would remove all members.
  if (weights.size === 0) return undefined;
  const configuredWeightOf = (member: ReplicaMember): number | undefined =>
    weights.get(instanceOf(member.memberId));
  const extra = members.find(
    member =>
      member.memberId !== self && configuredWeightOf(member) === undefined,
  );
  if (extra !== undefined) return {kind: 'remove', memberId: extra.memberId};
  // A learner is promoted through its own join request once it has caught up.
  const mismatched = members.find(
    member => member.weight > 0 && configuredWeightOf(member) !== member.weight,
  );
  const weight =
    mismatched === undefined ? undefined : configuredWeightOf(mismatched);
  return mismatched === undefined || weight === undefined
    ? undefined
    : {kind: 'set_weight', memberId: mismatched.memberId, weight};
}

/**
 * Applies the configuration while this member is the leader. Returns a
 * function that stops this.
 */
export function reconcileMembers(
  log: AnyLog,
  weights: () => ConfiguredWeights,
): () => void {
  let isChanging = false;
  const run = async (): Promise<void> => {
    const {role, members, memberId} = log.status();
    if (isChanging || role !== 'leader') return;
    const change = nextConfiguredChange(members, memberId, weights());
    if (change === undefined) return;
    isChanging = true;
    await log.changeMembership(change);
    isChanging = false;
  };
  const timer = setInterval(() => void run(), RECONCILE_INTERVAL_MS);
  timer.unref();
  return () => clearInterval(timer);
}
