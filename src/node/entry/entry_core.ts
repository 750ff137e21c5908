/**
 * An entry without listeners: membership, configuration, records and request
 * serving. Daemons add HTTP listeners; scenarios connect several cores in memory
 * and run them on a simulated clock.
 */
import {start, stop, type ActorSystemRef} from 'nact';
import {FixedRateStore} from '../adapters/weights/fixed_rate_store.js';
import type {WeightStore} from '../adapters/weights/weight_store.js';
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import type {VersionedConfiguration} from '../config/configuration.js';
import type {EntrySettings} from '../config/settings.js';
import {ConfigurationHolder} from '../control/configuration_holder.js';
import {
  PeerConfigurationStore,
  registerConfigurationPeer,
} from '../control/configuration_peers.js';
import {FileConfigurationStore} from '../control/configuration_store.js';
import type {Logger} from '../logging/logger.js';
import {leave, publishMemberState} from '../membership/commands.js';
import {createMembership, type Membership} from '../membership/membership.js';
import {MetricsRegistry} from '../metrics/registry.js';
import type {EntryStatus} from '../operator/entry_methods.js';
import type {ReplicaStatus} from '../replication/replicated_log.js';
import {OrderIssuer} from '../orders/order_issuer.js';
import {QuotaGate} from '../quotas/quota_gate.js';
import {RpcRouter} from '../rpc/rpc.js';
import {specOf} from '../workspaces/configured_workspace.js';
import {ConfigurationFollower} from './configuration_follower.js';
import {closeEntryAdapters, type EntryAdapters} from './entry_adapters.js';
import type {EntryIdentity} from './fleet_state.js';
import {Gateway} from './gateway.js';
import {InFlightRequests} from './in_flight.js';
import {registerOperatorMethods} from './operator_methods.js';
import {orderLeaseName, PlacementLoop} from './placement_loop.js';
import {QuotaAdmission} from './quota_admission.js';
import {QuotaLink} from './quota_link.js';
import {RecordGroup} from './record_group.js';
import {Serving} from './serving.js';
import {UpstreamOrderSink} from './upstream_order_sink.js';

/** Bandwidth that the weight store provides to one domain. */
const WEIGHT_STORE_BYTES_PER_SECOND = 1_000_000_000;
const DRAIN_TIMEOUT_MS = 120_000;

/** Options of an `EntryCore`. */
export interface EntryCoreOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  readonly adapters: EntryAdapters;
  /** Router for RPC calls from other instances. @default a new router */
  readonly router?: RpcRouter;
  /** @default Math.random */
  readonly random?: () => number;
  /** Called when an operator requests a planned stop. */
  readonly onDrain: () => void;
}

/** The parts of one entry instance and their lifecycle. */
export class EntryCore {
  readonly router: RpcRouter;
  readonly metrics = new MetricsRegistry();
  /** Requests in flight, from callers or forwarded by other domains. */
  readonly inFlight = new InFlightRequests();
  readonly gateway: Gateway;
  private readonly identity: EntryIdentity;
  private readonly system: ActorSystemRef = start();
  private readonly incarnation = wallNowMs();
  private readonly startedAtMs = monotonicNowMs();
  private readonly holder: ConfigurationHolder;
  private readonly membership: Membership;
  private readonly serving: Serving;
  private readonly records: RecordGroup;
  private readonly placement: PlacementLoop;
  private readonly follower: ConfigurationFollower;
  private readonly quotas: QuotaGate;
  private readonly quotaLink: QuotaLink;
  private isLeaving = false;
  private isClosed = false;

