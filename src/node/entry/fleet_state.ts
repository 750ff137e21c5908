/**
 * This instance's view of the fleet: the configured upstreams combined with
 * gossip, its own requests in flight and the health of each upstream.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration, UpstreamConfig} from '../config/configuration.js';
import type {DomainView, PoolSummary} from '../decisions/fleet/domain_view.js';
import type {FleetView} from '../decisions/fleet/fleet_view.js';
import type {LoadReport} from '../decisions/fleet/load_report.js';
import {
  poolOfModel,
  poolOfService,
  poolOfWorkload,
  type PoolId,
} from '../decisions/fleet/pool.js';
import type {UpstreamView} from '../decisions/fleet/upstream_view.js';
import {HealthTracker} from '../decisions/health/health_tracker.js';
import {reservedSlots} from '../decisions/routing/reserve.js';
import {slowStartWeight} from '../decisions/health/slow_start.js';
import type {
  DomainSummary,
  MembershipView,
  SharedLoadReport,
} from '../membership/membership_view.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type ModelId,
  type RegionId,
  type UpstreamId,
} from '../types/ids.js';

/** Assumed service time of a plain service call before the first measurement. */
const DEFAULT_SERVICE_MS = 50;
/** Tokens in a typical answer, to estimate the service time of a model call. */
const TYPICAL_ANSWER_TOKENS = 32;
/** Weight of the newest sample in the moving averages of measured times. */
const MOVING_AVERAGE_WEIGHT = 0.05;
/** Confidence in the known cache state of an upstream after a gap in its events. */
const CONFIDENCE_AFTER_GAP = 0.6;
/** Time over which a domain that is reachable again ramps up to its full share. */
const DOMAIN_RAMP_MS = 30_000;

/** Identity and location of an instance. */
export interface EntryIdentity {
  readonly instanceId: InstanceId;
  readonly domainId: DomainId;
  readonly regionId: RegionId;
}

/** The upstreams that may serve each pool, by domain. */
type PoolUpstreams = ReadonlyMap<
  DomainId,
  ReadonlyMap<PoolId, readonly UpstreamConfig[]>
>;

/** State kept about another domain between its summaries. */
interface TrackedDomain {
  wasStale: boolean;
  returnedAtMs: number | undefined;
  lastAgeMs: number;
  /** Requests forwarded to the domain since its latest summary, by pool. */
  forwardedCounts: Map<PoolId, number>;
}

/** Combines the sources and provides the view on which decisions are based. */
export class FleetState {
  readonly health = new HealthTracker();
  private configuration: Configuration | undefined;
  private readonly inFlight = new Map<UpstreamId, number>();
  private readonly meanServiceMs = new Map<UpstreamId, number>();
  private readonly reports = new Map<UpstreamId, LoadReport>();
  private readonly domains = new Map<DomainId, TrackedDomain>();
  private readonly meanFirstTokenMs = new Map<PoolId, number>();
  private readonly arrivals = new Map<PoolId, number>();
  private urgentPoolIds: ReadonlySet<PoolId> = new Set();
  private poolUpstreams: PoolUpstreams = new Map();

  constructor(
    readonly identity: EntryIdentity,
    private readonly membership: MembershipView,
  ) {}

  /**
   * Applies a configuration. Upstreams that are added after the first one go
   * through slow start.
   */
  configure(configuration: Configuration): void {
    const isFirst = this.configuration === undefined;
    const previous = new Set(
      this.localUpstreams().map(each => each.upstreamId),
    );
    this.configuration = configuration;
    this.urgentPoolIds = urgentPools(configuration);
    this.poolUpstreams = indexPools(configuration);
    const current = this.localUpstreams();
    const currentIds = new Set(current.map(each => each.upstreamId));
    current
      .filter(each => !previous.has(each.upstreamId))
      .forEach(({upstreamId}) =>
        isFirst
          ? this.health.add(upstreamId)
          : this.health.addReturning(upstreamId, monotonicNowMs()),
      );
    [...previous]
      .filter(upstreamId => !currentIds.has(upstreamId))
      .forEach(upstreamId => this.health.remove(upstreamId));
  }

  /** The upstreams of this instance's domain. */
  localUpstreams(): readonly UpstreamConfig[] {
    const upstreams = this.configuration?.upstreams ?? [];
    return upstreams.filter(each => each.domainId === this.identity.domainId);
  }

  findUpstream(upstreamId: UpstreamId): UpstreamConfig | undefined {
    return this.localUpstreams().find(each => each.upstreamId === upstreamId);
  }

  recordStart(upstreamId: UpstreamId): void {
    this.inFlight.set(upstreamId, this.ownInFlight(upstreamId) + 1);
  }

