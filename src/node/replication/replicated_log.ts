/**
 * The interface of a replicated log. The configuration log and the record logs
 * of the domains use the same implementation.
 */
import type {ResultAsync} from 'neverthrow';
import type {GatewayError} from '../types/errors.js';
import type {LogIndex, MemberId, Term} from '../types/ids.js';

/** Any value that a JSON round trip leaves unchanged. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | {readonly [key: string]: JsonValue};

/** The role of a member in its current term. */
export type ReplicaRole =
  'leader' | 'follower' | 'pre_candidate' | 'candidate' | 'learner' | 'stopped';

/** One member of a replicated log. */
export interface ReplicaMember {
  readonly memberId: MemberId;
  /** Internal address, `host:port`. */
  readonly address: string;
  /** Votes of this member; 0 marks a learner. */
  readonly weight: number;
}

/** State of a member and its view of the group. */
export interface ReplicaStatus {
  readonly memberId: MemberId;
  readonly role: ReplicaRole;
  readonly term: Term;
  readonly leader?: MemberId;
  readonly commitIndex: LogIndex;
  readonly appliedIndex: LogIndex;
  readonly members: readonly ReplicaMember[];
  /**
   * Whether an entry of this term is committed: then a leader knows all entries
   * that earlier leaders have committed.
   */
  readonly hasCommittedInTerm?: boolean;
  /** False while the storage refuses or delays writes. */
  readonly isWritable?: boolean;
}

/**
 * The replicated state to which committed commands are applied.
 * Implementations must be deterministic: any time or random value is part of
 * the command.
 */
export abstract class StateMachine<Command, Result> {
  /**
   * Applies one committed command; called once per index, in order. `term` is that of
   * the leader that appended it.
   */
  abstract apply(command: Command, index: LogIndex, term: Term): Result;
  /** The complete state as JSON. */
  abstract snapshot(): JsonValue;
  /** Replaces the complete state with one that `snapshot` returned. */
  abstract restore(snapshot: JsonValue): void;
}

/** A log that the members of one group replicate by consensus. */
export abstract class ReplicatedLog<Command, Result> {
  /**
   * Appends a command. Resolves with the state machine's result once the
   * command is committed and applied on this member. Errors: `not_leader`
   * (with the leader, if known; the command was not appended), `no_quorum`
   * (rejected before it was appended), `timeout` (outcome unknown).
   */
  abstract propose(command: Command): ResultAsync<Result, GatewayError>;

  /** Resolves when this member may answer a linearizable read. */
  abstract readBarrier(): ResultAsync<void, GatewayError>;

  /** Adds a learner, gives a member another weight, or removes one. */
  abstract changeMembership(
    change:
      | {readonly kind: 'add_learner'; readonly member: ReplicaMember}
      | {
          readonly kind: 'set_weight';
          readonly memberId: MemberId;
          readonly weight: number;
        }
      | {readonly kind: 'remove'; readonly memberId: MemberId},
  ): ResultAsync<void, GatewayError>;

  abstract status(): ReplicaStatus;

  /** Stops timers and closes files; a leader transfers leadership first. */
  abstract stop(): Promise<void>;
}
