/** Starts a member of a group: its identity, replica and request to join. */
import {monotonicNowMs} from '../clock/clock.js';
import {createReplica} from './create_replica.js';
import {
  registerFormationMethod,
  decideStart,
  type FormationOptions,
} from './group_formation.js';
import {registerJoinMethod, startJoining} from './joining.js';
import type {Replica} from './replica.js';
import {whenDiskAllows} from './start_retry.js';
import {
  DEFAULT_ELECTION_MAX_MS,
  type ReplicaOptions,
} from './replica_options.js';

export interface GroupMemberOptions<Command, Result>
  extends
    Omit<FormationOptions, 'router' | 'client' | 'storage' | 'methodPrefix'>,
    Omit<
      ReplicaOptions<Command, Result>,
      'memberId' | 'startAs' | 'initialMembers'
    > {
  /** Internal address of this instance, `host:port`. */
  readonly address: string;
  /** Instances that may know the group. @default the other founders */
  readonly contacts?: () => readonly string[];
  /** Votes this member requests. @default its weight as a founder, or 0 */
  readonly weight?: number;
}

/** Elections may fail because of split votes or lost messages. */
const FIRST_ELECTION_ATTEMPTS = 5;
const POLL_INTERVAL_MS = 50;

/** A running member. `stop` and `abort` also end its attempts to join. */
export interface GroupMember<Command, Result> {
  readonly replica: Replica<Command, Result>;
  stop(): Promise<void>;
  /** Stops immediately and leaves the storage as a crash would. */
  abort(): void;
}

/**
 * Decides the identity, starts the replica and, unless it already is a voter,
 * asks the leader to add it in place of its instance's older identities.
 */
export async function createGroupMember<Command, Result>(
  options: GroupMemberOptions<Command, Result>,
): Promise<GroupMember<Command, Result>> {
  const {instance, founders, router, client, methodPrefix, address} = options;
  const replica = await startReplica(options);
  const {memberId} = replica.status();
  registerFormationMethod(
    router,
    methodPrefix,
    memberId,
    () => replica.status().members.length > 0,
  );
  registerJoinMethod(replica, router, methodPrefix);
  const founderWeight = founders.find(f => f.instance === instance)?.weight;
  const weight = options.weight ?? founderWeight ?? 0;
  const stopJoining = startJoining({
    log: replica,
    client,
    methodPrefix,
    member: {memberId, address, weight},
    contacts:
      options.contacts ??
      (() =>
        founders
          .filter(founder => founder.instance !== instance)
          .map(founder => founder.address)),
    retryMs: options.retryMs,
  });
  return {
    replica,
    stop: async () => {
      stopJoining();
      await replica.stop();
    },
    abort: () => {
      stopJoining();
      replica.abort();
    },
  };
}

/**
 * Starts the replica. If the group of the first founder elects no leader in
 * time, the founder queries the others again: those without a disk may have
 * restarted under new identities.
 */
async function startReplica<Command, Result>(
  options: GroupMemberOptions<Command, Result>,
): Promise<Replica<Command, Result>> {
  for (;;) {
    const decision = await whenDiskAllows(options, () => decideStart(options));
    const replica = await whenDiskAllows(options, () =>
      createReplica({...options, ...decision}),
    );
    const isFounder = decision.startAs === 'voter';
    if (!isFounder || (await hasLeaderInTime(replica, options))) return replica;
    await replica.stop();
  }
}

async function hasLeaderInTime<Command, Result>(
  replica: Replica<Command, Result>,
  options: GroupMemberOptions<Command, Result>,
): Promise<boolean> {
  const {electionMaxMs = DEFAULT_ELECTION_MAX_MS} = options;
  const deadlineMs = monotonicNowMs() + FIRST_ELECTION_ATTEMPTS * electionMaxMs;
  while (monotonicNowMs() < deadlineMs && options.signal?.aborted !== true) {
    if (replica.status().leader !== undefined) return true;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return options.signal?.aborted === true;
}