  constructor(private readonly options: EntryCoreOptions) {
    const {instanceId, domainId, regionId} = options.settings;
    const {client, files} = options.adapters;
    this.identity = {instanceId, domainId, regionId};
    this.router = options.router ?? new RpcRouter();
    this.holder = new ConfigurationHolder(
      this.system,
      files === undefined
        ? new PeerConfigurationStore(client, () => this.domainPeers())
        : new FileConfigurationStore(files),
    );
    this.membership = this.createMembership();
    this.serving = new Serving({
      identity: this.identity,
      system: this.system,
      adapters: options.adapters,
      membership: this.membership,
      metrics: this.metrics,
      configuration: () => this.holder.current(),
      random: options.random ?? Math.random,
    });
    this.records = this.createRecords();
    this.placement = this.createPlacement();
    this.follower = new ConfigurationFollower({
      identity: this.identity,
      settings: options.settings,
      client,
      holder: this.holder,
      membership: this.membership.view,
      random: options.random ?? Math.random,
    });
    this.quotas = this.createQuotas();
    this.quotaLink = new QuotaLink({
      identity: this.identity,
      incarnation: this.incarnation,
      client,
      gate: this.quotas,
      configuration: () => this.holder.current()?.configuration,
    });
    this.gateway = new Gateway({
      models: this.serving.models,
      services: this.serving.services,
      quotas: new QuotaAdmission(this.quotas),
      membership: this.membership.view,
      metrics: this.metrics,
      inFlight: this.inFlight,
      configuration: () => this.holder.current()?.configuration,
      isReady: () => this.state() === 'ready',
      acceptsWork: () => !this.isClosed && this.holder.current() !== undefined,
    });
    this.registerRpcMethods();
  }

  /**
   * Tries to obtain a configuration; resolves when one is found or no source
   * has answered.
   */
  async start(): Promise<void> {
    this.holder.subscribe(versioned => this.applyConfiguration(versioned));
    await this.follower.start();
    this.quotaLink.start();
  }

  /** Version of the active configuration; 0 until one is loaded. */
  version(): number {
    return this.holder.version();
  }

  /**
   * Whether the entry is ready and, if the instance has a vote, its record log
   * has a leader.
   */
  isServing(): boolean {
    const status = this.records.status();
    const hasLeader = status === undefined || status.leader !== undefined;
    return this.state() === 'ready' && hasLeader;
  }

  /** Status of this instance's member of the record log, if it has one. */
  recordStatus(): ReplicaStatus | undefined {
    return this.records.status();
  }

  /** Leaves the membership and the platform's directory but keeps serving. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    leave(this.membership);
    await this.serving.publishEntries();
  }

  /**
   * Refuses new requests and waits for those in flight; false if some were
   * still running at the timeout.
   */
  async drain(): Promise<boolean> {
    this.isClosed = true;
    const isEmpty = await this.inFlight.drain(DRAIN_TIMEOUT_MS);
    await this.serving.recorded.drain(DRAIN_TIMEOUT_MS);
    return isEmpty;
  }

  /** Stops records, membership and adapters, and notifies peers. */
  async stop(): Promise<void> {
    this.isClosed = true;
    this.follower.stop();
    this.stopQuotas();
    this.placement.stop();
    await this.records.stop();
    await this.membership.stop();
    this.serving.stop();
    await closeEntryAdapters(this.options.adapters);
    stop(this.system);
  }

  /** Stops timers without notifying peers, as a process crash would. */
  abort(): void {
    this.isClosed = true;
    this.follower.stop();
    this.stopQuotas();
    this.placement.stop();
    this.records.abort();
    this.serving.stop();
    stop(this.system);
  }

  private createMembership(): Membership {
    const {settings, logger, adapters, random} = this.options;
    return createMembership({
      ...this.identity,
      ...settings.listen,
      rpcClient: adapters.client,
      rpcRouter: this.router,
      // No peers are known before the first configuration.
      peers: () => this.holder.current()?.configuration.instances ?? [],
      incarnation: this.incarnation,
      random: random ?? Math.random,
      logger,
      onLinkChange: (link, previous) =>
        logger.info(
          {domain: link.domainId, state: link.state, previous},
          'state of the link to a domain changed',
        ),
    });
  }

