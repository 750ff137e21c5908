/** What one entry knows in a run, and the `FleetView` made of it. */
import type {Configuration, InstanceConfig} from '../config/configuration.js';
import {
  AdmissionQueue,
  HealthTracker,
  poolCapacity,
  poolOfModel,
  poolOfWorkload,
  reservedSlots,
  RetryBudgets,
  type DomainView,
  type FleetView,
  type LoadReport,
  type PeerInFlight,
  type PoolId,
  type PoolSummary,
} from '../decisions/index.js';
import type {DomainId, InstanceId, RankId, UpstreamId} from '../types/ids.js';

/** Weight of one finished request in the means of an entry. */
const MEAN_WEIGHT = 0.05;
/** Tokens of an answer, before any was seen. */
const EXPECTED_TOKENS = 150;

interface SentAway {
  readonly poolId: PoolId;
  readonly atMs: number;
}

interface DomainState {
  view: DomainView;
  sent: SentAway[];
}

/** A mean that follows recent values. */
class RecentMean {
  constructor(private value: number) {}

  get mean(): number {
    return this.value;
  }

  add(value: number): void {
    this.value += (value - this.value) * MEAN_WEIGHT;
  }
}

/** The state of one entry. */
export class EntryState {
  readonly admission: AdmissionQueue;
  readonly budgets: RetryBudgets;
  readonly health = new HealthTracker();
  readonly pools: readonly PoolId[];
  /** Tokens of the answers of each rank. */
  readonly tokens: ReadonlyMap<RankId, RecentMean>;
  private readonly urgentPoolIds: ReadonlySet<PoolId>;
  /** Time from a slot to the first token. */
  readonly firstToken: RecentMean;
  readonly wasAway = new Map<string, boolean>();
  private readonly ownInFlight = new Map<UpstreamId, number>();
  private readonly service = new Map<UpstreamId, RecentMean>();
  private readonly reports = new Map<UpstreamId, LoadReport>();
  private readonly peers = new Map<
    InstanceId,
    {counts: ReadonlyMap<UpstreamId, number>; takenAtMs: number}
  >();
  private readonly domains = new Map<DomainId, DomainState>();

  constructor(
    readonly instance: InstanceConfig,
    private readonly configuration: Configuration,
  ) {
    const {policy, ranks, models, upstreams} = configuration;
    this.admission = new AdmissionQueue({
      ranks,
      maxQueued: policy.maxQueuedPerEntry,
    });
    this.budgets = new RetryBudgets(policy.retryBudgetShare);
    this.pools = models.map(model => poolOfModel(model.modelId));
    this.urgentPoolIds = new Set(
      configuration.workspaces.flatMap(workspace =>
        workspace.workloads
          .filter(workload => workload.rankId === ranks[0]?.rankId)
          .map(poolOfWorkload),
      ),
    );
    this.tokens = new Map(
      ranks.map(rank => [rank.rankId, new RecentMean(EXPECTED_TOKENS)]),
    );
    this.firstToken = new RecentMean(models[0]?.prefillMs ?? 0);
    upstreams
      .filter(each => each.domainId === instance.domainId)
      .forEach(each => {
        this.health.add(each.upstreamId);
        this.service.set(each.upstreamId, new RecentMean(3_000));
      });
  }

  inFlightCounts(): ReadonlyMap<UpstreamId, number> {
    return new Map(this.ownInFlight);
  }

  inFlight(upstreamId: UpstreamId): number {
    return this.ownInFlight.get(upstreamId) ?? 0;
  }

  addInFlight(upstreamId: UpstreamId, change: number): void {
    this.ownInFlight.set(upstreamId, this.inFlight(upstreamId) + change);
  }

  recordService(upstreamId: UpstreamId, serviceMs: number): void {
    this.service.get(upstreamId)?.add(serviceMs);
  }

  onReport(upstreamId: UpstreamId, report: LoadReport): void {
    this.reports.set(upstreamId, report);
  }

  onPeer(
    instanceId: InstanceId,
    counts: ReadonlyMap<UpstreamId, number>,
    takenAtMs: number,
  ): void {
    this.peers.set(instanceId, {counts, takenAtMs});
  }

  /** A summary that was taken at `takenAtMs` arrives. */
  onSummary(view: DomainView, takenAtMs: number, delayMs: number): void {
    const sent = this.domains.get(view.domainId)?.sent ?? [];
    this.domains.set(view.domainId, {
      view,
      // What was sent earlier had arrived when the summary was taken.
      sent: sent.filter(each => each.atMs + delayMs >= takenAtMs),
    });
  }

  recordSentAway(domainId: DomainId, poolId: PoolId, atMs: number): void {
    this.domains.get(domainId)?.sent.push({poolId, atMs});
  }

  /** Tells admission what this entry may start now. */
  refreshSlots(nowMs: number): void {
    const view = this.view(nowMs);
    this.pools.forEach(poolId =>
      this.admission.setSlots(poolId, poolCapacity(view, poolId, nowMs)),
    );
  }

  /** The pools of the own domain, as the summary tells others. */
  summaries(nowMs: number): readonly PoolSummary[] {
    const view = this.view(nowMs);
    this.refreshSlots(nowMs);
    return this.pools.map(poolId => {
      const {slotCount, freeSlots, meanServiceMs, costMicros} = poolCapacity(
        view,
        poolId,
        nowMs,
      );
      return {
        poolId,
        slotCount,
        freeSlots,
        rankWaits: this.configuration.ranks.map(({rankId}) => ({
          rankId,
          backlogMs: this.admission.backlogMs(poolId, rankId, nowMs),
        })),
        meanServiceMs,
        costMicros,
      };
    });
  }

  view(nowMs: number): FleetView {
    const {instances, upstreams} = this.configuration;
    const {domainId, regionId} = this.instance;
    return {
      domainId,
      regionId,
      liveEntryCount: instances.filter(each => each.domainId === domainId)
        .length,
      otherDomains: [...this.domains.values()].map(({view, sent}) => ({
        ...view,
        sentSinceSummary: countByPool(sent),
      })),
      upstreams: upstreams
        .filter(each => each.domainId === domainId)
        .map(each => ({
          upstreamId: each.upstreamId,
          poolIds: each.modelIds.map(poolOfModel),
          slotCount: each.slotCount,
          reservedSlots: reservedSlots(
            {
              poolIds: each.modelIds.map(poolOfModel),
              slotCount: each.slotCount,
            },
            this.urgentPoolIds,
          ),
          costMicros: each.costMicros,
          ...this.health.verdict(each.upstreamId, nowMs),
          cacheConfidence: 1,
          meanServiceMs: this.service.get(each.upstreamId)?.mean ?? 0,
          report: this.reports.get(each.upstreamId),
          ownInFlight: this.inFlight(each.upstreamId),
          peers: this.peersOf(each.upstreamId),
        })),
    };
  }

  private peersOf(upstreamId: UpstreamId): readonly PeerInFlight[] {
    return [...this.peers].map(([instanceId, {counts, takenAtMs}]) => ({
      instanceId,
      inFlightCount: counts.get(upstreamId) ?? 0,
      takenAtMs,
    }));
  }
}

function countByPool(sent: readonly SentAway[]): ReadonlyMap<PoolId, number> {
  return sent.reduce(
    (counts, {poolId}) => counts.set(poolId, (counts.get(poolId) ?? 0) + 1),
    new Map<PoolId, number>(),
  );
}
