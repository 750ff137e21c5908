/** Load figures of an upstream, each with the time at which it was taken. */
import type {InstanceId} from '../../types/ids.js';

/** An upstream's own report. Times are on the reader's monotonic clock. */
export interface LoadReport {
  /** When it was taken, as estimated by the reader. */
  readonly takenAtMs: number;
  /** Running requests, from all senders. */
  readonly runningCount: number;
  /** Requests queued inside the upstream. */
  readonly waitingCount: number;
  /** This instance's requests in flight there when the report was taken. */
  readonly ownInFlightAtReport: number;
}

/** The in-flight count reported by another instance of the domain. */
export interface PeerInFlight {
  readonly instanceId: InstanceId;
  readonly inFlightCount: number;
  readonly takenAtMs: number;
}
