/** State, events and effects of the pure core of a replicated log. */
import type {JsonValue, ReplicaMember, ReplicaRole} from '../replicated_log.js';
import type {ErrorCode} from '../../types/errors.js';
import type {MemberId} from '../../types/ids.js';
import {lastIndex, type LogEntry, type LogState} from './log.js';
import type {PeerReply, PeerRequest, SnapshotRequest} from './messages.js';
import {weightOf} from './quorum.js';

/** Settings that the core needs; see `ReplicaOptions` for the defaults. */
export interface CoreSettings {
  readonly memberId: MemberId;
  readonly electionMinMs: number;
  readonly electionMaxMs: number;
  readonly heartbeatMs: number;
  readonly maxBatchEntries: number;
  readonly maxBatchChars: number;
  readonly maxInFlight: number;
}

/** What a leader knows about another member. */
export interface Progress {
  readonly matchIndex: number;
  readonly nextIndex: number;
  /** Messages with entries that were sent and not answered. */
  readonly inFlight: number;
  /** `probe` sends one message at a time until a position matches. */
  readonly mode: 'probe' | 'stream' | 'snapshot';
  readonly lastContactAtMs: number;
  /** Latest heartbeat round that the member acknowledged. */
  readonly ackedRound: number;
}

/** The members from an entry on; the latest apply, committed or not. */
export interface MembersAt {
  readonly index: number;
  readonly members: readonly ReplicaMember[];
}

/**
 * A pending read. It has no `index` until the leader has committed an entry of
 * its term.
 */
export interface PendingRead {
  readonly id: number;
  readonly index?: number;
  readonly round: number;
}

export interface ReplicaState {
  readonly settings: CoreSettings;
  /** Time and random value of the current event. */
  readonly nowMs: number;
  readonly random: number;
  readonly term: number;
  readonly vote?: MemberId;
  readonly role: Exclude<ReplicaRole, 'learner' | 'stopped'>;
  readonly leader?: MemberId;
  readonly leaderContactAtMs: number;
  readonly log: LogState;
  /** The last index that is synced on this member. */
  readonly durableIndex: number;
  readonly commitIndex: number;
  /** False while the storage refuses writes or one takes too long. */
  readonly isWritable: boolean;
  /** Never empty; the last element is current. */
  readonly configs: readonly MembersAt[];
  readonly electionDeadlineMs: number;
  readonly heartbeatDeadlineMs: number;
  readonly votes: ReadonlyMap<MemberId, boolean>;
  readonly progress: ReadonlyMap<MemberId, Progress>;
  readonly round: number;
  readonly reads: readonly PendingRead[];
  readonly transfer?: {readonly to: MemberId; readonly deadlineMs: number};
}

/** A membership change, as callers request it. */
export type MembershipChange =
  | {readonly kind: 'add_learner'; readonly member: ReplicaMember}
  | {
      readonly kind: 'set_weight';
      readonly memberId: MemberId;
      readonly weight: number;
    }
  | {readonly kind: 'remove'; readonly memberId: MemberId};

export type ReplicaEvent =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'request';
      readonly from: MemberId;
      readonly callId: number;
      readonly request: PeerRequest;
    }
  | {
      readonly kind: 'reply';
      readonly from: MemberId;
      readonly reply: PeerReply;
    }
  /** A request to `peer` got no reply. */
  | {readonly kind: 'unreachable'; readonly peer: MemberId}
  | {
      readonly kind: 'propose';
      readonly proposals: readonly {
        readonly id: number;
        readonly command: JsonValue;
      }[];
    }
  | {
      readonly kind: 'change';
      readonly id: number;
      readonly change: MembershipChange;
      /** A promoted learner must have the log up to this index. */
      readonly caughtUpIndex: number;
    }
  | {readonly kind: 'read'; readonly ids: readonly number[]}
  /** The vote of this member in `term` is synced. */
  | {readonly kind: 'vote_saved'; readonly term: number}
  /** Entries up to `index`, whose entry has `term`, are synced. */
  | {readonly kind: 'persisted'; readonly index: number; readonly term: number}
  /** The storage refuses or delays writes, or takes them again. */
  | {readonly kind: 'storage'; readonly isWritable: boolean}
  /** State up to `index` was saved; entries up to `keepFrom` may be dropped. */
  | {
      readonly kind: 'compacted';
      readonly index: number;
      readonly keepFrom: number;
    }
  /** The transfer of a snapshot ended; without `index` it failed. */
  | {
      readonly kind: 'snapshot_sent';
      readonly peer: MemberId;
      readonly index?: number;
    }
  | {readonly kind: 'transfer'};

