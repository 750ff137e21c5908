/** Runs the scheduling of one region's entries over an in-memory network. */
import {MemoryNetwork} from '../../../__tests__/support/memory_network.js';
import {monotonicNowMs} from '../../../clock/clock.js';
import {FleetMembers} from '../../../fleet/fleet_members.js';
import type {EntryInstance} from '../../../fleet/messages.js';
import type {Logger} from '../../../logging/logger.js';
import {MetricsRegistry} from '../../../metrics/registry.js';
import type {ServiceSpec} from '../../../routes/route_table.js';
import {RpcRouter} from '../../../rpc/rpc.js';
import {HOME} from '../../../scheduling/__tests__/scheduling_fixture.js';
import type {ListedUpstream} from '../../../scheduling/types.js';
import {asId, type DomainId, type InstanceId} from '../../../types/ids.js';
import {registerSchedulerMethods} from '../../../ingress/scheduler_calls.js';
import {DecisionSender} from '../../decision_sender.js';
import {DomainChoice} from '../../domain_choice.js';
import {SchedulerClient} from '../../scheduler_client.js';
import {SchedulerHost} from '../../scheduler_host.js';
import {UpstreamLimits} from '../../upstream_limits.js';
import {SuspectExchange} from '../../suspect_exchange.js';

const SPEC = {
  name: 'service',
  coldRequestsPerS: 0,
  engine: {kvCacheTokens: 243_790, tokensPerEvent: 9, fetchMsPerToken: 0},
} as unknown as ServiceSpec;
const SILENT = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
} as unknown as Logger;

/** One entry with its scheduler host and client. */
export interface RegionEntry {
  readonly instance: EntryInstance;
  readonly members: FleetMembers;
  readonly host: SchedulerHost;
  readonly client: SchedulerClient;
  readonly suspects: SuspectExchange;
}

export interface MemoryRegionOptions {
  readonly domains: readonly DomainId[];
  readonly entriesInDomain: number;
  readonly upstreams: readonly ListedUpstream[];
  readonly evacuated?: readonly DomainId[];
}

/** A region whose entries are members of the fleet from the start. */
export class MemoryRegion {
  readonly network = new MemoryNetwork();
  readonly entries: readonly RegionEntry[];

  constructor(private readonly options: MemoryRegionOptions) {
    const {domains, entriesInDomain} = options;
    const instances = domains.flatMap(domain =>
      Array.from({length: entriesInDomain}, (_, index) =>
        instanceOf(`${domain}-${index}`, domain),
      ),
    );
    this.entries = instances.map(each => this.createEntry(each, instances));
  }

  /** Delivers the capacity digest of every scheduler to the others. */
  shareDigests(): void {
    const digests = this.entries.flatMap(({host}) => host.digests());
    this.entries.forEach(({host}) => host.recordDigests(digests));
  }

  stop(): void {
    this.entries.forEach(({host, suspects}) => {
      suspects.stop();
      host.stop();
    });
  }

  private createEntry(
    instance: EntryInstance,
    instances: readonly EntryInstance[],
  ): RegionEntry {
    const {domains, upstreams, evacuated = []} = this.options;
    const {instanceId: self, innerAddress, domain} = instance;
    const members = new FleetMembers(() => instance);
    members.updateView(
      asId<InstanceId>('control'),
      {view: {viewId: '1', entries: instances, controlMembers: []}},
      monotonicNowMs(),
    );
    const router = new RpcRouter();
    const rpc = this.network.attach(innerAddress, self, router);
    const host: SchedulerHost = new SchedulerHost({
      region: HOME,
      retries: {ratio: 0.2, windowMs: 10_000, slack: 18},
      logger: SILENT,
      metrics: new MetricsRegistry(),
      serviceSpec: () => SPEC,
      deliver: decision => decisions.send(decision),
      onDown: () => undefined,
      onStarted: () => undefined,
    });
    const client = new SchedulerClient({
      region: HOME,
      self,
      domains: new DomainChoice({
        own: domain,
        domains,
        evacuated: () => evacuated,
      }),
      members,
      client: rpc,
      logger: SILENT,
      limits: new UpstreamLimits(),
      submitHere: parts => void host.submit(self, parts),
    });
    const decisions = new DecisionSender({
      self,
      members,
      client: rpc,
      deliverHere: decided => client.deliver(self, decided),
      onLost: () => undefined,
    });
    registerSchedulerMethods(router, {
      incarnation: () => 1,
      host,
      decisions,
      scheduler: client,
      listReader: {share: () => Promise.resolve(null)},
      feed: {
        list: () => Promise.resolve([]),
        health: () => Promise.resolve({kind: 'unhealthy'}),
      },
    });
    host.applyControl(evacuated);
    host.applyReading({readAtMs: monotonicNowMs(), lagMs: 0, upstreams});
    const suspects = new SuspectExchange({
      evidence: host.evidence,
      domains: domains.map(each => ({domain: each, region: HOME})),
      region: HOME,
      self,
      members,
      client: rpc,
      logger: SILENT,
      metrics: new MetricsRegistry(),
      services: () => [SPEC],
      schedulerCount: () => host.scopes().length,
    });
    suspects.start();
    return {instance, members, host, client, suspects};
  }
}

function instanceOf(name: string, domain: DomainId): EntryInstance {
  return {
    instanceId: asId<InstanceId>(name),
    incarnation: 1,
    domain,
    region: HOME,
    innerAddress: `${name}:1`,
    callersAddress: `${name}:2`,
    isReady: true,
    isStopping: false,
    isScheduling: false,
  };
}
