/** Creates a member of a replicated log from its storage. */
import {monotonicNowMs} from '../clock/clock.js';
import {GatewayError} from '../types/errors.js';
import {createInitialState} from './core/step.js';
import {Replica} from './replica.js';
import {
  resolveReplicaOptions,
  type ReplicaOptions,
  type ResolvedReplicaOptions,
} from './replica_options.js';
import {hasHistory} from './group_formation.js';
import type {
  HardState,
  StoredReplica,
  StoredSnapshot,
} from './replica_storage.js';

/**
 * Loads the stored state of a member and starts it. Rejects with
 * `storage_damaged` if the files are damaged, and with `conflict` if they
 * belong to another identity.
 */
export async function createReplica<Command, Result>(
  options: ReplicaOptions<Command, Result>,
): Promise<Replica<Command, Result>> {
  const resolved = resolveReplicaOptions(options);
  const {storage, memberId} = resolved;
  const stored = await storage.load();
  if (stored.hardState !== undefined) checkIdentity(stored.hardState, memberId);
  const snapshot = await initialSnapshot(resolved, stored);
  const state = createInitialState(
    resolved,
    {
      ...stored.hardState,
      log: stored.log,
      snapshotIndex: snapshot.index,
      members: snapshot.members,
    },
    {nowMs: monotonicNowMs(), random: resolved.random()},
  );
  return new Replica(resolved, state, snapshot);
}

// A founder with an empty log starts from the given founders, which may differ
// from those of an earlier attempt in which no leader was elected; it keeps its
// vote. The state file is written last: while it is missing, the member has
// not voted.
async function initialSnapshot<Command, Result>(
  options: ResolvedReplicaOptions<Command, Result>,
  stored: StoredReplica,
): Promise<StoredSnapshot> {
  const {memberId, startAs, initialMembers, stateMachine, storage} = options;
  const isFounding = startAs === 'voter' && !hasHistory(stored);
  if (stored.snapshot !== undefined && !isFounding) return stored.snapshot;
  const isFounder = initialMembers.some(
    member => member.memberId === memberId && member.weight > 0,
  );
  if (startAs === 'voter' && !isFounder) {
    throw new GatewayError({
      code: 'bad_request',
      message: `${memberId} is not among the founders`,
      step: 'replication.start',
      peer: 'self',
    });
  }
  const snapshot: StoredSnapshot = {
    index: 0,
    term: 0,
    members: startAs === 'voter' ? initialMembers : [],
    data: JSON.stringify(stateMachine.snapshot()),
  };
  await storage.saveSnapshot(snapshot, 0);
  await storage.saveHardState(stored.hardState ?? {memberId, term: 0});
  return snapshot;
}

function checkIdentity(hardState: HardState, memberId: string): void {
  if (hardState.memberId === memberId) return;
  throw new GatewayError({
    code: 'conflict',
    message: `the files belong to ${hardState.memberId}, not to ${memberId}`,
    step: 'replication.start',
    peer: 'self',
  });
}
