/** A group of control members whose log commits immediately, for tests. */
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import type {ControlCommand, ControlResult} from '../commands.js';
import {ConfigurationMachine} from '../configuration_machine.js';
import {
  ReplicatedLog,
  type ReplicaMember,
  type ReplicaStatus,
} from '../../replication/replicated_log.js';
import {GatewayError, type ErrorCode} from '../../types/errors.js';
import {
  asId,
  asNumber,
  type LogIndex,
  type MemberId,
  type Term,
} from '../../types/ids.js';

function errorOf(code: ErrorCode): GatewayError {
  return new GatewayError({code, message: code, step: 'log', peer: 'self'});
}

/** State shared by the members of the group. */
export class FakeGroup {
  readonly entries: string[] = [];
  readonly logs: FakeLog[] = [];
  members: ReplicaMember[] = [];
  leader: MemberId | undefined;
  /** Whether the next command is committed but reported as timed out. */
  losesNextAnswer = false;

  add(instanceId: string, address: string): FakeLog {
    const memberId = asId<MemberId>(`${instanceId}#1`);
    const log = new FakeLog(this, memberId);
    this.logs.push(log);
    this.members.push({memberId, address, weight: 1});
    this.leader ??= memberId;
    return log;
  }
}

export class FakeLog extends ReplicatedLog<ControlCommand, ControlResult> {
  readonly machine = new ConfigurationMachine();
  /** Whether this member is cut off from the leader. */
  isCutOff = false;
  private applied = 0;

  constructor(
    private readonly group: FakeGroup,
    private readonly memberId: MemberId,
  ) {
    super();
  }

  override propose(
    command: ControlCommand,
  ): ResultAsync<ControlResult, GatewayError> {
    if (this.group.leader !== this.memberId) {
      return errAsync(errorOf('not_leader'));
    }
    if (this.isCutOff) return errAsync(errorOf('no_quorum'));
    this.group.entries.push(JSON.stringify(command));
    const results = this.group.logs.map(log => log.catchUp());
    const result = results[this.group.logs.indexOf(this)];
    if (this.group.losesNextAnswer || result === undefined) {
      this.group.losesNextAnswer = false;
      return errAsync(errorOf('timeout'));
    }
    return okAsync(result);
  }

  override readBarrier(): ResultAsync<void, GatewayError> {
    const isReadable = this.group.leader === this.memberId && !this.isCutOff;
    return isReadable ? okAsync(undefined) : errAsync(errorOf('not_leader'));
  }

  override changeMembership(
    change: Parameters<
      ReplicatedLog<ControlCommand, ControlResult>['changeMembership']
    >[0],
  ): ResultAsync<void, GatewayError> {
    const {group} = this;
    if (change.kind === 'add_learner') group.members.push(change.member);
    if (change.kind === 'remove') {
      group.members = group.members.filter(
        ({memberId}) => memberId !== change.memberId,
      );
    }
    if (change.kind === 'set_weight') {
      group.members = group.members.map(member =>
        member.memberId === change.memberId
          ? {...member, weight: change.weight}
          : member,
      );
    }
    return okAsync(undefined);
  }

  override status(): ReplicaStatus {
    const {leader, members} = this.group;
    const applied = asNumber<LogIndex>(this.applied);
    return {
      memberId: this.memberId,
      role: leader === this.memberId ? 'leader' : 'follower',
      term: asNumber<Term>(1),
      ...(leader === undefined || this.isCutOff ? {} : {leader}),
      commitIndex: applied,
      appliedIndex: applied,
      members,
    };
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }

  /** Applies all committed commands; returns the result of the last one. */
  catchUp(): ControlResult | undefined {
    if (this.isCutOff) return undefined;
    const unapplied = this.group.entries.slice(this.applied);
    const results = unapplied.map(entry => {
      this.applied += 1;
      const command = JSON.parse(entry) as ControlCommand;
      return this.machine.apply(command, asNumber<LogIndex>(this.applied));
    });
    return results.at(-1);
  }
}
