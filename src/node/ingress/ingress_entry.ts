/** Wires up an ingress entry: listeners, scheduling and shutdown. */
import type {Server} from 'node:http';
import {wallNowMs} from '../clock/clock.js';
import {
  cancelledPlacements,
  DecisionSender,
} from '../dispatch/decision_sender.js';
import {LoadShedding} from '../decisions/admission/load_shedding.js';
import {DomainChoice} from '../dispatch/domain_choice.js';
import {ListReader} from '../dispatch/list_reader.js';
import {RegionLoops} from '../dispatch/region_loops.js';
import {SchedulerClient} from '../dispatch/scheduler_client.js';
import {SchedulerHost} from '../dispatch/scheduler_host.js';
import type {UpstreamFeed} from '../dispatch/upstream_feed.js';
import {UpstreamLimits} from '../dispatch/upstream_limits.js';
import {UpstreamNotices} from '../dispatch/upstream_notices.js';
import {ControlLink} from '../fleet/control_link.js';
import {FleetMembers} from '../fleet/fleet_members.js';
import type {EntryInstance} from '../fleet/messages.js';
import type {Logger} from '../logging/logger.js';
import {registerProcessGauges} from '../metrics/process_gauges.js';
import {MetricsRegistry} from '../metrics/registry.js';
import {RouteMatcher} from '../routes/route_matcher.js';
import {
  EMPTY_CONTROL_STATE,
  summaryOf,
  type ControlState,
} from '../routes/route_table.js';
import type {QuotaGate} from '../quotas/quota_gate.js';
import type {OriginRegistry} from '../origins/origin_registry.js';
import type {UpstreamReachability} from '../reachability/upstream_reachability.js';
import {HttpRpcClient} from '../rpc/http_client.js';
import type {InnerServer} from '../rpc/http_server.js';
import {StreamRpcClient} from '../rpc/stream_client.js';
import {RpcRouter} from '../rpc/rpc.js';
import type {ServiceId} from '../types/ids.js';
import {ConnectionPools} from './connections.js';
import {createReachability} from './create_reachability.js';
import {createOrigins} from './create_origins.js';
import {createQuotas} from './create_quotas.js';
import {createEndCheck} from './end_confirmation.js';
import {createInnerServer, startTextServers} from './entry_servers.js';
import {IngressServer} from './ingress_server.js';
import {LoadLog} from './load_log.js';
import {createMisdirectionCheck} from './misdirection_check.js';
import {PlannedStop} from './planned_stop.js';
import {createHeldBytes, createUnfinishedRequests} from './memory_bound.js';
import type {RequestProtocol} from './protocol.js';
import {RelayClient} from './relay.js';
import {RequestLog} from './request_log.js';
import {createRetryShares, type RetryShares} from './retry_shares.js';
import {registerSchedulerMethods} from './scheduler_calls.js';
import {
  announcedSettings,
  domainLocations,
  domainIdsOfRegion,
  schedulerRetries,
  seedInnerAddresses,
  type IngressSettings,
} from './settings.js';
import {TableWaiters} from './table_waiters.js';
import {UpstreamPaces} from './upstream_pace.js';

export interface IngressEntryOptions {
  readonly settings: IngressSettings;
  readonly protocol: RequestProtocol;
  readonly feed: UpstreamFeed;
  readonly logger: Logger;
  /** Connections to upstreams and other entries; default: real ones. */
  readonly connections?: ConnectionPools;
}

/** One ingress entry. */
export class IngressEntry {
  private readonly metrics = new MetricsRegistry();
  /** For small, frequent messages; `bulkClient` is for large ones. */
  private readonly client: StreamRpcClient;
  private readonly bulkClient: HttpRpcClient;
  private readonly members: FleetMembers;
  private readonly connections: ConnectionPools;
  private readonly router = new RpcRouter();
  private readonly host: SchedulerHost;
  private readonly decisions: DecisionSender;
  private readonly scheduler: SchedulerClient;
  private readonly listReader: ListReader;
  private readonly limits = new UpstreamLimits();
  private readonly origins: OriginRegistry;
  private readonly retryShares: RetryShares;
  private readonly quotas: QuotaGate;
  private readonly paces = new UpstreamPaces();
  private readonly reachability: UpstreamReachability;
  private readonly loops: RegionLoops;
  private readonly controlLink: ControlLink;
  private readonly ingress: IngressServer;
  private readonly innerServer: InnerServer;
  private textServers: readonly Server[] = [];
  private readonly loadLog: LoadLog;
  private readonly shedding = new LoadShedding();
  private incarnation = wallNowMs();
  private settings: IngressSettings;
  private state: ControlState = EMPTY_CONTROL_STATE;
  private matcher: RouteMatcher | undefined;
  private readonly tableWaiters = new TableWaiters();
  private readonly plannedStop: PlannedStop;