  /** Counts the end of a request; `serviceMs` is set if it ran to completion. */
  recordEnd(upstreamId: UpstreamId, serviceMs?: number): void {
    const count = Math.max(0, this.ownInFlight(upstreamId) - 1);
    this.inFlight.set(upstreamId, count);
    if (serviceMs === undefined) return;
    const mean = this.meanServiceMs.get(upstreamId) ?? serviceMs;
    this.meanServiceMs.set(
      upstreamId,
      mean + (serviceMs - mean) * MOVING_AVERAGE_WEIGHT,
    );
  }

  /** Counts a call from this instance's callers, wherever it will run. */
  recordArrival(poolId: PoolId): void {
    this.arrivals.set(poolId, (this.arrivals.get(poolId) ?? 0) + 1);
  }

  /** Calls counted since the start, by pool. */
  arrivalCounts(): ReadonlyMap<PoolId, number> {
    return new Map(this.arrivals);
  }

  /** Mean time that a call occupies a slot of the pool's local upstreams. */
  poolServiceMs(poolId: PoolId): number {
    const members = this.localUpstreams().filter(each =>
      configuredPools(each).includes(poolId),
    );
    const total = members.reduce((sum, each) => sum + this.serviceMs(each), 0);
    return total / Math.max(1, members.length);
  }

  /** Records the time from slot grant to the first token of an answer. */
  recordFirstToken(poolId: PoolId, firstTokenMs: number): void {
    const mean = this.meanFirstTokenMs.get(poolId) ?? firstTokenMs;
    this.meanFirstTokenMs.set(
      poolId,
      mean + (firstTokenMs - mean) * MOVING_AVERAGE_WEIGHT,
    );
  }

  /** Mean time from slot grant to first token, if any was measured. */
  firstTokenMs(poolId: PoolId): number | undefined {
    return this.meanFirstTokenMs.get(poolId);
  }

  recordForwarded(domainId: DomainId, poolId: PoolId): void {
    const {forwardedCounts} = this.trackedDomain(domainId);
    forwardedCounts.set(poolId, (forwardedCounts.get(poolId) ?? 0) + 1);
  }

  /** This instance's requests in flight by upstream, to publish by gossip. */
  ownInFlightCounts(): ReadonlyMap<UpstreamId, number> {
    return this.inFlight;
  }

  /** Applies the load reports and summaries received since the last call. */
  refresh(nowMs: number): void {
    this.membership.loadReports().forEach((shared, upstreamId) => {
      this.applyReport(upstreamId, shared, nowMs);
    });
    this.membership
      .domainSummaries()
      .forEach(summary => this.trackSummary(summary, nowMs));
  }

  view(nowMs: number): FleetView {
    const others = this.membership.inFlightOfOthers();
    // Read once for all upstreams, because each call decodes every report.
    const reports = this.membership.loadReports();
    return {
      domainId: this.identity.domainId,
      regionId: this.identity.regionId,
      upstreams: this.localUpstreams().map(each =>
        this.upstreamView(each, reports.get(each.upstreamId), others, nowMs),
      ),
      otherDomains: this.membership
        .domainSummaries()
        .flatMap(summary => this.domainView(summary, nowMs)),
      liveEntryCount: Math.max(1, this.membership.liveMembers().length),
    };
  }

  private upstreamView(
    upstream: UpstreamConfig,
    shared: SharedLoadReport | undefined,
    others: ReadonlyMap<UpstreamId, number>,
    nowMs: number,
  ): UpstreamView {
    const {upstreamId} = upstream;
    const verdict = this.health.verdict(upstreamId, nowMs);
    const poolIds = servedPools(upstream, shared);
    return {
      upstreamId,
      poolIds,
      slotCount: upstream.slotCount,
      reservedSlots: reservedSlots(
        {poolIds, slotCount: upstream.slotCount},
        this.urgentPoolIds,
      ),
      costMicros: upstream.costMicros,
      state: verdict.state,
      weight: verdict.weight,
      cacheConfidence:
        shared?.cacheEventGap === true ? CONFIDENCE_AFTER_GAP : 1,
      meanServiceMs: this.serviceMs(upstream),
      report: this.reports.get(upstreamId),
      ownInFlight: this.ownInFlight(upstreamId),
      peers: [
        {
          instanceId: asId<InstanceId>('others'),
          inFlightCount: others.get(upstreamId) ?? 0,
          takenAtMs: nowMs,
        },
      ],
    };
  }

  private applyReport(
    upstreamId: UpstreamId,
    shared: SharedLoadReport,
    nowMs: number,
  ): void {
    const known = this.reports.get(upstreamId);
    if (known !== undefined && known.takenAtMs >= shared.takenAtMs) return;
    this.reports.set(upstreamId, {
      takenAtMs: shared.takenAtMs,
      runningCount: shared.running,
      waitingCount: shared.queued,
      ownInFlightAtReport: this.ownInFlight(upstreamId),
    });
    if (shared.leaving) {
      this.health.markLeaving(upstreamId, 'notice', nowMs);
    } else {
      this.health.clearLeaving(upstreamId, 'notice', nowMs);
    }
  }

