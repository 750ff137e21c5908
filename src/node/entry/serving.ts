/** Creates and connects the components that serve requests on one entry. */
import type {ActorSystemRef} from 'nact';
import type {
  Configuration,
  VersionedConfiguration,
} from '../config/configuration.js';
import {monotonicNowMs} from '../clock/clock.js';
import {RetryBudgets} from '../decisions/retry/retry_budget.js';
import {publishQuarantine} from '../membership/commands.js';
import type {Membership} from '../membership/membership.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {RecordsClient} from '../records/records_client.js';
import {GatewayError} from '../types/errors.js';
import type {WorkspaceId} from '../types/ids.js';
import {AdmissionGate} from './admission_gate.js';
import {CrashGuard} from './crash_guard.js';
import {EntryLoops} from './entry_loops.js';
import {
  configuredPools,
  FleetState,
  type EntryIdentity,
} from './fleet_state.js';
import type {EntryAdapters} from './entry_adapters.js';
import {RetryBudget} from './idempotent_call.js';
import {ModelDispatcher} from './model_dispatcher.js';
import {Offloader} from './offloader.js';
import {PlatformLoops} from './platform_loops.js';
import {recordVoters} from './record_group.js';
import {RecordedCallRunner} from './recorded_call.js';
import {ServiceDispatcher} from './service_dispatcher.js';

/** Dependencies and settings that the process provides. */
export interface ServingOptions {
  readonly identity: EntryIdentity;
  readonly system: ActorSystemRef;
  readonly adapters: EntryAdapters;
  readonly membership: Membership;
  readonly metrics: MetricsRegistry;
  readonly configuration: () => VersionedConfiguration | undefined;
  readonly random: () => number;
}

/** Retry budgets of the current policy; a new share starts new budgets. */
class CurrentBudgets extends RetryBudget {
  private budgets = new RetryBudgets(0);

  configure(share: number): void {
    this.budgets = new RetryBudgets(share);
  }

  get(): RetryBudgets {
    return this.budgets;
  }

  override recordFirstTry(workspaceId: WorkspaceId): void {
    this.budgets.recordFirstTry(workspaceId);
  }

  override takeRetry(workspaceId: WorkspaceId): boolean {
    return this.budgets.trySpend(workspaceId);
  }
}

/** The request-serving components of one entry. */
export class Serving {
  readonly fleet: FleetState;
  readonly gate: AdmissionGate;
  readonly models: ModelDispatcher;
  readonly services: ServiceDispatcher;
  readonly recorded: RecordedCallRunner;
  private readonly crashGuard: CrashGuard;
  private readonly budgets = new CurrentBudgets();
  private readonly loops: EntryLoops;
  private readonly platform: PlatformLoops | undefined;
  private admissionJson = '';
  private budgetShare: number | undefined;

  constructor(private readonly options: ServingOptions) {
    const {identity, membership, metrics, system, adapters} = options;
    this.fleet = new FleetState(identity, membership.view);
    this.gate = new AdmissionGate(
      system,
      {ranks: [], maxQueued: 0},
      {
        onRejected: (request, cause) =>
          metrics.count('refused_total', {rank: request.rankId, cause}),
      },
      () => this.fleet.view(monotonicNowMs()),
    );
    this.crashGuard = new CrashGuard(
      () => this.configuration().policy.quarantineMs,
      membership.view,
      entry => publishQuarantine(membership, entry),
    );
    this.models = this.createModelDispatcher();
    this.recorded = new RecordedCallRunner({
      records: new RecordsClient({
        rpc: adapters.client,
        members: workspaceId => this.recordMemberAddresses(workspaceId),
      }),
      upstream: adapters.serviceUpstream,
      owner: membership.view.self(),
    });
    this.services = this.createServiceDispatcher();
    this.loops = new EntryLoops({
      fleet: this.fleet,
      gate: this.gate,
      upstream: adapters.modelUpstream,
      membership,
      configuration: () => options.configuration()?.configuration,
    });
    this.platform = this.createPlatformLoops();
  }

  /** Applies a new configuration. */
  configure(configuration: Configuration): void {
    this.fleet.configure(configuration);
    const {policy, ranks} = configuration;
    const admission = {ranks, maxQueued: policy.maxQueuedPerEntry};
    const text = JSON.stringify(admission);
    // Replacing the queue rejects its requests, so it happens only on a change.
    if (text !== this.admissionJson) this.gate.configure(admission);
    this.admissionJson = text;
    if (policy.retryBudgetShare !== this.budgetShare) {
      this.budgets.configure(policy.retryBudgetShare);
    }
    this.budgetShare = policy.retryBudgetShare;
    // Otherwise pools would have no slots until the next periodic refresh.
    this.gate.refreshSlots();
  }

  /** Number of requests that wait for a slot in any pool. */
  queuedCount(): number {
    const poolIds = this.fleet.localUpstreams().flatMap(configuredPools);
    return [...new Set(poolIds)]
      .map(poolId => this.gate.counts(poolId).queued)
      .reduce((sum, count) => sum + count, 0);
  }

  /** Publishes changed entries to the platform's directory immediately. */
  async publishEntries(): Promise<void> {
    await this.platform?.publishEntries();
  }

  stop(): void {
    this.loops.stop();
    this.platform?.stop();
    this.gate.stop();
  }

  private createModelDispatcher(): ModelDispatcher {
    const {adapters, membership, metrics, random} = this.options;
    const shared = {
      fleet: this.fleet,
      gate: this.gate,
      metrics,
      configuration: () => this.configuration(),
      random,
    };
    return new ModelDispatcher({
      ...shared,
      upstream: adapters.modelUpstream,
      offloader: new Offloader({
        crashGuard: this.crashGuard,
        ...shared,
        forwarder: adapters.forwarder,
        membership: membership.view,
      }),
      crashGuard: this.crashGuard,
      budgets: () => this.budgets.get(),
    });
  }

  private createServiceDispatcher(): ServiceDispatcher {
    const {identity, adapters, membership, metrics, random} = this.options;
    return new ServiceDispatcher({
      identity,
      fleet: this.fleet,
      upstream: adapters.serviceUpstream,
      forwarder: adapters.forwarder,
      membership: membership.view,
      recorded: this.recorded,
      budget: this.budgets,
      metrics,
      configuration: () => this.configuration(),
      random,
    });
  }

  private createPlatformLoops(): PlatformLoops | undefined {
    const {adapters, identity, membership, metrics} = this.options;
    const {platform} = adapters;
    if (platform === undefined) return undefined;
    return new PlatformLoops({
      identity,
      fleet: this.fleet,
      membership: membership.view,
      metrics,
      ...platform,
    });
  }

  private recordMemberAddresses(workspaceId: WorkspaceId): readonly string[] {
    const {configuration, identity} = this.options;
    const current = configuration()?.configuration;
    const home = current?.workspaces.find(
      each => each.workspaceId === workspaceId,
    )?.homeDomainId;
    const voters = recordVoters(current, home ?? identity.domainId);
    // The local member first: if it leads, it answers without a network hop.
    return [...voters]
      .sort(
        (left, right) =>
          Number(right.instance === identity.instanceId) -
          Number(left.instance === identity.instanceId),
      )
      .map(voter => voter.address);
  }

  private configuration(): Configuration {
    const current = this.options.configuration();
    if (current !== undefined) return current.configuration;
    throw new GatewayError({
      code: 'not_ready',
      message: 'no configuration is in force on this instance yet',
      step: 'entry.serving',
      peer: 'self',
    });
  }
}
