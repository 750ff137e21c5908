/**
 * Maintains the voters of the control group. The leader removes a member that
 * is unresponsive or stops as planned if the others bear the tolerated losses
 * without it; a member that was removed asks to rejoin.
 */
import {z} from 'zod';
import {monotonicNowMs} from '../clock/clock.js';
import type {Logger} from '../logging/logger.js';
import {startJoining} from '../replication/joining.js';
import {instanceOf} from '../replication/peer_transport.js';
import type {
  ReplicaMember,
  ReplicatedLog,
} from '../replication/replicated_log.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import type {InstanceId, MemberId} from '../types/ids.js';

const CHECK_INTERVAL_MS = 500;
const PING_TIMEOUT_MS = 1_000;
/** Longer than an election, but less than a replacement may need to catch up. */
const UNRESPONSIVE_AFTER_MS = 2_500;
/** A process that could not check for this long knows nothing of the others. */
const MAX_CHECK_GAP_MS = 1_500;
/** Longer than an election takes. */
const ABSENT_CHECKS_TO_REJOIN = 3;
const LEAVE_TIMEOUT_MS = 1_000;
const LEAVE_ATTEMPTS = 4;
const LEAVE_RETRY_MS = 250;

/** Members of earlier versions reply without their identity. */
const pingReplySchema = z.object({memberId: z.string().optional()});

export interface MembershipManagerOptions {
  readonly log: ReplicatedLog<never, unknown>;
  readonly client: RpcClient;
  readonly router: RpcRouter;
  readonly logger: Logger;
  readonly self: ReplicaMember;
  readonly methodPrefix: string;
  /** Members that may be lost at the same time while the group goes on. */
  readonly toleratedLosses: number;
  /** Addresses of instances that may know the group. */
  readonly seedAddresses: () => readonly string[];
}

/** Pings the members of one group and adjusts its membership. */
export class MembershipManager {
  private readonly lastResponseAtMs = new Map<MemberId, number>();
  private timer: ReturnType<typeof setInterval> | undefined;
  private lastCheckAtMs = 0;
  private isRemoving = false;
  private absentChecks = 0;
  private stopJoining: (() => void) | undefined;

  constructor(private readonly options: MembershipManagerOptions) {
    const {router, methodPrefix, self} = options;
    const {memberId} = self;
    router.register(`${methodPrefix}.ping`, z.object({}), () => ({memberId}));
    router.register(`${methodPrefix}.leave`, z.object({}), (_, {sender}) =>
      this.releaseInstance(sender),
    );
  }