export type Effect =
  /** Term and vote must be synced before any later durable message. */
  | {
      readonly kind: 'save_hard_state';
      readonly term: number;
      readonly vote?: MemberId;
    }
  | {
      readonly kind: 'save_entries';
      readonly prevIndex: number;
      readonly prevTerm: number;
      readonly entries: readonly LogEntry[];
    }
  | {readonly kind: 'install_snapshot'; readonly snapshot: SnapshotRequest}
  /** `durable` messages are sent after all earlier saves were synced. */
  | {
      readonly kind: 'send';
      readonly to: MemberId;
      readonly request: PeerRequest;
      readonly durable: boolean;
    }
  | {
      readonly kind: 'reply';
      readonly callId: number;
      readonly reply: PeerReply;
      readonly durable: boolean;
    }
  | {readonly kind: 'send_snapshot'; readonly to: MemberId}
  | {readonly kind: 'commit'; readonly index: number}
  | {
      readonly kind: 'accepted';
      readonly ids: readonly number[];
      readonly firstIndex: number;
      readonly term: number;
    }
  | {
      readonly kind: 'refused';
      readonly ids: readonly number[];
      readonly code: ErrorCode;
      readonly message: string;
    }
  | {
      readonly kind: 'read_ready';
      readonly id: number;
      readonly index: number;
    };

export interface Outcome {
  readonly state: ReplicaState;
  readonly effects: readonly Effect[];
}

export type Transition = (state: ReplicaState) => Outcome;

export function outcome(state: ReplicaState, ...effects: Effect[]): Outcome {
  return {state, effects};
}

/** Applies transitions in order and concatenates their effects. */
export function chain(
  state: ReplicaState,
  ...transitions: readonly Transition[]
): Outcome {
  return transitions.reduce<Outcome>((before, transition) => {
    const after = transition(before.state);
    return {
      state: after.state,
      effects: before.effects.concat(after.effects),
    };
  }, outcome(state));
}

/** The latest members, committed or not. */
export function currentMembers(state: ReplicaState): readonly ReplicaMember[] {
  return state.configs.at(-1)?.members ?? [];
}

/** The votes of this member; 0 for a learner or a non-member. */
export function ownWeight(state: ReplicaState): number {
  return weightOf(currentMembers(state), state.settings.memberId);
}

export function peersOf(state: ReplicaState): readonly ReplicaMember[] {
  return currentMembers(state).filter(
    member => member.memberId !== state.settings.memberId,
  );
}

export function lastLogIndex(state: ReplicaState): number {
  return lastIndex(state.log);
}

/** Shorter, because a candidate waits for vote replies, not for heartbeats. */
const CANDIDATE_TIMEOUT_FACTOR = 0.5;

/**
 * A member that restarts with a log requests votes sooner. If there is a
 * leader, the other members do not grant them; if all members restart together,
 * as after a power failure, no request is served until one of them is elected.
 */
const RESTART_TIMEOUT_FACTOR = 0.4;

/** Restarts the election timeout with a random duration. */
export function withElectionTimeout(state: ReplicaState): ReplicaState {
  const factor = state.role === 'follower' ? 1 : CANDIDATE_TIMEOUT_FACTOR;
  return withScaledTimeout(state, factor);
}

/** Starts the first election timeout of a member that has a log. */
export function withRestartElectionTimeout(state: ReplicaState): ReplicaState {
  return withScaledTimeout(state, RESTART_TIMEOUT_FACTOR);
}

function withScaledTimeout(state: ReplicaState, factor: number): ReplicaState {
  const {electionMinMs, electionMaxMs} = state.settings;
  const timeoutMs =
    electionMinMs + state.random * (electionMaxMs - electionMinMs);
  return {...state, electionDeadlineMs: state.nowMs + factor * timeoutMs};
}
