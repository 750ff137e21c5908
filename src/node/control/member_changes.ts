/** Adds and removes control members; runs on the leader. */
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import type {ReplicatedLog} from '../replication/replicated_log.js';
import type {RpcClient} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import type {MemberId} from '../types/ids.js';
import type {
  ChangeAction,
  ControlCommand,
  ControlResult,
  NoteCommand,
  Requester,
} from './commands.js';
import type {ConfigurationMachine} from './configuration_machine.js';
import {
  PEER_TIMEOUT_MS,
  PROMOTION_RETRY_MS,
  PROMOTION_TIMEOUT_MS,
} from './constants.js';
import {withUnknownOutcome} from './leader_calls.js';
import type {
  ControlStatus,
  MemberAddParams,
  MemberRemoveParams,
  MemberResult,
} from './methods.js';

type ControlLog = ReplicatedLog<ControlCommand, ControlResult>;

/** Changes the members of the configuration log and audits each change. */
export class MemberChanges {
  constructor(
    private readonly log: ControlLog,
    private readonly rpc: RpcClient,
    private readonly machine: ConfigurationMachine,
  ) {}

  /** Adds a learner and makes it a voter once it has caught up. */
  add(params: MemberAddParams, requester: Requester): Promise<MemberResult> {
    const {address, weight} = params;
    return this.withAudit('member.add', address, requester, async () => {
      const memberId = await this.fetchMemberId(address);
      const existing = this.log
        .status()
        .members.find(member => member.memberId === memberId);
      if (existing === undefined) {
        const member = {memberId, address, weight: 0};
        await this.applyChange({kind: 'add_learner', member});
      }
      const isVoter =
        existing?.weight === weight || (await this.promote(memberId, weight));
      return {memberId, state: isVoter ? 'voter' : 'learner'};
    });
  }

  /** Removes a member; succeeds if it was already removed. */
  remove(
    params: MemberRemoveParams,
    requester: Requester,
  ): Promise<MemberResult> {
    const {memberId} = params;
    return this.withAudit('member.remove', memberId, requester, async () => {
      const isMember = this.log
        .status()
        .members.some(member => member.memberId === memberId);
      if (isMember) await this.applyChange({kind: 'remove', memberId});
      return {memberId, state: 'removed'};
    });
  }

  private async fetchMemberId(address: string): Promise<MemberId> {
    const status = await this.rpc.call<ControlStatus>(
      address,
      'control.status',
      {},
      PEER_TIMEOUT_MS,
    );
    if (status.isOk()) return status.value.memberId;
    throw new GatewayError({
      code: 'not_ready',
      message: `no control member answers at ${address}: ${status.error.message}`,
      step: 'member.add',
      peer: address,
      cause: status.error,
    });
  }

  // The log rejects the voting weight until the learner has caught up.
  private async promote(memberId: MemberId, weight: number): Promise<boolean> {
    const deadlineMs = monotonicNowMs() + PROMOTION_TIMEOUT_MS;
    const attempt = async (): Promise<boolean> => {
      const change = {kind: 'set_weight', memberId, weight} as const;
      const result = await this.log.changeMembership(change);
      if (result.isOk()) return true;
      if (result.error.code === 'not_leader') throw result.error;
      if (monotonicNowMs() >= deadlineMs) return false;
      await new Promise(resolve => setTimeout(resolve, PROMOTION_RETRY_MS));
      return attempt();
    };
    return attempt();
  }

  private async applyChange(
    change: Parameters<ControlLog['changeMembership']>[0],
  ): Promise<void> {
    const result = await this.log.changeMembership(change);
    if (result.isErr()) throw result.error;
  }

  private async withAudit(
    action: ChangeAction,
    subject: string,
    requester: Requester,
    operation: () => Promise<MemberResult>,
  ): Promise<MemberResult> {
    if (!this.machine.isAuthorized(requester)) {
      const message = `unknown operator or wrong key: ${requester.operator}`;
      await this.recordNote(
        action,
        requester,
        'refused',
        `${subject}: ${message}`,
      );
      throw new GatewayError({
        code: 'unauthorized',
        message,
        step: action,
        peer: subject,
      });
    }
    try {
      const result = await operation();
      await this.recordNote(
        action,
        requester,
        'done',
        `${subject}: ${result.memberId} is ${result.state}`,
      );
      return result;
    } catch (thrown) {
      if (!(thrown instanceof GatewayError)) throw thrown;
      // `LeaderCalls` forwards the change, and the leader records it.
      if (thrown.code === 'not_leader') throw thrown;
      const isUnknown = thrown.code === 'timeout';
      const outcome = isUnknown ? 'unknown' : 'refused';
      await this.recordNote(
        action,
        requester,
        outcome,
        `${subject}: ${thrown.message}`,
      );
      throw withUnknownOutcome(thrown, action, subject);
    }
  }

  // The result is ignored: the change stays valid if its audit entry cannot be
  // appended, for example because the leader removed itself. The entry is then
  // missing from the audit trail.
  private async recordNote(
    action: ChangeAction,
    requester: Requester,
    outcome: NoteCommand['outcome'],
    detail: string,
  ): Promise<void> {
    await this.log.propose({
      kind: 'note',
      ...requester,
      action,
      outcome,
      detail,
      atMs: wallNowMs(),
    });
  }
}
