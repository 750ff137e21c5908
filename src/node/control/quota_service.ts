/**
 * Divides the quotas of the configuration among entries, on the control member that
 * leads. Does nothing while no workspace has a quota.
 */
import {z} from 'zod';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration} from '../config/configuration.js';
import {instantNow} from '../quotas/instant.js';
import {
  LeadershipCheck,
  type LeadershipLog,
} from '../quotas/leadership_check.js';
import {DEFAULT_TOLERANCE} from '../quotas/limits.js';
import {quotaReportSchema, type QuotaReply} from '../quotas/messages.js';
import {QuotaLeader} from '../quotas/quota_leader.js';
import {registerQuotaStatus} from '../quotas/status_method.js';
import type {WorkspaceSpec} from '../routes/route_table.js';
import type {RpcRouter} from '../rpc/rpc.js';
import type {InstanceId, RegionId} from '../types/ids.js';
import {hasQuotas, specOf} from '../workspaces/configured_workspace.js';

/** Entries report their use of quotas and get what they may run. */
export const QUOTA_EXCHANGE_METHOD = 'quotas.exchange';

const id = <Id extends string>(): z.ZodType<Id> =>
  z.string().min(1) as unknown as z.ZodType<Id>;

const exchangeParamsSchema = z.object({
  instanceId: id<InstanceId>(),
  region: id<RegionId>(),
  /** Grows with each start of the entry. */
  incarnation: z.number().int(),
  /** Only to the member that leads. */
  report: quotaReportSchema.optional(),
});

export type QuotaExchangeParams = z.infer<typeof exchangeParamsSchema>;

/** The result of `quotas.exchange`; no reply unless this member certainly leads. */
export interface QuotaExchangeResult {
  readonly reply?: QuotaReply;
}

/** Where the accepted configuration comes from. */
export interface ConfigurationSource {
  configurationInForce(): Configuration | undefined;
  subscribe(listener: () => void): () => void;
}

export interface QuotaServiceOptions {
  readonly log: LeadershipLog;
  readonly machine: ConfigurationSource;
  readonly router: RpcRouter;
}

/** The quotas at one control member. */
export class QuotaService {
  private readonly leader = new QuotaLeader(
    DEFAULT_TOLERANCE,
    monotonicNowMs(),
  );
  private readonly check: LeadershipCheck;
  private readonly unsubscribe: () => void;
  private workspaces: readonly WorkspaceSpec[] = [];
  private isChecking = false;

  constructor({log, machine, router}: QuotaServiceOptions) {
    this.check = new LeadershipCheck(log, confirmation =>
      this.leader.confirm(
        confirmation,
        // Not known: a new leader lets leases of an earlier one expire.
        {workspaces: this.workspaces, firstQuotaTerm: undefined},
        monotonicNowMs(),
      ),
    );
    router.register(QUOTA_EXCHANGE_METHOD, exchangeParamsSchema, params =>
      this.exchange(params),
    );
    registerQuotaStatus(router, this.leader);
    const apply = (): void => this.apply(machine.configurationInForce());
    this.unsubscribe = machine.subscribe(apply);
    apply();
  }

  stop(): void {
    this.unsubscribe();
    this.check.stop();
  }

  private exchange({
    report,
    ...entry
  }: QuotaExchangeParams): QuotaExchangeResult {
    const reply = this.leader.answer(entry, report, instantNow());
    return reply === undefined ? {} : {reply};
  }

  private apply(configuration: Configuration | undefined): void {
    this.workspaces = configuration?.workspaces.map(specOf) ?? [];
    const isNeeded = configuration !== undefined && hasQuotas(configuration);
    if (isNeeded === this.isChecking) return;
    this.isChecking = isNeeded;
    if (isNeeded) this.check.start();
    else this.check.stop();
  }
}