  private createQuotas(): QuotaGate {
    return new QuotaGate({
      entries: () => this.holder.current()?.configuration.instances.length,
      announceNow: control => this.quotaLink.askNow(control),
      logger: this.options.logger,
      metrics: this.metrics,
    });
  }

  private stopQuotas(): void {
    this.quotaLink.stop();
    this.quotas.stop();
  }

  private createRecords(): RecordGroup {
    const {adapters, logger} = this.options;
    return new RecordGroup({
      identity: this.identity,
      incarnation: this.incarnation,
      files: adapters.files,
      client: adapters.client,
      router: this.router,
      configuration: () => this.holder.current(),
      onFailure: error =>
        logger.error({err: error}, 'record log member stopped after a failure'),
    });
  }

  private createPlacement(): PlacementLoop {
    const {domainId} = this.identity;
    const self = this.membership.view.self();
    const {fleet} = this.serving;
    const lease = orderLeaseName(domainId);
    return new PlacementLoop({
      weights: this.createWeightStore(),
      issuer: new OrderIssuer({
        self,
        lease,
        propose: command => this.records.proposeLease(command),
        currentLease: () => this.records.lease(lease),
        isLeader: () => this.records.status()?.role === 'leader',
        sink: new UpstreamOrderSink(
          fleet,
          this.options.adapters.modelUpstream,
          self,
        ),
      }),
      fleet,
      membership: this.membership.view,
      metrics: this.metrics,
      logger: this.options.logger,
      configuration: () => this.holder.current()?.configuration,
    });
  }

  private createWeightStore(): WeightStore {
    const models = () => this.holder.current()?.configuration.models ?? [];
    return new FixedRateStore(
      () =>
        models().map(({modelId, weightsBytes}) => ({
          modelId,
          version: 'configured',
          weightsBytes,
        })),
      WEIGHT_STORE_BYTES_PER_SECOND,
    );
  }

  private registerRpcMethods(): void {
    const {settings, adapters, onDrain} = this.options;
    registerConfigurationPeer(this.router, this.holder, {
      instanceId: settings.instanceId,
      hasDisk: adapters.files !== undefined,
    });
    registerOperatorMethods(this.router, {
      identity: this.identity,
      membership: this.membership.view,
      fleet: this.serving.fleet,
      metrics: this.metrics,
      startedAtMs: this.startedAtMs,
      version: () => this.holder.version(),
      configuration: () => this.holder.current()?.configuration,
      state: () => this.state(),
      inFlightCount: () => this.inFlight.size(),
      queuedCount: () => this.serving.queuedCount(),
      recordStatus: () => this.records.status(),
      drain: onDrain,
    });
  }

  private state(): EntryStatus['state'] {
    if (this.isLeaving || this.isClosed) return 'leaving';
    return this.holder.current() === undefined ? 'starting' : 'ready';
  }

  private applyConfiguration(versioned: VersionedConfiguration): void {
    const {logger} = this.options;
    this.serving.configure(versioned.configuration);
    this.quotas.applyWorkspaces(versioned.configuration.workspaces.map(specOf));
    publishMemberState(this.membership, {configVersion: versioned.version});
    this.metrics.set('config_version', {}, versioned.version);
    logger.info({version: versioned.version}, 'configuration applied');
    this.records
      .startIfConfigured()
      .catch(error =>
        logger.error({err: error}, 'record log member failed to start'),
      );
  }

  private domainPeers() {
    const {instanceId, domainId} = this.identity;
    const configured = this.holder.latest()?.configuration.instances;
    if (configured === undefined) {
      return this.options.settings.seedAddresses.map(address => ({address}));
    }
    return configured
      .filter(each => each.domainId === domainId)
      .filter(each => each.instanceId !== instanceId)
      .map(each => ({address: each.innerAddress, hasDisk: each.hasDisk}));
  }
}
