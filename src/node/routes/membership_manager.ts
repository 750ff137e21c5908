/**
 * Maintains the voters of the control group: the leader removes an unresponsive
 * member once a replacement has joined, and a member that was removed while it
 * was unreachable asks to rejoin.
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
const ABSENT_CHECKS_TO_REJOIN = 6;

export interface MembershipManagerOptions {
  readonly log: ReplicatedLog<never, unknown>;
  readonly client: RpcClient;
  readonly router: RpcRouter;
  readonly logger: Logger;
  readonly self: ReplicaMember;
  readonly instanceId: InstanceId;
  readonly methodPrefix: string;
  readonly founderAddresses: readonly string[];
}

/** Pings the members of one group and adjusts its membership. */
export class MembershipManager {
  private readonly lastResponseAtMs = new Map<MemberId, number>();
  private timer: ReturnType<typeof setInterval> | undefined;
  private largestLiveCount: number;
  private isRemoving = false;
  private absentChecks = 0;
  private stopJoining: (() => void) | undefined;

  constructor(private readonly options: MembershipManagerOptions) {
    this.largestLiveCount = options.founderAddresses.length;
    options.router.register(
      `${options.methodPrefix}.ping`,
      z.object({}),
      () => ({}),
    );
  }

  start(): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.stopJoining?.();
  }

  private check(): void {
    const {members, role} = this.options.log.status();
    const nowMs = monotonicNowMs();
    members.forEach(member => this.pingMember(member, nowMs));
    const live = members.filter(member => !this.isUnresponsive(member, nowMs));
    this.largestLiveCount = Math.max(this.largestLiveCount, live.length);
    if (role === 'leader') this.removeReplaced(members, live.length, nowMs);
    this.rejoinIfRemoved(members);
  }

  private pingMember(member: ReplicaMember, nowMs: number): void {
    const {client, methodPrefix, self} = this.options;
    if (!this.lastResponseAtMs.has(member.memberId)) {
      this.lastResponseAtMs.set(member.memberId, nowMs);
    }
    if (member.memberId === self.memberId) {
      this.lastResponseAtMs.set(member.memberId, nowMs);
      return;
    }
    void client
      .call(member.address, `${methodPrefix}.ping`, {}, PING_TIMEOUT_MS)
      .map(() => this.lastResponseAtMs.set(member.memberId, monotonicNowMs()));
  }

  private isUnresponsive(member: ReplicaMember, nowMs: number): boolean {
    const lastResponseAtMs =
      this.lastResponseAtMs.get(member.memberId) ?? nowMs;
    return nowMs - lastResponseAtMs > UNRESPONSIVE_AFTER_MS;
  }

  private removeReplaced(
    members: readonly ReplicaMember[],
    liveCount: number,
    nowMs: number,
  ): void {
    const unresponsive = members.find(member =>
      this.isUnresponsive(member, nowMs),
    );
    const isReplaced = liveCount >= this.largestLiveCount;
    if (unresponsive === undefined || !isReplaced || this.isRemoving) return;
    const {log, logger} = this.options;
    const {memberId} = unresponsive;
    logger.info(
      {event: 'member_removed', peer: memberId, liveCount},
      'removing an unresponsive member that has been replaced',
    );
    this.isRemoving = true;
    void log.changeMembership({kind: 'remove', memberId}).match(
      () => {
        this.isRemoving = false;
      },
      error => {
        this.isRemoving = false;
        logger.warn(
          {event: 'member_removal_failed', peer: memberId, err: error},
          'failed to remove an unresponsive member',
        );
      },
    );
  }

  private rejoinIfRemoved(members: readonly ReplicaMember[]): void {
    const {log, client, self, methodPrefix, logger, instanceId} = this.options;
    const isMember = members.some(
      member => instanceOf(member.memberId) === instanceId,
    );
    this.absentChecks = isMember ? 0 : this.absentChecks + 1;
    if (this.absentChecks < ABSENT_CHECKS_TO_REJOIN) return;
    this.absentChecks = 0;
    logger.info(
      {event: 'rejoining'},
      'this member is not in the group; rejoining',
    );
    this.stopJoining?.();
    this.stopJoining = startJoining({
      log,
      client,
      methodPrefix,
      member: self,
      contacts: [
        ...members.map(member => member.address),
        ...this.options.founderAddresses,
      ].filter(address => address !== self.address),
    });
  }
}
