/**
 * Holds the lease for orders while this instance leads the domain's log, and
 * runs the placement of models on the current demand and load reports.
 */
import type {WeightStore} from '../adapters/weights/weight_store.js';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration} from '../config/configuration.js';
import {poolOfModel, type PoolId} from '../decisions/fleet/pool.js';
import type {PlacementUpstream} from '../decisions/placement/placement.js';
import type {Logger} from '../logging/logger.js';
import type {MembershipView} from '../membership/membership_view.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {OrderIssuer} from '../orders/order_issuer.js';
import {PlacementDriver} from '../orders/placement_driver.js';
import type {ModelId} from '../types/ids.js';
import type {FleetState} from './fleet_state.js';

const LEASE_INTERVAL_MS = 250;
const DECISION_INTERVAL_MS = 5_000;

/** Dependencies of a `PlacementLoop`. */
export interface PlacementLoopOptions {
  readonly issuer: OrderIssuer;
  readonly weights: WeightStore;
  readonly fleet: FleetState;
  readonly membership: MembershipView;
  readonly metrics: MetricsRegistry;
  readonly logger: Logger;
  readonly configuration: () => Configuration | undefined;
}

/** Timers that renew the lease and decide placement, until `stop`. */
export class PlacementLoop {
  private readonly driver: PlacementDriver;
  private readonly timers: readonly NodeJS.Timeout[];
  private previousArrivals: ReadonlyMap<PoolId, number> = new Map();
  private previousCountAtMs = monotonicNowMs();

  constructor(private readonly options: PlacementLoopOptions) {
    const {issuer} = options;
    this.driver = new PlacementDriver({
      issuer,
      upstreams: () => this.upstreams(),
      demand: () => this.currentDemand(monotonicNowMs()),
      weightsBytes: modelId => this.weightsBytes(modelId),
      bytesPerSecond: () => options.weights.bytesPerSecond(),
    });
    this.timers = [
      setInterval(
        () => void issuer.advance().catch(() => undefined),
        LEASE_INTERVAL_MS,
      ),
      setInterval(() => void this.decide(), DECISION_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
  }

  private async decide(): Promise<void> {
    const change = await this.driver.advance();
    if (change === undefined) return;
    const {metrics, logger} = this.options;
    const {upstreamId, load, unload, gainSlots} = change;
    metrics.count('model_changes_total', {upstream: upstreamId});
    logger.info(
      {upstream: upstreamId, load, unload, gainSlots},
      'ordered an upstream to change its loaded models',
    );
  }

  // Demand in busy slots is arrival rate times service time; arrivals include
  // calls that were offloaded or refused. Callers are spread evenly over the
  // entries, so the domain's demand is this entry's times their number.
  private currentDemand(nowMs: number): ReadonlyMap<ModelId, number> {
    const {configuration, fleet, membership} = this.options;
    const entryCount = Math.max(1, membership.liveMembers().length);
    const elapsedMs = Math.max(1, nowMs - this.previousCountAtMs);
    const arrivals = fleet.arrivalCounts();
    const demand = (configuration()?.models ?? []).map(
      ({modelId}): [ModelId, number] => {
        const poolId = poolOfModel(modelId);
        const arrived =
          (arrivals.get(poolId) ?? 0) -
          (this.previousArrivals.get(poolId) ?? 0);
        const busyMs = arrived * fleet.poolServiceMs(poolId);
        return [modelId, (busyMs / elapsedMs) * entryCount];
      },
    );
    this.previousArrivals = arrivals;
    this.previousCountAtMs = nowMs;
    return new Map(demand);
  }

  private upstreams(): readonly PlacementUpstream[] {
    const {fleet, membership} = this.options;
    const reports = membership.loadReports();
    return fleet
      .localUpstreams()
      .filter(upstream => upstream.kind === 'model')
      .flatMap(upstream => {
        const report = reports.get(upstream.upstreamId);
        if (report === undefined) return [];
        return [
          {
            upstreamId: upstream.upstreamId,
            slotCount: upstream.slotCount,
            modelIds: upstream.modelIds,
            loaded: report.loadedModels,
            // An engine is assumed to have room for as many models as it has
            // loaded now.
            maxLoaded: Math.max(1, report.loadedModels.length),
            leaving: report.leaving,
          },
        ];
      });
  }

  private weightsBytes(modelId: ModelId): number {
    const models = this.options.configuration()?.models ?? [];
    return models.find(each => each.modelId === modelId)?.weightsBytes ?? 0;
  }
}

/** The name of the lease under which a domain's orders are sent. */
export function orderLeaseName(domainId: string): string {
  return `orders ${domainId}`;
}
