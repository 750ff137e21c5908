/**
 * Estimates the current load of an upstream from its last report, from this
 * instance's requests in flight and from the counts of other instances.
 */
import type {UpstreamView} from '../fleet/upstream_view.js';
import {
  BATCH_SLOWDOWN_SHARE,
  PEER_MAX_AGE_MS,
  REPORT_MAX_AGE_MS,
  UNKNOWN_LOAD_WAIT_MS,
} from './constants.js';

/** The estimated load of an upstream. */
export interface UpstreamLoad {
  /** Requests running or waiting there, from all senders. */
  readonly inFlightCount: number;
  /** Slots that it may fill now: fewer than all in slow start. */
  readonly usableSlots: number;
  readonly isFull: boolean;
  readonly predictedWaitMs: number;
  /** Wait plus the slowdown by the batch; the least score is preferred. */
  readonly scoreMs: number;
}

function countedInFlight(upstream: UpstreamView, nowMs: number): number {
  return upstream.peers
    .filter(peer => nowMs - peer.takenAtMs <= PEER_MAX_AGE_MS)
    .reduce((sum, peer) => sum + peer.inFlightCount, upstream.ownInFlight);
}

/**
 * Estimated requests in flight at an upstream. The excess of its report over
 * the known counts loses weight linearly until `REPORT_MAX_AGE_MS`.
 */
export function estimateInFlight(
  upstream: UpstreamView,
  nowMs: number,
): number {
  const counted = countedInFlight(upstream, nowMs);
  const {report} = upstream;
  if (report === undefined) return counted;
  const ageMs = Math.max(0, nowMs - report.takenAtMs);
  if (ageMs >= REPORT_MAX_AGE_MS) return counted;
  const ownChange = upstream.ownInFlight - report.ownInFlightAtReport;
  const reported = report.runningCount + report.waitingCount + ownChange;
  const freshness = 1 - ageMs / REPORT_MAX_AGE_MS;
  return counted + Math.max(0, reported - counted) * freshness;
}

/** The slots that may be used, scaled by the slow-start weight. */
export function usableSlots(upstream: UpstreamView): number {
  if (upstream.state !== 'ready' || upstream.weight <= 0) return 0;
  return Math.max(1, Math.round(upstream.slotCount * upstream.weight));
}

/**
 * Estimates the load and the wait of one more request. The upstream counts as
 * full if that request would leave fewer than `minFreeSlots` slots free.
 */
export function estimateLoad(
  upstream: UpstreamView,
  nowMs: number,
  minFreeSlots = 0,
): UpstreamLoad {
  const inFlightCount = estimateInFlight(upstream, nowMs);
  const slots = usableSlots(upstream);
  const excess = Math.max(0, inFlightCount + 1 - slots);
  const hasNoFreshReport =
    upstream.report === undefined ||
    nowMs - upstream.report.takenAtMs >= REPORT_MAX_AGE_MS;
  const predictedWaitMs =
    (slots === 0 ? 0 : (excess / slots) * upstream.meanServiceMs) +
    (hasNoFreshReport ? UNKNOWN_LOAD_WAIT_MS : 0);
  const fill = slots === 0 ? 1 : Math.min(1, inFlightCount / slots);
  return {
    inFlightCount,
    usableSlots: slots,
    isFull: inFlightCount + 1 > slots - minFreeSlots,
    predictedWaitMs,
    scoreMs:
      predictedWaitMs + fill * BATCH_SLOWDOWN_SHARE * upstream.meanServiceMs,
  };
}
