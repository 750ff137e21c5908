/**
 * Detects a group that can never elect a leader again because too many of its
 * voters lost their memory or disks, so that its instances form a new group.
 * Starting over has the effect of a process restart: a member without a disk
 * loses its state and takes a new identity, and the first founder queries all
 * others before it forms a group.
 */
import {monotonicNowMs} from '../clock/clock.js';
import {isQuorum} from './core/quorum.js';
import {queryFounders, type FormationOptions} from './group_formation.js';
import {instanceOf} from './peer_transport.js';
import type {ReplicaStatus} from './replicated_log.js';

/** Long enough for any election that can succeed. */
const LEADERLESS_TIMEOUT_MS = 5_000;
const CHECK_INTERVAL_MS = 1_000;

/**
 * Whether a member must start over; false unless all other founders reply. A
 * member that has the state of a group starts over only if it has no disk, no
 * founder belongs to a group unknown to it, and the voters whose identity is
 * still in use are no quorum. An identity that an instance replaced is never
 * used again.
 */
export async function isGroupLost(
  options: FormationOptions,
  {members, memberId}: ReplicaStatus,
): Promise<boolean> {
  const {founders, instance, storage} = options;
  const others = founders.filter(founder => founder.instance !== instance);
  const replies = await queryFounders(options, others);
  if (replies === undefined) return false;
  if (members.length === 0) {
    const isFirst = founders[0]?.instance === instance;
    return isFirst && replies.every(reply => !reply.isFormed);
  }
  if (storage.isDurable) return false;
  const isKnown = (id: string): boolean =>
    members.some(member => member.memberId === id);
  if (replies.some(reply => reply.isFormed && !isKnown(reply.memberId))) {
    return false;
  }
  const activeIds = [memberId, ...replies.map(reply => reply.memberId)];
  const isFounder = (name: string): boolean =>
    founders.some(founder => founder.instance === name);
  return !isQuorum(
    members,
    id => activeIds.includes(id) || !isFounder(instanceOf(id)),
  );
}

/**
 * Calls `onLost` once when the group is lost. Returns a function that stops
 * the checks.
 */
export function watchForLostGroup(
  options: FormationOptions,
  status: () => ReplicaStatus,
  onLost: () => void,
): () => void {
  let leaderSeenAtMs = monotonicNowMs();
  let isChecking = false;
  let isStopped = false;
  const stop = (): void => {
    isStopped = true;
    clearInterval(timer);
  };
  const run = async (): Promise<void> => {
    const nowMs = monotonicNowMs();
    if (status().leader !== undefined) leaderSeenAtMs = nowMs;
    if (isChecking || nowMs - leaderSeenAtMs < LEADERLESS_TIMEOUT_MS) return;
    isChecking = true;
    const isLost = await isGroupLost(options, status());
    isChecking = false;
    if (isStopped || !isLost || status().leader !== undefined) return;
    stop();
    onLost();
  };
  const timer = setInterval(() => void run(), CHECK_INTERVAL_MS);
  timer.unref();
  return stop;
}
