/** A running ingress entry: its listeners, its scheduling and its stop. */
import type {Server} from 'node:http';
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import {
  cancelledPlacements,
  DecisionSender,
} from '../dispatch/decision_sender.js';
import {DomainChoice} from '../dispatch/domain_choice.js';
import {ListReader} from '../dispatch/list_reader.js';
import {RegionLoops} from '../dispatch/region_loops.js';
import {SchedulerClient} from '../dispatch/scheduler_client.js';
import {SchedulerHost} from '../dispatch/scheduler_host.js';
import type {UpstreamFeed} from '../dispatch/upstream_feed.js';
import {ControlLink} from '../fleet/control_link.js';
import {FleetMembers} from '../fleet/fleet_members.js';
import type {EntryInstance} from '../fleet/messages.js';
import {startTextServer} from '../http/text_server.js';
import type {Logger} from '../logging/logger.js';
import {registerProcessGauges} from '../metrics/process_gauges.js';
import {MetricsRegistry} from '../metrics/registry.js';
import {RouteMatcher} from '../routes/route_matcher.js';
import {EMPTY_CONTROL_STATE, type ControlState} from '../routes/route_table.js';
import {HttpRpcClient} from '../rpc/http_client.js';
import type {Decision} from '../scheduling/types.js';
import {InnerServer} from '../rpc/http_server.js';
import {StreamRpcClient} from '../rpc/stream_client.js';
import {RpcRouter} from '../rpc/rpc.js';
import {waitUntil} from '../clock/wait_until.js';
import type {DomainId} from '../types/ids.js';
import {Connections} from './connections.js';
import {IngressServer} from './ingress_server.js';
import {LoadLog} from './load_log.js';
import type {RequestProtocol} from './protocol.js';
import {Relay, RELAY_PATH} from './relay.js';
import {RequestLog} from './request_log.js';
import {registerSchedulerMethods} from './scheduler_calls.js';
import {
  domainPlaces,
  seedInnerAddresses,
  type IngressSettings,
} from './settings.js';

/** Callers may use an address that they hold for so long after a stop began. */
const SHORTEST_STOP_MS = 3_000;
/** Time to close what is left before the process is killed. */
const STOP_MARGIN_MS = 1_200;

export interface IngressEntryOptions {
  readonly settings: IngressSettings;
  readonly protocol: RequestProtocol;
  readonly feed: UpstreamFeed;
  readonly logger: Logger;
}

/** One ingress entry. */
export class IngressEntry {
  private readonly metrics = new MetricsRegistry();
  /** For small, frequent messages. */
  private readonly client: StreamRpcClient;
  private readonly bulkClient: HttpRpcClient;
  private readonly members: FleetMembers;
  private readonly connections = new Connections();
  private readonly router = new RpcRouter();
  private readonly host: SchedulerHost;
  private readonly decisions: DecisionSender;
  private readonly scheduler: SchedulerClient;
  private readonly listReader: ListReader;
  private readonly loops: RegionLoops;
  private readonly link: ControlLink;
  private readonly ingress: IngressServer;
  private readonly inner: InnerServer;
  private readonly sideServers: Server[] = [];
  private readonly load: LoadLog;
  private incarnation = wallNowMs();
  private settings: IngressSettings;
  private state: ControlState = EMPTY_CONTROL_STATE;
  private matcher: RouteMatcher | undefined;
  private readonly tableWaiters: (() => void)[] = [];
  private isStopping = false;

  constructor(private readonly options: IngressEntryOptions) {
    const {settings, logger, feed} = options;
    const {instanceId, clusterSecret} = settings;
    this.settings = settings;
    this.client = new StreamRpcClient({self: instanceId, clusterSecret});
    this.bulkClient = new HttpRpcClient({self: instanceId, clusterSecret});
    this.members = new FleetMembers(() => this.describe());
    this.decisions = this.createDecisionSender();
    this.host = this.createHost();
    this.scheduler = this.createScheduler();
    this.listReader = this.createListReader();
    this.loops = this.createLoops();
    this.link = new ControlLink({
      members: this.members,
      client: this.client,
      bulkClient: this.bulkClient,
      logger,
      seedAddresses: () => seedInnerAddresses(this.settings),
      heldState: () => this.state,
      onState: state => this.applyState(state),
      onOutdated: held => this.raiseIncarnation(held),
    });
    this.ingress = this.createIngress();
    this.load = new LoadLog({
      host: this.host,
      metrics: this.metrics,
      logger,
      requestsInFlight: () => this.ingress.requestsInFlight,
    });
    this.inner = this.createInner();
    registerSchedulerMethods(this.router, {
      incarnation: () => this.incarnation,
      host: this.host,
      decisions: this.decisions,
      scheduler: this.scheduler,
      listReader: this.listReader,
      feed,
    });
  }

  async start(): Promise<void> {
    const {settings, logger} = this.options;
    registerProcessGauges(this.metrics);
    await this.inner.start();
    await this.ingress.start();
    this.sideServers.push(
      await startTextServer(settings.readinessAddress, () => ({
        isOk: this.isReady(),
        text: '',
      })),
      await startTextServer(settings.metricsAddress, () => ({
        isOk: true,
        text: this.metrics.toText(),
      })),
    );
    this.link.start();
    this.loops.start();
    this.load.start();
    logger.info(
      {event: 'started', region: settings.regionId, domain: settings.domainId},
      'the entry listens',
    );
  }

  /** Takes up changed settings; only the seeds may change while it runs. */
  reload(settings: IngressSettings): void {
    this.settings = settings;
    this.options.logger.info(
      {event: 'reloaded', seedAddresses: settings.seedAddresses},
      'the settings were read again',
    );
  }

