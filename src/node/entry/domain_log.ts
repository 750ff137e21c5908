/**
 * The replicated log of one failure domain. It carries two kinds of commands:
 * those for the records of non-idempotent calls and those for the leases under
 * which orders are sent to upstreams.
 */
import type {ResultAsync} from 'neverthrow';
import {
  applyLease,
  type Lease,
  type LeaseCommand,
  type LeaseResult,
  type LeaseState,
} from '../orders/lease.js';
import type {RecordCommand, RecordResult} from '../records/record.js';
import {RecordStateMachine} from '../records/record_state_machine.js';
import {
  ReplicatedLog,
  StateMachine,
  type JsonValue,
  type ReplicaStatus,
} from '../replication/replicated_log.js';
import type {GatewayError} from '../types/errors.js';
import {asNumber, type LogIndex} from '../types/ids.js';

/**
 * Fencing tokens reserved for each millisecond between two generations; a
 * domain appends fewer log entries than that.
 */
const TOKENS_PER_MS = 1_000;

/** A command in the domain's log. */
export type DomainCommand =
  | {readonly area: 'records'; readonly command: RecordCommand}
  | {readonly area: 'orders'; readonly command: LeaseCommand};

/** The result of applying a `DomainCommand`. */
export type DomainResult = RecordResult | LeaseResult;

/** The replicated log that `createGroupMember` returns. */
export type DomainLog = ReplicatedLog<DomainCommand, DomainResult>;

/** The replicated state of a domain: its records and its leases. */
export class DomainStateMachine extends StateMachine<
  DomainCommand,
  DomainResult
> {
  readonly records = new RecordStateMachine();
  private leases: LeaseState = {};
  /** Added to log indexes so that tokens also grow across generations. */
  private tokenBase = 0;

  override apply(entry: DomainCommand, index: LogIndex): DomainResult {
    if (entry.area === 'records') {
      this.rebaseTokens(entry.command);
      return this.records.apply(entry.command);
    }
    const token = asNumber<LogIndex>(this.tokenBase + index);
    const step = applyLease(this.leases, entry.command, token);
    this.leases = step.state;
    return step.result;
  }

  override snapshot(): JsonValue {
    const leases = this.leases as unknown as JsonValue;
    const {tokenBase} = this;
    return {records: this.records.snapshot(), leases, tokenBase};
  }

  override restore(snapshot: JsonValue): void {
    const {records, leases, tokenBase} = snapshot as unknown as {
      records: JsonValue;
      leases: LeaseState;
      tokenBase: number;
    };
    this.records.restore(records);
    this.leases = leases;
    this.tokenBase = tokenBase;
  }

  // After a domain has lost its group, the log of the new generation starts at
  // index 1. A base taken from the start time exceeds all earlier tokens.
  private rebaseTokens(command: RecordCommand): void {
    if (command.kind !== 'start_generation' || this.tokenBase > 0) return;
    this.tokenBase = command.nowMs * TOKENS_PER_MS;
  }

  /** The lease with this name, if one is held. */
  lease(name: string): Lease | undefined {
    return this.leases[name];
  }
}

/** Adapts the domain's log to the record commands of the records service. */
export class RecordLog extends ReplicatedLog<RecordCommand, RecordResult> {
  constructor(private readonly log: DomainLog) {
    super();
  }

  override propose(
    command: RecordCommand,
  ): ResultAsync<RecordResult, GatewayError> {
    return this.log
      .propose({area: 'records', command})
      .map(result => result as RecordResult);
  }

  override readBarrier(): ResultAsync<void, GatewayError> {
    return this.log.readBarrier();
  }

  override changeMembership(
    change: Parameters<DomainLog['changeMembership']>[0],
  ): ResultAsync<void, GatewayError> {
    return this.log.changeMembership(change);
  }

  override status(): ReplicaStatus {
    return this.log.status();
  }

  override stop(): Promise<void> {
    return this.log.stop();
  }
}
