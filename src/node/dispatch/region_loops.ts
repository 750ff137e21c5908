/**
 * The periodic work of an entry for the services that it schedules: reads the
 * platform's list, tells other regions of free capacity, probes upstreams.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {ServiceSpec} from '../routes/route_table.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {ListedUpstream} from '../scheduling/types.js';
import {toGatewayError} from '../types/errors.js';
import type {
  DomainId,
  InstanceId,
  RegionId,
  ServiceId,
  UpstreamId,
} from '../types/ids.js';
import {BATCH_TIMEOUT_MS} from './batch_link.js';
import {DIGEST_METHOD} from './messages.js';
import type {ProbeTarget, SchedulerHost} from './scheduler_host.js';
import type {UpstreamFeed} from './upstream_feed.js';

/** Bounds how late a leaving upstream is noticed. */
const LIST_INTERVAL_MS = 1_000;
const DIGEST_INTERVAL_MS = 250;
const PROBE_INTERVAL_MS = 500;

export interface RegionLoopsOptions {
  readonly region: RegionId;
  readonly domains: readonly DomainId[];
  readonly self: InstanceId;
  readonly members: FleetMembers;
  readonly host: SchedulerHost;
  readonly feed: UpstreamFeed;
  readonly client: RpcClient;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly services: () => readonly ServiceSpec[];
}

/** The loops of one entry. */
export class RegionLoops {
  private timers: ReturnType<typeof setInterval>[] = [];
  private readonly lastLists = new Map<DomainId, readonly ListedUpstream[]>();
  private isListLost = false;
  private isReading = false;
  private readonly probing = new Set<UpstreamId>();

  constructor(private readonly options: RegionLoopsOptions) {}

  start(): void {
    this.timers = [
      setInterval(() => void this.readList(), LIST_INTERVAL_MS),
      setInterval(() => this.sendDigests(), DIGEST_INTERVAL_MS),
      setInterval(() => this.probeAll(), PROBE_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
  }

  /** Takes up the services that fall to this entry, at once. */
  async refresh(): Promise<void> {
    this.claimServices();
    await this.readList();
  }

  private claimServices(): void {
    const {host, services} = this.options;
    services()
      .filter(({name}) => this.isOwn(name))
      .forEach(({name}) => host.ensure(name));
    host.dropIdle(service => this.isOwn(service));
  }

  private isOwn(service: ServiceId): boolean {
    const {members, region, self} = this.options;
    const [first] = members.rankedEntries(region, service, monotonicNowMs());
    return first?.instanceId === self;
  }

  private async readList(): Promise<void> {
    const {host, domains, feed} = this.options;
    this.claimServices();
    if (host.services().length === 0 || this.isReading) return;
    this.isReading = true;
    const readAtMs = monotonicNowMs();
    const read = await Promise.all(domains.map(each => this.readDomain(each)));
    this.isReading = false;
    if (!read.includes(true)) return;
    const upstreams = [...this.lastLists.values()].flat();
    host.applyReading({upstreams, readAtMs, lagMs: feed.lagMs});
  }

  private async readDomain(domain: DomainId): Promise<boolean> {
    const {feed, logger, metrics} = this.options;
    metrics.count('list_reads');
    try {
      this.lastLists.set(domain, await feed.list(domain));
      if (this.isListLost) {
        logger.info({event: 'list_regained', domain}, 'the list answers again');
      }
      this.isListLost = false;
      return true;
    } catch (thrown) {
      metrics.count('list_read_failures');
      if (!this.isListLost) {
        const error = toGatewayError(thrown, 'list.read', domain);
        logger.warn(
          {event: 'list_lost', domain, err: error},
          'the list of upstreams cannot be read; the last one holds',
        );
      }
      this.isListLost = true;
      return false;
    }
  }

  private sendDigests(): void {
    const {members, region, host, client} = this.options;
    const nowMs = monotonicNowMs();
    const digests = host.digests().filter(each => this.isOwn(each.service));
    members
      .regions()
      .filter(each => each !== region)
      .forEach(each =>
        digests.forEach(digest => {
          const [target] = members.rankedEntries(each, digest.service, nowMs);
          if (target === undefined) return;
          void client.call(
            target.innerAddress,
            DIGEST_METHOD,
            {digests: [digest]},
            BATCH_TIMEOUT_MS,
          );
        }),
      );
  }

  /** Probes every upstream that is down, each once at a time. */
  probeAll(): void {
    this.options.host.probeTargets().forEach(target => void this.probe(target));
  }

  private async probe(target: ProbeTarget): Promise<void> {
    const {feed, host, services, metrics, logger} = this.options;
    const spec = services().find(each => each.name === target.service);
    if (spec === undefined) return;
    metrics.count('health_probes', {service: target.service});
    this.probing.add(target.upstreamId);
    const answer = await feed.health(target.address, spec.healthPath);
    this.probing.delete(target.upstreamId);
    if (answer === undefined) return;
    const isOther =
      answer.upstreamId !== undefined &&
      answer.upstreamId !== target.upstreamId;
    if (isOther) return;
    logger.info(
      {
        event: 'probe_answered',
        upstream: target.upstreamId,
        coldRemainingMs: answer.coldRemainingMs,
      },
      'an upstream that was down is healthy',
    );
    host.noteProbe(target, answer.coldRemainingMs);
  }
}