  start(): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.endJoining();
  }

  /**
   * Before a planned stop: asks the leader to remove this member, unless the
   * group needs its vote to bear the tolerated losses. Without this, the vote
   * of a replaced member would count until its silence is noticed.
   */
  async leave(): Promise<void> {
    this.stop();
    const {log, client, self, methodPrefix, logger} = this.options;
    if (!this.isSurplus(self.memberId, log.status().members)) return;
    for (let attempt = 0; attempt < LEAVE_ATTEMPTS; attempt++) {
      const leader = leaderOf(log);
      if (leader !== undefined && leader.memberId !== self.memberId) {
        const method = `${methodPrefix}.leave`;
        const {address} = leader;
        const left = await client.call(address, method, {}, LEAVE_TIMEOUT_MS);
        if (left.isOk()) return;
      }
      await new Promise(resolve => setTimeout(resolve, LEAVE_RETRY_MS));
    }
    logger.warn(
      {event: 'leave_failed'},
      'stopping as a member; the leader removes it once its silence is noticed',
    );
  }

  private check(): void {
    const {members, role} = this.options.log.status();
    const nowMs = monotonicNowMs();
    if (nowMs - this.lastCheckAtMs > MAX_CHECK_GAP_MS) {
      this.lastResponseAtMs.clear();
    }
    this.lastCheckAtMs = nowMs;
    this.forgetFormerMembers(members);
    members.forEach(member => this.pingMember(member, nowMs));
    if (role === 'leader') this.removeUnresponsive(members, nowMs);
    this.rejoinIfAbsent(members);
  }

  private forgetFormerMembers(members: readonly ReplicaMember[]): void {
    const current = new Set(members.map(({memberId}) => memberId));
    [...this.lastResponseAtMs.keys()]
      .filter(memberId => !current.has(memberId))
      .forEach(memberId => this.lastResponseAtMs.delete(memberId));
  }

  private pingMember(member: ReplicaMember, nowMs: number): void {
    const {client, methodPrefix, self} = this.options;
    const {memberId, address} = member;
    if (!this.lastResponseAtMs.has(memberId) || memberId === self.memberId) {
      this.lastResponseAtMs.set(memberId, nowMs);
    }
    if (memberId === self.memberId) return;
    void client
      .call<unknown>(address, `${methodPrefix}.ping`, {}, PING_TIMEOUT_MS)
      .map(reply => this.noteReply(memberId, reply));
  }

  // An instance that lost its disk answers at the address of its old identity.
  private noteReply(memberId: MemberId, reply: unknown): void {
    const parsed = pingReplySchema.safeParse(reply);
    const repliedId = parsed.data?.memberId ?? memberId;
    if (repliedId !== memberId) return;
    this.lastResponseAtMs.set(memberId, monotonicNowMs());
  }

  private isUnresponsive({memberId}: ReplicaMember, nowMs: number): boolean {
    const lastResponseAtMs = this.lastResponseAtMs.get(memberId) ?? nowMs;
    return nowMs - lastResponseAtMs > UNRESPONSIVE_AFTER_MS;
  }

  /** Whether the group bears the tolerated losses without this member. */
  private isSurplus(
    memberId: MemberId,
    members: readonly ReplicaMember[],
  ): boolean {
    const nowMs = monotonicNowMs();
    const others = members
      .filter(member => member.memberId !== memberId && member.weight > 0)
      .filter(member => !this.isUnresponsive(member, nowMs));
    return others.length >= 2 * this.options.toleratedLosses + 1;
  }

  private removeUnresponsive(
    members: readonly ReplicaMember[],
    nowMs: number,
  ): void {
    const removable = members
      .filter(member => this.isUnresponsive(member, nowMs))
      .find(({memberId}) => this.isSurplus(memberId, members));
    if (removable === undefined || this.isRemoving) return;
    void this.remove(removable.memberId, 'unresponsive');
  }

  /** Removes a member that stops as planned if the group bears it. */
  private async releaseInstance(instance: InstanceId): Promise<null> {
    const {members} = this.options.log.status();
    const leaving = members.find(
      ({memberId}) => instanceOf(memberId) === instance,
    );
    if (leaving !== undefined && this.isSurplus(leaving.memberId, members)) {
      await this.remove(leaving.memberId, 'stopping');
    }
    return null;
  }

  private async remove(
    memberId: MemberId,
    reason: 'unresponsive' | 'stopping',
  ): Promise<void> {
    const {log, logger} = this.options;
    logger.info(
      {event: 'member_removed', peer: memberId, reason},
      'removing a member that the group does not need',
    );
    this.isRemoving = true;
    const removed = await log.changeMembership({kind: 'remove', memberId});
    this.isRemoving = false;
    if (removed.isOk()) return;
    logger.warn(
      {event: 'member_removal_failed', peer: memberId, err: removed.error},
      'failed to remove a member',
    );
  }

  // A member that was removed while it was cut off still finds itself in its own
  // log, but no leader sends it anything.
  private rejoinIfAbsent(members: readonly ReplicaMember[]): void {
    const {log, client, self, methodPrefix, logger} = this.options;
    const isListed = members.some(each => each.memberId === self.memberId);
    const isMember = isListed && log.status().leader !== undefined;
    this.absentChecks = isMember ? 0 : this.absentChecks + 1;
    if (isMember) this.endJoining();
    const isJoining = this.stopJoining !== undefined;
    if (isJoining || this.absentChecks < ABSENT_CHECKS_TO_REJOIN) return;
    logger.info(
      {event: 'rejoining'},
      'this member has no leader or is not in the group; rejoining',
    );
    this.stopJoining = startJoining({
      log,
      client,
      methodPrefix,
      member: self,
      contacts: () => this.contacts(),
    });
  }

  private endJoining(): void {
    this.stopJoining?.();
    this.stopJoining = undefined;
  }

  private contacts(): readonly string[] {
    const {log, self, seedAddresses} = this.options;
    const known = log.status().members.map(member => member.address);
    return [...known, ...seedAddresses()].filter(
      address => address !== self.address,
    );
  }
}

function leaderOf(
  log: MembershipManagerOptions['log'],
): ReplicaMember | undefined {
  const {members, leader} = log.status();
  return members.find(({memberId}) => memberId === leader);
}
