/** Commands, results and stored entries of the configuration log. */
import type {Answers} from '../config/answers.js';
import type {Configuration} from '../config/configuration.js';
import type {ConfigVersion, OperationId} from '../types/ids.js';
import type {Packed} from './packing.js';

/** Who requests a change, with the digest of the key that was presented. */
export interface Requester {
  readonly operator: string;
  readonly keyDigest: string;
  readonly operationId: OperationId;
  /**
   * The operator who may accept version 1, from the leader's settings. It is
   * part of the command so that all members decide the same way.
   */
  readonly initialOperator?: {
    readonly name: string;
    readonly keyDigest: string;
  };
}

/** Makes `configuration` the next version if `baseVersion` is still current. */
export interface AcceptCommand extends Requester {
  readonly kind: 'accept';
  readonly baseVersion: ConfigVersion;
  /** `Answers`, packed. */
  readonly answers: Packed;
  /** Digest of the answers, which identifies a retry of the same change. */
  readonly answersDigest: string;
  /** `Configuration`, packed. */
  readonly configuration: Packed;
  /** What it changes, for the audit trail; missing if the leader lacks the base. */
  readonly changes?: string;
  readonly atMs: number;
}

/**
 * Adds an audit entry for a change that is not an `accept` command: refused
 * answers, or a change of the members.
 */
export interface NoteCommand extends Requester {
  readonly kind: 'note';
  readonly action: ChangeAction;
  readonly baseVersion?: ConfigVersion;
  readonly outcome: 'done' | 'refused' | 'unknown';
  readonly detail: string;
  readonly atMs: number;
}

export type ChangeAction = 'accept' | 'member.add' | 'member.remove';

export type ControlCommand = AcceptCommand | NoteCommand;

/** An accepted version without its content. */
export interface HistoryEntry {
  readonly version: ConfigVersion;
  readonly baseVersion: ConfigVersion;
  readonly operationId: OperationId;
  readonly operator: string;
  readonly atMs: number;
}

/** The result of a command; a conflict names the change that won. */
export type ControlResult =
  | {
      readonly status: 'accepted';
      readonly version: ConfigVersion;
      readonly atMs: number;
    }
  | {
      readonly status: 'conflict';
      readonly currentVersion: ConfigVersion;
      /** Absent if the base version is no longer in the history. */
      readonly winner?: HistoryEntry;
    }
  | {
      readonly status: 'refused';
      readonly code: 'unauthorized' | 'bad_request';
      readonly message: string;
    }
  | {readonly status: 'noted'};

/** One accepted or refused change. */
export interface AuditEntry {
  /** Position in the audit trail; the first entry has 1. */
  readonly sequence: number;
  readonly atMs: number;
  readonly operator: string;
  readonly operationId: OperationId;
  readonly action: ChangeAction;
  readonly baseVersion?: ConfigVersion;
  /** The new version, for accepted changes. */
  readonly version?: ConfigVersion;
  readonly result: 'accepted' | 'conflict' | 'refused' | 'done' | 'unknown';
  readonly detail: string;
}

/** The configuration in force with the answers it was generated from. */
export interface AcceptedVersion {
  readonly version: ConfigVersion;
  readonly answers: Answers;
  readonly configuration: Configuration;
}
