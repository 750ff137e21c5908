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
import type {
  InstanceId,
  RegionId,
  ServiceId,
  UpstreamId,
} from '../types/ids.js';
import {BATCH_TIMEOUT_MS} from './batch_link.js';
import type {ListReader} from './list_reader.js';
import {DIGEST_METHOD} from './messages.js';
import type {ProbeTarget, SchedulerHost} from './scheduler_host.js';
import type {UpstreamFeed} from './upstream_feed.js';

/** Bounds how late a leaving upstream is noticed. */
const LIST_INTERVAL_MS = 1_000;
const DIGEST_INTERVAL_MS = 250;
const PROBE_INTERVAL_MS = 500;

export interface RegionLoopsOptions {
  readonly region: RegionId;
  readonly reader: ListReader;
  readonly self: InstanceId;
  readonly members: FleetMembers;
  readonly host: SchedulerHost;
  readonly feed: UpstreamFeed;
  /** For digests. */
  readonly client: RpcClient;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly services: () => readonly ServiceSpec[];
}

/** The loops of one entry. */
export class RegionLoops {
  private timers: ReturnType<typeof setInterval>[] = [];
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
    const assigned = members.assignedEntry(region, service, monotonicNowMs());
    return assigned?.instanceId === self;
  }

  private async readList(): Promise<void> {
    const {host, reader} = this.options;
    this.claimServices();
    const isScheduler = host.services().some(each => this.isOwn(each));
    if (!isScheduler || this.isReading) return;
    this.isReading = true;
    const reading = await reader.read();
    this.isReading = false;
    if (reading !== undefined) host.applyReading(reading);
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
          const target = members.assignedEntry(each, digest.service, nowMs);
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
        service: target.service,
        upstream: target.upstreamId,
        coldRemainingMs: answer.coldRemainingMs,
      },
      'an upstream that was down or suspected answers its health check',
    );
    host.noteProbe(target, answer.coldRemainingMs);
  }
}