  /** Leaves the directory, finishes what is in flight and closes. */
  async stop(): Promise<void> {
    const {logger, settings} = this.options;
    const startedAtMs = monotonicNowMs();
    this.isStopping = true;
    this.link.announceToAll();
    logger.info(
      {event: 'stopping', requestsInFlight: this.ingress.requestsInFlight},
      'a planned stop begins',
    );
    const latestMs = settings.stopGraceMs - STOP_MARGIN_MS;
    await waitUntil(() => {
      const passedMs = monotonicNowMs() - startedAtMs;
      const isIdle = this.ingress.requestsInFlight === 0;
      return passedMs >= latestMs || (isIdle && passedMs >= SHORTEST_STOP_MS);
    });
    await this.abort();
    logger.info(
      {event: 'stopped', requestsInFlight: this.ingress.requestsInFlight},
      'the entry stopped',
    );
  }

  /** Closes everything at once. */
  async abort(): Promise<void> {
    this.link.stop();
    this.load.stop();
    this.loops.stop();
    this.host.stop();
    this.ingress.close();
    this.sideServers.forEach(server => server.close());
    await Promise.all([
      this.connections.close(),
      this.client.close(),
      this.bulkClient.close(),
    ]);
    await this.inner.stop();
  }

  private isReady(): boolean {
    return this.matcher !== undefined && !this.isStopping;
  }

  private describe(): EntryInstance {
    const {settings} = this;
    return {
      instanceId: settings.instanceId,
      incarnation: this.incarnation,
      domain: settings.domainId,
      region: settings.regionId,
      innerAddress: settings.advertisedInnerAddress ?? settings.innerAddress,
      callersAddress: settings.callerAddress,
      isReady: this.isReady(),
      isStopping: this.isStopping,
      isScheduling: this.loops.schedulesEngines,
    };
  }

  private ownDomains(): readonly DomainId[] {
    const {settings} = this.options;
    return domainPlaces(settings)
      .filter(each => each.region === settings.regionId)
      .map(each => each.domain);
  }

  private createScheduler(): SchedulerClient {
    const {settings, logger} = this.options;
    const {instanceId: self} = settings;
    return new SchedulerClient({
      region: settings.regionId,
      self,
      domains: new DomainChoice({
        own: settings.domainId,
        domains: this.ownDomains(),
        evacuated: () => this.state.evacuatedDomains,
      }),
      members: this.members,
      client: this.client,
      logger,
      submitHere: parts => void this.host.submit(self, parts),
    });
  }

  private createListReader(): ListReader {
    const {settings, feed, logger} = this.options;
    return new ListReader({
      region: settings.regionId,
      domains: this.ownDomains(),
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
      domains: domainPlaces(settings),
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
      onLost: decisions => this.releaseLost(decisions),
    });
  }

  private createHost(): SchedulerHost {
    const {settings, logger} = this.options;
    const domains = Object.keys(settings.regionOfDomain).length;
    return new SchedulerHost({
      region: settings.regionId,
      logger,
      metrics: this.metrics,
      // Each domain's scheduler may use its share of the common slack.
      retries: {
        ratio: settings.retryRatio,
        windowMs: settings.retryWindowMs,
        slack: Math.floor(settings.retrySlack / domains),
      },
      serviceSpec: service => this.matcher?.service(service),
      deliver: decision => this.decisions.send(decision),
      onDown: () => setImmediate(() => this.loops.probeAll()),
    });
  }

  private createIngress(): IngressServer {
    const {settings, protocol, logger} = this.options;
    return new IngressServer({
      address: settings.callerAddress,
      matcher: () => this.matcher,
      waitForTable: waitMs => this.waitForTable(waitMs),
      isStopping: () => this.isStopping,
      context: {
        region: settings.regionId,
        self: settings.instanceId,
        protocol,
        members: this.members,
        scheduler: this.scheduler,
        connections: this.connections,
        relay: new Relay({
          self: settings.instanceId,
          clusterSecret: settings.clusterSecret,
          members: this.members,
          connections: this.connections,
        }),
        log: new RequestLog(logger, this.metrics),
        metrics: this.metrics,
      },
    });
  }

  private createInner(): InnerServer {
    const {innerAddress, clusterSecret} = this.options.settings;
    return new InnerServer({
      address: innerAddress,
      clusterSecret,
      router: this.router,
      handlers: new Map([
        [
          RELAY_PATH,
          (body, _request, response) =>
            this.ingress.receiveRelayed(body, response),
        ],
      ]),
    });
  }

  private waitForTable(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      this.tableWaiters.push(resolve);
      setTimeout(resolve, waitMs).unref();
    });
  }

  private raiseIncarnation(held: number): void {
    this.incarnation = held + 1;
    this.options.logger.warn(
      {event: 'incarnation_raised', held},
      'the wall clock went back since an earlier start of this entry',
    );
    this.link.announceToAll();
  }

  private applyState(state: ControlState): void {
    const before = this.state;
    this.state = state;
    const {table} = state;
    if (table !== undefined && table.version !== before.table?.version) {
      this.matcher = new RouteMatcher(table);
      this.ingress.applyLimits(table.limits);
      this.tableWaiters.splice(0).forEach(resume => resume());
    }
    this.host.applyControl(state.evacuatedDomains);
    void this.loops.refresh();
    this.link.announceToAll();
    this.options.logger.info(
      {
        event: 'state_in_force',
        revision: state.revision,
        version: table?.version ?? 0,
        evacuatedDomains: state.evacuatedDomains,
      },
      'a newer control state is in force',
    );
  }

  private releaseLost(decisions: readonly Decision[]): void {
    cancelledPlacements(decisions).forEach(({entry, part}) => {
      void this.host.submit(entry, [part]);
    });
  }
}