  constructor(private readonly options: IngressEntryOptions) {
    const {settings, logger, feed} = options;
    const {instanceId, clusterSecret} = settings;
    this.settings = settings;
    this.plannedStop = new PlannedStop(settings.stopGraceMs);
    this.connections = options.connections ?? new ConnectionPools();
    this.client = new StreamRpcClient({self: instanceId, clusterSecret});
    this.bulkClient = new HttpRpcClient({self: instanceId, clusterSecret});
    this.members = new FleetMembers(() => this.describe());
    this.retryShares = createRetryShares(settings, this.members, logger);
    this.quotas = createQuotas(settings, this.members, {
      announceNow: control => this.controlLink.announceTo(control),
      logger,
      metrics: this.metrics,
    });
    this.decisions = this.createDecisionSender();
    this.host = this.createHost();
    this.scheduler = this.createScheduler();
    this.listReader = this.createListReader();
    this.loops = this.createLoops();
    this.controlLink = new ControlLink({
      members: this.members,
      client: this.client,
      bulkClient: this.bulkClient,
      logger,
      seedAddresses: () => seedInnerAddresses(this.settings),
      currentState: () => this.state,
      onState: state => this.applyState(state),
      onStaleIncarnation: held => this.raiseIncarnation(held),
      quotas: this.quotas,
    });
    this.origins = createOrigins(settings, {
      members: this.members,
      client: this.client,
      metrics: this.metrics,
      nearestControlMember: () => this.controlLink.nearestMember(),
    });
    this.reachability = createReachability(feed, {
      paces: this.paces,
      connections: this.connections,
      onCutOff: () => this.controlLink.announceToAll(),
      logger,
      metrics: this.metrics,
    });
    this.ingress = this.createIngress();
    this.loadLog = new LoadLog({
      host: this.host,
      retryShares: this.retryShares,
      metrics: this.metrics,
      logger,
      requestsInFlight: () => this.ingress.requestsInFlight,
      shedding: this.shedding,
      processorShare: settings.processorShare,
    });
    this.innerServer = createInnerServer(settings, this.router, this.ingress);
    this.registerMethods();
  }

  async start(): Promise<void> {
    const {settings, logger} = this.options;
    registerProcessGauges(this.metrics);
    await this.innerServer.start();
    await this.ingress.start();
    const isReady = (): boolean => this.isReady();
    this.textServers = await startTextServers(settings, isReady, this.metrics);
    this.controlLink.start();
    this.loops.start();
    this.reachability.start();
    this.loadLog.start();
    logger.info(
      {event: 'started', region: settings.regionId, domain: settings.domainId},
      'entry listening',
    );
  }

  /** Applies changed settings; only the seeds can change at run time. */
  reload(settings: IngressSettings): void {
    this.settings = settings;
    this.options.logger.info(
      {event: 'reloaded', seedAddresses: settings.seedAddresses},
      'settings reloaded',
    );
  }

  /** Leaves the directory, waits for requests in flight and closes. */
  async stop(): Promise<void> {
    const {logger, settings} = this.options;
    const {ingress, plannedStop} = this;
    const {stopGraceMs: graceMs} = settings;
    plannedStop.begin();
    this.controlLink.announceToAll();
    logger.info(
      {event: 'stopping', requestsInFlight: ingress.requestsInFlight, graceMs},
      'planned stop started',
    );
    await plannedStop.untilDrained(ingress);
    const {requestsInFlight} = ingress;
    await this.abort();
    // Their log lines tell what became of them.
    await plannedStop.untilEnded(ingress);
    logger.info({event: 'stopped', requestsInFlight}, 'entry stopped');
  }

  /** Closes everything without waiting for requests in flight. */
  async abort(): Promise<void> {
    this.controlLink.stop();
    this.loadLog.stop();
    this.loops.stop();
    this.host.stop();
    this.origins.stop();
    this.quotas.stop();
    this.reachability.stop();
    this.ingress.close();
    this.textServers.forEach(server => server.close());
    await Promise.all([
      this.connections.close(),
      this.client.close(),
      this.bulkClient.close(),
    ]);
    await this.innerServer.stop();
  }

  private registerMethods(): void {
    this.origins.register(this.router);
    registerSchedulerMethods(this.router, {
      incarnation: () => this.incarnation,
      host: this.host,
      decisions: this.decisions,
      scheduler: this.scheduler,
      listReader: this.listReader,
      feed: this.options.feed,
    });
  }

  private isReady(): boolean {
    return this.matcher !== undefined && !this.plannedStop.hasBegun;
  }

