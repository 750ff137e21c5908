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
import {toGatewayError, type GatewayError} from '../types/errors.js';
import type {
  DomainId,
  InstanceId,
  RegionId,
  ServiceId,
  UpstreamId,
} from '../types/ids.js';
import {BATCH_TIMEOUT_MS} from './batch_link.js';
import {DIGEST_METHOD, READ_LIST_METHOD} from './messages.js';
import type {ProbeTarget, SchedulerHost} from './scheduler_host.js';
import type {UpstreamFeed} from './upstream_feed.js';

/** Bounds how late a leaving upstream is noticed. */
const LIST_INTERVAL_MS = 1_000;
const DIGEST_INTERVAL_MS = 250;
const PROBE_INTERVAL_MS = 500;
/** Two round trips between regions and the reading itself. */
const DETOUR_TIMEOUT_MS = 900;

export interface RegionLoopsOptions {
  readonly region: RegionId;
  readonly domains: readonly DomainId[];
  readonly self: InstanceId;
  readonly members: FleetMembers;
  readonly host: SchedulerHost;
  readonly feed: UpstreamFeed;
  /** For digests. */
  readonly client: RpcClient;
  /** For readings of the list through another region. */
  readonly bulkClient: RpcClient;
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
    const {host, services, members} = this.options;
    services()
      .filter(({name}) => this.isOwn(name))
      .forEach(({name}) => host.ensure(name));
    host.dropIdle(service => this.isOwn(service));
    host.forgetMissing(entry => members.entry(entry) !== undefined);
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
    const {feed, metrics} = this.options;
    metrics.count('list_reads');
    const direct = feed.list(domain);
    // While the list is lost both ways are tried, so that the way through
    // another region does not wait for the time limit of the direct one.
    const detour = this.isListLost ? this.readThroughPeer(domain) : undefined;
    try {
      this.lastLists.set(domain, await direct);
      this.noteList(domain, undefined);
      return true;
    } catch (thrown) {
      this.noteList(domain, toGatewayError(thrown, 'list.read', domain));
      const upstreams = await (detour ?? this.readThroughPeer(domain));
      if (upstreams === undefined) return false;
      this.lastLists.set(domain, upstreams);
      return true;
    }
  }

  // A partition may cut this region from the list but not from other regions.
  private async readThroughPeer(
    domain: DomainId,
  ): Promise<readonly ListedUpstream[] | undefined> {
    const {members, region, bulkClient, metrics} = this.options;
    const nowMs = monotonicNowMs();
    const peers = members
      .regions()
      .filter(each => each !== region)
      .flatMap(each => members.rankedEntries(each, domain, nowMs).slice(0, 1));
    const answers = await Promise.all(
      peers.map(peer =>
        bulkClient.call<readonly ListedUpstream[]>(
          peer.innerAddress,
          READ_LIST_METHOD,
          {domain},
          DETOUR_TIMEOUT_MS,
        ),
      ),
    );
    metrics.count('list_reads_through_peers');
    return answers.find(answer => answer.isOk())?.unwrapOr([]);
  }

  private noteList(domain: DomainId, error: GatewayError | undefined): void {
    const {logger, metrics} = this.options;
    const isLost = error !== undefined;
    if (isLost) metrics.count('list_read_failures');
    if (isLost === this.isListLost) return;
    this.isListLost = isLost;
    if (!isLost) {
      logger.info({event: 'list_regained', domain}, 'the list answers again');
      return;
    }
    logger.warn(
      {event: 'list_lost', domain, err: error},
      'the list cannot be read directly; other regions are asked for it',
    );
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
    if (answer === undefined) {
      host.noteProbeFailure(target);
      return;
    }
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
