/** Exchanges the use of quotas with the control members, while there are quotas. */
import {monotonicNowMs} from '../clock/clock.js';
import type {
  Configuration,
  ControlMemberConfig,
} from '../config/configuration.js';
import {
  QUOTA_EXCHANGE_METHOD,
  type QuotaExchangeParams,
  type QuotaExchangeResult,
} from '../control/quota_service.js';
import {instantNow} from '../quotas/instant.js';
import type {QuotaGate} from '../quotas/quota_gate.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {InstanceId} from '../types/ids.js';
import {hasQuotas} from '../workspaces/configured_workspace.js';
import type {EntryIdentity} from './fleet_state.js';

const EXCHANGE_INTERVAL_MS = 400;
const EXCHANGE_TIMEOUT_MS = 800;
/**
 * Members that do not lead only have to know which entries there are, in case that they
 * lead next, and for less time than a lease lasts.
 */
const CONTACT_INTERVAL_MS = 2_000;
/** Then another member may lead. */
const LEADER_SILENCE_MS = 1_000;

export interface QuotaLinkOptions {
  readonly identity: EntryIdentity;
  readonly incarnation: number;
  readonly client: RpcClient;
  readonly gate: Pick<QuotaGate, 'reportFor' | 'apply'>;
  readonly configuration: () => Configuration | undefined;
}

/** The link of one entry to all control members. */
export class QuotaLink {
  private timer: ReturnType<typeof setInterval> | undefined;
  private readonly pending = new Set<InstanceId>();
  private readonly askedAtMs = new Map<InstanceId, number>();
  private isStopped = false;
  private leader: InstanceId | undefined;
  private heardAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: QuotaLinkOptions) {}

  start(): void {
    this.timer = setInterval(
      () => this.exchangeWithAll(),
      EXCHANGE_INTERVAL_MS,
    );
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Asks one control member, or all, without waiting for the interval. */
  askNow(control: InstanceId | undefined): void {
    this.members()
      .filter(({instanceId}) => (control ?? instanceId) === instanceId)
      .forEach(each => void this.exchange(each));
  }

  private exchangeWithAll(): void {
    const nowMs = monotonicNowMs();
    this.members()
      .filter(({instanceId}) => this.isDue(instanceId, nowMs))
      .forEach(each => void this.exchange(each));
  }

  private isDue(control: InstanceId, nowMs: number): boolean {
    const isLeaderHeard = nowMs - this.heardAtMs < LEADER_SILENCE_MS;
    if (!isLeaderHeard || control === this.leader) return true;
    const askedAtMs = this.askedAtMs.get(control) ?? Number.NEGATIVE_INFINITY;
    return nowMs - askedAtMs >= CONTACT_INTERVAL_MS;
  }

  private members(): readonly ControlMemberConfig[] {
    const configuration = this.options.configuration();
    return configuration !== undefined && hasQuotas(configuration)
      ? configuration.controlMembers
      : [];
  }

  private async exchange({
    instanceId: control,
    innerAddress,
  }: ControlMemberConfig): Promise<void> {
    if (this.isStopped || this.pending.has(control)) return;
    const {identity, incarnation, client, gate} = this.options;
    const report = gate.reportFor(control);
    const params: QuotaExchangeParams = {
      instanceId: identity.instanceId,
      region: identity.regionId,
      incarnation,
      ...(report === undefined ? {} : {report}),
    };
    const sentAt = instantNow();
    this.pending.add(control);
    this.askedAtMs.set(control, sentAt.monotonicMs);
    const result = await client.call<QuotaExchangeResult>(
      innerAddress,
      QUOTA_EXCHANGE_METHOD,
      params,
      EXCHANGE_TIMEOUT_MS,
    );
    this.pending.delete(control);
    if (this.isStopped) return;
    const reply = result.isOk() ? result.value.reply : undefined;
    if (reply === undefined) return;
    this.leader = control;
    this.heardAtMs = monotonicNowMs();
    gate.apply(control, reply, sentAt);
  }
}
