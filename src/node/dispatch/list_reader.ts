/**
 * Reads the platform's list of upstreams for a region. To limit calls to the
 * platform, one entry of the region reads the list and the others ask that
 * entry. An entry that gets no answer reads the list itself.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {ListedUpstream, ListReading} from '../scheduling/types.js';
import {toGatewayError, type GatewayError} from '../types/errors.js';
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';
import {READ_LIST_METHOD, READ_REGION_METHOD} from './messages.js';
import type {UpstreamFeed} from './upstream_feed.js';

/** Job name by which the reader entry of a region is assigned. */
const READER_JOB = 'list.reader';
/** A reading younger than this is reused. */
const READING_TTL_MS = 700;
/** Shorter than the interval between readings, so that none is skipped. */
const READER_TIMEOUT_MS = 400;
/** Two round trips between regions and the reading itself. */
const PEER_READ_TIMEOUT_MS = 900;

/** The answer of the reader entry. */
export interface SharedReading {
  readonly upstreams: readonly ListedUpstream[];
  /** Time since the reading was requested. */
  readonly ageMs: number;
}

export interface ListReaderOptions {
  readonly region: RegionId;
  readonly domains: readonly DomainId[];
  readonly self: InstanceId;
  readonly members: FleetMembers;
  readonly feed: UpstreamFeed;
  readonly client: RpcClient;
  /** For readings through another region. */
  readonly bulkClient: RpcClient;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
}

/** Reads the list on behalf of one entry. */
export class ListReader {
  private readonly lastLists = new Map<DomainId, readonly ListedUpstream[]>();
  private isListLost = false;
  private reading: ListReading | undefined;
  private readingInFlight: Promise<ListReading | undefined> | undefined;

  constructor(private readonly options: ListReaderOptions) {}

  /** The upstreams of the region; `undefined` if the list cannot be read. */
  async read(): Promise<ListReading | undefined> {
    const {members, region, self} = this.options;
    const nowMs = monotonicNowMs();
    const reader = members.assignedEntry(region, READER_JOB, nowMs);
    if (reader === undefined || reader.instanceId === self) {
      return this.current();
    }
    const shared = await this.options.client.call<SharedReading | null>(
      reader.innerAddress,
      READ_REGION_METHOD,
      {},
      READER_TIMEOUT_MS,
    );
    const value = shared.unwrapOr(null);
    if (value === null) return this.current();
    // Counted from the time of the call, so the reading is never taken for
    // younger than it is.
    const readAtMs = nowMs - value.ageMs;
    const {upstreams} = value;
    return {upstreams, readAtMs, lagMs: this.options.feed.lagMs};
  }

  /** Answers a `READ_REGION_METHOD` call; `null` if the list cannot be read. */
  async share(): Promise<SharedReading | null> {
    const askedAtMs = monotonicNowMs();
    const reading = await this.current();
    if (reading === undefined) return null;
    const ageMs = Math.max(0, askedAtMs - reading.readAtMs);
    return {upstreams: reading.upstreams, ageMs};
  }

  /** The last reading of this entry if it is fresh, else a new one. */
  private async current(): Promise<ListReading | undefined> {
    const {reading} = this;
    const isFresh =
      reading !== undefined &&
      monotonicNowMs() - reading.readAtMs < READING_TTL_MS;
    if (isFresh) return reading;
    this.readingInFlight ??= this.readAll().finally(() => {
      this.readingInFlight = undefined;
    });
    return this.readingInFlight;
  }

  private async readAll(): Promise<ListReading | undefined> {
    const {domains, feed} = this.options;
    const readAtMs = monotonicNowMs();
    const read = await Promise.all(domains.map(each => this.readDomain(each)));
    if (!read.includes(true)) return undefined;
    const upstreams = [...this.lastLists.values()].flat();
    this.reading = {upstreams, readAtMs, lagMs: feed.lagMs};
    return this.reading;
  }

  private async readDomain(domain: DomainId): Promise<boolean> {
    const {feed, metrics} = this.options;
    metrics.count('list_reads');
    const direct = feed.list(domain);
    // While direct reads fail, a read through another region is started at the
    // same time, so that it does not wait for the direct read to time out.
    const viaPeer = this.isListLost ? this.readThroughPeer(domain) : undefined;
    try {
      this.lastLists.set(domain, await direct);
      this.noteListResult(domain, undefined);
      return true;
    } catch (thrown) {
      this.noteListResult(domain, toGatewayError(thrown, 'list.read', domain));
      const upstreams = await (viaPeer ?? this.readThroughPeer(domain));
      if (upstreams === undefined) return false;
      this.lastLists.set(domain, upstreams);
      return true;
    }
  }

  // A partition may cut this region off from the list but not from other
  // regions.
  private async readThroughPeer(
    domain: DomainId,
  ): Promise<readonly ListedUpstream[] | undefined> {
    const {members, region, bulkClient, metrics} = this.options;
    const nowMs = monotonicNowMs();
    const peers = members
      .regions()
      .filter(each => each !== region)
      .flatMap(each => members.assignedEntry(each, domain, nowMs) ?? []);
    const answers = await Promise.all(
      peers.map(peer =>
        bulkClient.call<readonly ListedUpstream[]>(
          peer.innerAddress,
          READ_LIST_METHOD,
          {domain},
          PEER_READ_TIMEOUT_MS,
        ),
      ),
    );
    metrics.count('list_reads_through_peers');
    return answers.find(answer => answer.isOk())?.unwrapOr([]);
  }

  private noteListResult(
    domain: DomainId,
    error: GatewayError | undefined,
  ): void {
    const {logger, metrics} = this.options;
    const isLost = error !== undefined;
    if (isLost) metrics.count('list_read_failures');
    if (isLost === this.isListLost) return;
    this.isListLost = isLost;
    if (!isLost) {
      logger.info(
        {event: 'list_regained', domain},
        'list can be read directly again',
      );
      return;
    }
    logger.warn(
      {event: 'list_lost', domain, err: error},
      'list cannot be read directly; reading it through other regions',
    );
  }
}
