/** One upstream of the domain, as one instance sees it. */
import type {UpstreamId} from '../../types/ids.js';
import type {LoadReport, PeerInFlight} from './load_report.js';
import type {PoolId} from './pool.js';

/** Whether new work may be sent; `health/` decides it. */
export type UpstreamState = 'ready' | 'ejected' | 'leaving';

/** What routing needs to know about an upstream. */
export interface UpstreamView {
  readonly upstreamId: UpstreamId;
  /** Pools that it can serve now: its loaded models, or its service. */
  readonly poolIds: readonly PoolId[];
  readonly slotCount: number;
  /** Slots that less urgent requests keep free; see `reservedSlots()`. */
  readonly reservedSlots: number;
  /** Cost of 1,000 generated tokens, or of one service call, in micros. */
  readonly costMicros: number;
  readonly state: UpstreamState;
  /** Share of its normal load that it may take: below 1 in slow start. */
  readonly weight: number;
  /** Confidence in its cache events, 0 to 1; 1 if none was missed. */
  readonly cacheConfidence: number;
  /** Mean time that a request occupies a slot. */
  readonly meanServiceMs: number;
  readonly report?: LoadReport | undefined;
  /** Requests that this instance has in flight there now. */
  readonly ownInFlight: number;
  readonly peers: readonly PeerInFlight[];
}