  // An age that decreases shows that a newer summary has arrived; forwarded
  // requests are counted anew from then on.
  private trackSummary(summary: DomainSummary, nowMs: number): void {
    const tracked = this.trackedDomain(summary.domainId);
    if (summary.ageMs < tracked.lastAgeMs) tracked.forwardedCounts = new Map();
    tracked.lastAgeMs = summary.ageMs;
    if (tracked.wasStale && !summary.stale) tracked.returnedAtMs = nowMs;
    tracked.wasStale = summary.stale;
  }

  private domainView(
    summary: DomainSummary,
    nowMs: number,
  ): readonly DomainView[] {
    const regionId = this.regionOf(summary.domainId);
    if (regionId === undefined) return [];
    const tracked = this.trackedDomain(summary.domainId);
    return [
      {
        domainId: summary.domainId,
        regionId,
        receivedAtMs: nowMs - summary.ageMs,
        isReachable: !summary.stale,
        weight: slowStartWeight(tracked.returnedAtMs, nowMs, DOMAIN_RAMP_MS),
        pools: summary.offers.map(offer =>
          this.poolSummary(summary.domainId, offer),
        ),
        sentSinceSummary: tracked.forwardedCounts,
      },
    ];
  }

  private poolSummary(
    domainId: DomainId,
    offer: DomainSummary['offers'][number],
  ): PoolSummary {
    const poolId = asId<PoolId>(offer.modelId);
    const members = this.poolUpstreams.get(domainId)?.get(poolId) ?? [];
    return {
      poolId,
      slotCount: members.reduce((sum, each) => sum + each.slotCount, 0),
      freeSlots: offer.freeSlots,
      rankWaits: offer.rankWaits,
      meanServiceMs: Math.max(
        DEFAULT_SERVICE_MS,
        ...members.map(each => this.serviceMs(each)),
      ),
      costMicros: offer.priceMicros,
    };
  }

  private serviceMs(upstream: UpstreamConfig): number {
    const measured = this.meanServiceMs.get(upstream.upstreamId);
    if (measured !== undefined) return measured;
    const models = (this.configuration?.models ?? []).filter(model =>
      upstream.modelIds.includes(model.modelId),
    );
    if (models.length === 0) return DEFAULT_SERVICE_MS;
    const typical = models.map(
      model => model.prefillMs + model.decodeMs * TYPICAL_ANSWER_TOKENS,
    );
    return typical.reduce((sum, each) => sum + each, 0) / typical.length;
  }

  private ownInFlight(upstreamId: UpstreamId): number {
    return this.inFlight.get(upstreamId) ?? 0;
  }

  private regionOf(domainId: DomainId): RegionId | undefined {
    return this.configuration?.regions.find(region =>
      region.domainIds.includes(domainId),
    )?.regionId;
  }

  private trackedDomain(domainId: DomainId): TrackedDomain {
    const known = this.domains.get(domainId);
    if (known !== undefined) return known;
    const created: TrackedDomain = {
      wasStale: false,
      returnedAtMs: undefined,
      lastAgeMs: 0,
      forwardedCounts: new Map(),
    };
    this.domains.set(domainId, created);
    return created;
  }
}

/** The pools that the configuration lets an upstream serve. */
export function configuredPools(upstream: UpstreamConfig): readonly PoolId[] {
  if (upstream.kind === 'service') {
    return [poolOfService(upstream.serviceName ?? upstream.upstreamId)];
  }
  return upstream.modelIds.map(poolOfModel);
}

// A view contains each pool of each domain. Searching all upstreams for each of
// them would take a millisecond per view at 600 workers.
function indexPools(configuration: Configuration): PoolUpstreams {
  const index = new Map<DomainId, Map<PoolId, UpstreamConfig[]>>();
  configuration.upstreams.forEach(upstream => {
    const pools = index.get(upstream.domainId) ?? new Map();
    index.set(upstream.domainId, pools);
    new Set(configuredPools(upstream)).forEach(poolId =>
      pools.set(poolId, [...(pools.get(poolId) ?? []), upstream]),
    );
  });
  return index;
}

/** The pools used by workloads of the most urgent rank. */
function urgentPools(configuration: Configuration): ReadonlySet<PoolId> {
  const mostUrgent = [...configuration.ranks].sort(
    (left, right) => left.priority - right.priority,
  )[0];
  return new Set(
    configuration.workspaces.flatMap(workspace =>
      workspace.workloads
        .filter(workload => workload.rankId === mostUrgent?.rankId)
        .map(poolOfWorkload),
    ),
  );
}

// Until the first report arrives, an engine is assumed to have all its
// configured models loaded; a refusal corrects that within one request.
function servedPools(
  upstream: UpstreamConfig,
  shared: SharedLoadReport | undefined,
): readonly PoolId[] {
  if (upstream.kind === 'service' || shared === undefined) {
    return configuredPools(upstream);
  }
  return shared.loadedModels.map((modelId: ModelId) => poolOfModel(modelId));
}
