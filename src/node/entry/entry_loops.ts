/**
 * Periodic work of an entry: polls the upstreams assigned to it, publishes its
 * in-flight counts and the domain's summary, and refreshes the admission slots.
 */
import type {
  ModelUpstream,
  UpstreamPeer,
} from '../adapters/upstream/model_upstream.js';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration} from '../config/configuration.js';
import {poolCapacity} from '../decisions/routing/pool_capacity.js';
import {
  publishInFlight,
  publishLoadReport,
  publishOwnSummary,
} from '../membership/commands.js';
import type {ModelOffer} from '../membership/items.js';
import type {Membership} from '../membership/membership.js';
import {toGatewayError} from '../types/errors.js';
import {asId, type ModelId, type UpstreamId} from '../types/ids.js';
import type {AdmissionGate} from './admission_gate.js';
import type {FleetState} from './fleet_state.js';

const POLL_INTERVAL_MS = 1_000;
const REFRESH_INTERVAL_MS = 100;
const SUMMARY_INTERVAL_MS = 1_000;

/** Dependencies of `EntryLoops`. */
export interface EntryLoopsOptions {
  readonly fleet: FleetState;
  readonly gate: AdmissionGate;
  readonly upstream: ModelUpstream;
  readonly membership: Membership;
  readonly configuration: () => Configuration | undefined;
}

/** Timers that run the periodic work from construction until `stop`. */
export class EntryLoops {
  private readonly timers: readonly NodeJS.Timeout[];
  private readonly cacheSequences = new Map<UpstreamId, number>();

  constructor(private readonly options: EntryLoopsOptions) {
    this.timers = [
      setInterval(() => this.refresh(), REFRESH_INTERVAL_MS),
      setInterval(() => void this.poll(), POLL_INTERVAL_MS),
      setInterval(() => this.publishSummary(), SUMMARY_INTERVAL_MS),
    ];
    void this.poll();
  }

  stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
  }

  private refresh(): void {
    if (this.options.configuration() === undefined) return;
    const nowMs = monotonicNowMs();
    this.options.fleet.refresh(nowMs);
    this.options.gate.refreshSlots();
    publishInFlight(
      this.options.membership,
      this.options.fleet.ownInFlightCounts(),
    );
  }

  private async poll(): Promise<void> {
    const {fleet, membership} = this.options;
    const models = fleet
      .localUpstreams()
      .filter(upstream => upstream.kind === 'model');
    const assigned = new Set(
      membership.view.polledUpstreams(models.map(each => each.upstreamId)),
    );
    await Promise.all(
      models
        .filter(each => assigned.has(each.upstreamId))
        .map(each =>
          this.pollUpstream({
            upstreamId: each.upstreamId,
            address: each.address,
          }),
        ),
    );
  }

  // After a failed poll the previous report stays until it is too old. Apart
  // from an unreachable upstream, failed polls don't affect its health, which
  // follows from failed requests.
  private async pollUpstream(peer: UpstreamPeer): Promise<void> {
    try {
      const sentAtMs = monotonicNowMs();
      const load = await this.options.upstream.readLoad(peer);
      this.options.fleet.health.recordReachable(peer.upstreamId, sentAtMs);
      const previous = this.cacheSequences.get(peer.upstreamId);
      this.cacheSequences.set(peer.upstreamId, load.cacheSequence);
      publishLoadReport(this.options.membership, {
        upstreamId: peer.upstreamId,
        takenAtMs: monotonicNowMs(),
        running: load.runningCount,
        queued: load.queuedCount,
        loadedModels: load.loadedModelIds,
        leaving: load.leaving,
        cacheEventGap: previous !== undefined && load.cacheSequence < previous,
      });
    } catch (thrown) {
      const error = toGatewayError(thrown, 'entry.poll', peer.upstreamId);
      if (error.code !== 'unreachable') return;
      this.options.fleet.health.recordUnreachable(
        peer.upstreamId,
        monotonicNowMs(),
      );
    }
  }

  private publishSummary(): void {
    const {fleet, gate, membership, configuration} = this.options;
    const current = configuration();
    if (current === undefined || !membership.view.buildsSummary()) return;
    const nowMs = monotonicNowMs();
    const view = fleet.view(nowMs);
    const poolIds = [
      ...new Set(view.upstreams.flatMap(each => each.poolIds)),
    ].sort();
    const offers = poolIds.map((poolId): ModelOffer => {
      const capacity = poolCapacity(view, poolId, nowMs);
      const {queued} = gate.counts(poolId);
      const waitMs =
        capacity.slotCount === 0
          ? 0
          : (queued * capacity.meanServiceMs) / capacity.slotCount;
      return {
        modelId: asId<ModelId>(poolId),
        freeSlots: capacity.freeSlots,
        queueWaitMs: waitMs,
        priceMicros: capacity.costMicros,
        rankWaits: current.ranks.map(({rankId}) => ({
          rankId,
          backlogMs: gate.backlogMs(poolId, rankId),
        })),
      };
    });
    publishOwnSummary(membership, offers);
  }
}
