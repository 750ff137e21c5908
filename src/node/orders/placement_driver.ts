/**
 * Turns placement decisions into orders, one change at a time, while this
 * process holds the lease and the weight store has no transfer in progress.
 */
import {okAsync, type ResultAsync} from 'neverthrow';
import {
  IDLE_PACING,
  mayTransfer,
  type PacingState,
  withTransfer,
} from '../adapters/weights/pacing.js';
import {monotonicNowMs} from '../clock/clock.js';
import {
  type DemandState,
  NO_DEMAND,
  observeDemand,
  predictedDemand,
} from '../decisions/placement/demand.js';
import {
  applyChange,
  decidePlacement,
  DEFAULT_LIMITS,
  type PlacementChange,
  type PlacementLimits,
  type PlacementUpstream,
} from '../decisions/placement/placement.js';
import type {GatewayError} from '../types/errors.js';
import type {ModelId, UpstreamId} from '../types/ids.js';
import type {OrderIssuer} from './order_issuer.js';

/** Timeout for the acknowledgement of an order; loading starts after it. */
export const ORDER_TIMEOUT_MS = 800;

/** Dependencies of the driver. */
export interface PlacementDriverOptions {
  readonly issuer: Pick<OrderIssuer, 'token' | 'send'>;
  /** Upstreams of the domain according to their load reports. */
  readonly upstreams: () => readonly PlacementUpstream[];
  /** Slots that running and waiting requests need, per model. */
  readonly demand: () => ReadonlyMap<ModelId, number>;
  readonly weightsBytes: (modelId: ModelId) => number;
  /** Transfer rate of the weight store. */
  readonly bytesPerSecond: () => number;
  /** @default DEFAULT_LIMITS */
  readonly limits?: PlacementLimits;
}

interface OrderedChange {
  readonly change: PlacementChange;
  readonly atMs: number;
}

/** Decides and orders the placement of models in one domain. */
export class PlacementDriver {
  private demand: DemandState = NO_DEMAND;
  private pacing: PacingState = IDLE_PACING;
  private readonly orderedChanges = new Map<UpstreamId, OrderedChange>();

  constructor(private readonly options: PlacementDriverOptions) {}

  /** Observes demand and orders at most one change; call every few seconds. */
  async advance(): Promise<PlacementChange | undefined> {
    const {options} = this;
    const limits = options.limits ?? DEFAULT_LIMITS;
    const nowMs = monotonicNowMs();
    this.demand = observeDemand(this.demand, options.demand(), nowMs);
    const predicted = predictedDemand(this.demand);
    const hasLease = options.issuer.token(ORDER_TIMEOUT_MS) !== undefined;
    if (predicted === undefined || !hasLease) return undefined;
    if (!mayTransfer(this.pacing, nowMs)) return undefined;
    const change = decidePlacement(
      this.expectedUpstreams(nowMs - limits.minBetweenChangesMs),
      predicted,
      new Map([...this.orderedChanges].map(([id, {atMs}]) => [id, atMs])),
      limits,
      nowMs,
    );
    if (change === undefined) return undefined;
    this.orderedChanges.set(change.upstreamId, {change, atMs: nowMs});
    this.pacing = withTransfer(
      this.pacing,
      options.weightsBytes(change.load),
      options.bytesPerSecond(),
      nowMs,
    );
    const result = await this.sendChange(change);
    if (result.isOk()) return change;
    // Loading is idempotent, so the failed change is dropped and the next
    // decision follows from what the upstream reports.
    this.orderedChanges.delete(change.upstreamId);
    return undefined;
  }

  /**
   * The upstreams, with changes since `sinceMs` applied that are not reported.
   */
  private expectedUpstreams(sinceMs: number): PlacementUpstream[] {
    return this.options.upstreams().map(upstream => {
      const ordered = this.orderedChanges.get(upstream.upstreamId);
      const isPending =
        ordered !== undefined &&
        ordered.atMs > sinceMs &&
        !upstream.loaded.includes(ordered.change.load);
      if (!isPending) return upstream;
      return applyChange([upstream], ordered.change)[0] ?? upstream;
    });
  }

  private sendChange(change: PlacementChange): ResultAsync<void, GatewayError> {
    const {issuer} = this.options;
    const {upstreamId, load, unload} = change;
    const unloadResult: ResultAsync<void, GatewayError> =
      unload === undefined
        ? okAsync(undefined)
        : issuer.send(
            {upstreamId, action: {kind: 'unload_model', modelId: unload}},
            ORDER_TIMEOUT_MS,
          );
    return unloadResult.andThen(() =>
      issuer.send(
        {upstreamId, action: {kind: 'load_model', modelId: load}},
        ORDER_TIMEOUT_MS,
      ),
    );
  }
}