  private describe(): EntryInstance {
    return {
      ...announcedSettings(this.settings),
      incarnation: this.incarnation,
      isReady: this.isReady(),
      isStopping: this.plannedStop.hasBegun,
      isScheduling: this.loops.schedulesEngines,
      isCutOff: this.reachability.isCutOff,
    };
  }

  private createScheduler(): SchedulerClient {
    const {settings, logger} = this.options;
    return new SchedulerClient({
      region: settings.regionId,
      self: settings.instanceId,
      domains: new DomainChoice({
        own: settings.domainId,
        domains: domainIdsOfRegion(settings),
        evacuated: () => this.state.evacuatedDomains,
      }),
      members: this.members,
      client: this.client,
      logger,
      limits: this.limits,
      submitHere: parts => void this.host.submit(settings.instanceId, parts),
    });
  }

  private createListReader(): ListReader {
    const {settings, feed, logger} = this.options;
    return new ListReader({
      region: settings.regionId,
      domains: domainIdsOfRegion(settings),
      self: settings.instanceId,
      members: this.members,
      feed,
      client: this.client,
      bulkClient: this.bulkClient,
      logger,
      metrics: this.metrics,
    });
  }

  private createLoops(): RegionLoops {
    const {settings, feed, logger} = this.options;
    return new RegionLoops({
      region: settings.regionId,
      domains: domainLocations(settings),
      reader: this.listReader,
      self: settings.instanceId,
      members: this.members,
      host: this.host,
      feed,
      client: this.client,
      logger,
      metrics: this.metrics,
      services: () => this.state.table?.services ?? [],
    });
  }

  private createDecisionSender(): DecisionSender {
    const {instanceId: self} = this.options.settings;
    return new DecisionSender({
      self,
      members: this.members,
      client: this.client,
      deliverHere: decisions => this.scheduler.deliver(self, decisions),
      onLost: decisions =>
        cancelledPlacements(decisions).forEach(({entry, part}) => {
          void this.host.submit(entry, [part]);
        }),
    });
  }

  private createHost(): SchedulerHost {
    const {settings, logger} = this.options;
    return new SchedulerHost({
      region: settings.regionId,
      logger,
      metrics: this.metrics,
      retries: schedulerRetries(settings),
      serviceSpec: service => this.matcher?.service(service),
      deliver: decision => this.decisions.send(decision),
      onDown: () => setImmediate(() => this.loops.probeAll()),
      onStarted: () => setImmediate(() => void this.loops.readNow()),
    });
  }

  private createIngress(): IngressServer {
    const {settings, protocol, feed, logger} = this.options;
    const {instanceId: self, clusterSecret} = settings;
    const {members, connections} = this;
    const notices = new UpstreamNotices();
    const healthPathOf = (service: ServiceId) =>
      this.matcher?.service(service)?.healthPath;
    return new IngressServer({
      address: settings.callerAddress,
      matcher: () => this.matcher,
      waitForTable: waitMs => this.tableWaiters.wait(waitMs),
      plannedStop: this.plannedStop,
      held: createHeldBytes(settings.memoryMb, this.metrics, logger),
      unfinished: createUnfinishedRequests(settings, this.metrics, logger),
      quotas: this.quotas,
      shedding: this.shedding,
      context: {
        region: settings.regionId,
        self,
        protocol,
        members,
        scheduler: this.scheduler,
        connections,
        paces: this.paces,
        reachability: this.reachability,
        limits: this.limits,
        notices,
        misdirections: createMisdirectionCheck(feed, notices, healthPathOf),
        retryShares: this.retryShares,
        evacuatedDomains: () => this.state.evacuatedDomains,
        relay: new RelayClient({self, clusterSecret, members, connections}),
        origins: this.origins,
        responseEnds: createEndCheck(feed, healthPathOf),
        log: new RequestLog(logger, this.metrics),
        metrics: this.metrics,
      },
    });
  }

  private raiseIncarnation(held: number): void {
    this.incarnation = held + 1;
    this.quotas.reset();
    this.options.logger.warn(
      {event: 'incarnation_raised', held},
      'wall clock moved back since an earlier start; incarnation raised',
    );
    this.controlLink.announceToAll();
  }

  private applyState(state: ControlState): void {
    const before = this.state;
    this.state = state;
    const {table} = state;
    if (table !== undefined && table.version !== before.table?.version) {
      this.matcher = new RouteMatcher(table, this.matcher);
      this.ingress.applyLimits(table.limits);
      this.quotas.applyWorkspaces(table.workspaces ?? []);
      this.tableWaiters.resumeAll();
    }
    this.host.applyControl(state.evacuatedDomains);
    void this.loops.refresh();
    this.controlLink.announceToAll();
    this.options.logger.info(
      {event: 'state_in_force', ...summaryOf(state)},
      'applied a newer control state',
    );
  }
}
