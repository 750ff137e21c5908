/** Drives the quotas of a control member from the group's log and state. */
import {monotonicNowMs} from '../clock/clock.js';
import type {Announcement} from '../fleet/messages.js';
import {instantNow} from '../quotas/instant.js';
import {
  LeadershipCheck,
  type LeadershipLog,
} from '../quotas/leadership_check.js';
import type {QuotaTolerance} from '../quotas/limits.js';
import type {QuotaReply} from '../quotas/messages.js';
import {QuotaLeader} from '../quotas/quota_leader.js';
import {registerQuotaStatus} from '../quotas/status_method.js';
import type {RpcRouter} from '../rpc/rpc.js';
import type {ControlState, WorkspaceSpec} from './route_table.js';

const NO_WORKSPACES: readonly WorkspaceSpec[] = [];

export class QuotaControl {
  private readonly leader: QuotaLeader;
  private leadership: LeadershipCheck | undefined;

  /** `state` returns the state that this member has applied. */
  constructor(
    tolerance: QuotaTolerance,
    private readonly state: () => ControlState,
    router: RpcRouter,
  ) {
    this.leader = new QuotaLeader(tolerance, monotonicNowMs());
    registerQuotaStatus(router, this.leader);
  }

  start(log: LeadershipLog): void {
    this.leadership = new LeadershipCheck(log, confirmation => {
      const {table, firstQuotaTerm} = this.state();
      const workspaces = table?.workspaces ?? NO_WORKSPACES;
      this.leader.confirm(
        confirmation,
        {workspaces, firstQuotaTerm},
        monotonicNowMs(),
      );
    });
    this.leadership.start();
  }

  /** Quotas of a new state apply once the leadership is confirmed again. */
  noteState(): void {
    this.leadership?.renew();
  }

  stop(): void {
    this.leadership?.stop();
  }

  /** The part of a reply that concerns quotas; empty unless this member leads. */
  answer({entry, revision, quotas}: Announcement): {
    readonly quotas?: QuotaReply;
  } {
    // No entry is ahead of the leader, unless all disks were lost and the founders
    // have formed another group.
    const isOfOtherGroup = revision > this.state().revision;
    const reply = this.leader.answer(
      {...entry, isOfOtherGroup},
      quotas,
      instantNow(),
    );
    return reply === undefined ? {} : {quotas: reply};
  }
}
