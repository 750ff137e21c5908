/**
 * Runs the periodic tasks of an entry's schedulers: reads the platform's list,
 * sends capacity digests to other domains, shares the evidence on crashes and
 * probes upstreams.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {DomainLocation, FleetMembers} from '../fleet/fleet_members.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {ServiceSpec} from '../routes/route_table.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {CapacityDigest} from '../scheduling/types.js';
import type {DomainId, InstanceId, RegionId, UpstreamId} from '../types/ids.js';
import {BATCH_TIMEOUT_MS} from './batch_link.js';
import type {ListReader} from './list_reader.js';
import {DIGEST_METHOD, type SchedulerScope} from './messages.js';
import type {ProbeTarget, SchedulerHost} from './scheduler_host.js';
import {SuspectExchange} from './suspect_exchange.js';
import type {UpstreamFeed} from './upstream_feed.js';
import {UpstreamProber} from './upstream_prober.js';

/** Bounds the delay until a removed upstream is noticed. */
const LIST_INTERVAL_MS = 1_000;
const DIGEST_INTERVAL_MS = 250;
/** One in this many digests names the prompt parts that the domain holds. */
const DIGESTS_PER_PARTS = 4;
const PROBE_INTERVAL_MS = 500;

export interface RegionLoopsOptions {
  readonly region: RegionId;
  /** All domains of the deployment. */
  readonly domains: readonly DomainLocation[];
  readonly reader: ListReader;
  readonly self: InstanceId;
  readonly members: FleetMembers;
  readonly host: SchedulerHost;
  readonly feed: UpstreamFeed;
  /** Sends the digests. */
  readonly client: RpcClient;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly services: () => readonly ServiceSpec[];
}

/** The periodic tasks of one entry. */
export class RegionLoops {
  private timers: ReturnType<typeof setInterval>[] = [];
  private isReading = false;
  private digestRounds = 0;
  /** Whether this entry schedules a service with model engines. */
  schedulesEngines = false;
  private readonly probing = new Set<UpstreamId>();

  private readonly suspects: SuspectExchange;
  private readonly prober: UpstreamProber;

  constructor(private readonly options: RegionLoopsOptions) {
    const {host} = options;
    this.prober = new UpstreamProber(options);
    this.suspects = new SuspectExchange({
      ...options,
      evidence: host.evidence,
      schedulerCount: () => host.scopes().length,
    });
  }

  start(): void {
    this.suspects.start();
    this.timers = [
      setInterval(() => void this.readList(), LIST_INTERVAL_MS),
      setInterval(() => this.sendDigests(), DIGEST_INTERVAL_MS),
      setInterval(() => this.probeAll(), PROBE_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.suspects.stop();
    this.timers.forEach(timer => clearInterval(timer));
  }

  /** Starts this entry's schedulers and reads the list without delay. */
  async refresh(): Promise<void> {
    await this.readList();
  }

  /** Reads the list at once, as a scheduler that has just started needs it. */
  async readNow(): Promise<void> {
    const {host, reader} = this.options;
    if (this.isReading) return;
    this.isReading = true;
    const reading = await reader.read();
    this.isReading = false;
    if (reading !== undefined) host.applyReading(reading);
  }

  private claimScopes(): void {
    const {host, services, members} = this.options;
    const own = services().flatMap(spec =>
      this.ownDomains()
        .map(domain => ({spec, scope: {service: spec.name, domain}}))
        .filter(({scope}) => this.isOwn(scope)),
    );
    own.forEach(({scope}) => host.ensureScheduler(scope));
    this.schedulesEngines = own.some(({spec}) => spec.engine !== undefined);
    host.dropIdle(scope => this.isOwn(scope));
    host.pruneEntries(entry => members.entry(entry) !== undefined);
  }

  private ownDomains(): readonly DomainId[] {
    const {region, domains} = this.options;
    return domains
      .filter(each => each.region === region)
      .map(({domain}) => domain);
  }

  private isOwn({service, domain}: SchedulerScope): boolean {
    const {members, region, self} = this.options;
    const scheduler = members.schedulerOf(
      {domain, region},
      service,
      monotonicNowMs(),
    );
    return scheduler?.instanceId === self;
  }

  private async readList(): Promise<void> {
    this.claimScopes();
    const isScheduler = this.options.host
      .scopes()
      .some(each => this.isOwn(each));
    if (isScheduler) await this.readNow();
  }

  private sendDigests(): void {
    const {host, client, members} = this.options;
    const own = host.digests().filter(each => this.isOwn(each));
    const isCutOff = members.isOwnRegionCutOff(monotonicNowMs());
    const hasParts = this.digestRounds % DIGESTS_PER_PARTS === 0;
    this.digestRounds += 1;
    const sized = hasParts ? own : own.map(withoutParts);
    const digests = isCutOff ? sized.map(withoutCapacity) : sized;
    host.recordDigests(digests);
    const byAddress = new Map<string, CapacityDigest[]>();
    digests.forEach(digest =>
      this.receiversOf(digest).forEach(address =>
        byAddress.set(address, [...(byAddress.get(address) ?? []), digest]),
      ),
    );
    byAddress.forEach((batch, address) => {
      const message = {digests: batch};
      void client.call(address, DIGEST_METHOD, message, BATCH_TIMEOUT_MS);
    });
  }

  /** Addresses of the entries that schedule the service in other domains. */
  private receiversOf({domain, service}: CapacityDigest): readonly string[] {
    const {members, self, domains} = this.options;
    const nowMs = monotonicNowMs();
    const schedulers = domains
      .filter(each => each.domain !== domain)
      .flatMap(each => members.schedulerOf(each, service, nowMs) ?? [])
      .filter(each => each.instanceId !== self);
    return [...new Set(schedulers.map(each => each.innerAddress))];
  }

  /** Probes upstreams that are down or suspected, one probe at a time each. */
  probeAll(): void {
    this.options.host
      .probeTargets()
      .filter(({upstreamId}) => !this.probing.has(upstreamId))
      .forEach(target => void this.probe(target));
  }

  private async probe(target: ProbeTarget): Promise<void> {
    const {host, services, metrics, logger} = this.options;
    const spec = services().find(each => each.name === target.service);
    if (spec === undefined) return;
    metrics.count('health_probes', {service: target.service});
    this.probing.add(target.upstreamId);
    const result = await this.prober.probe(target.address, spec.healthPath);
    this.probing.delete(target.upstreamId);
    if (result.kind !== 'healthy') {
      host.noteProbeFailure(target, result.kind === 'refused');
      return;
    }
    const isDifferentUpstream =
      result.upstreamId !== undefined &&
      result.upstreamId !== target.upstreamId;
    if (isDifferentUpstream) return;
    logger.info(
      {
        event: 'probe_answered',
        service: target.service,
        upstream: target.upstreamId,
        coldRemainingMs: result.coldRemainingMs,
      },
      'upstream that was down or suspected answered its health check',
    );
    host.noteProbe(target, result.coldRemainingMs);
  }
}

function withoutParts({
  heldParts: _heldParts,
  ...digest
}: CapacityDigest): CapacityDigest {
  return digest;
}

function withoutCapacity(digest: CapacityDigest): CapacityDigest {
  return {...digest, upstreams: 0, freeSlots: 0, softwareVersions: []};
}
