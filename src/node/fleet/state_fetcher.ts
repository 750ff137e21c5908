/**
 * Fetches control states from the control members that announce newer ones. One
 * that falls silent must not hold back the others. Route tables are large, and on a
 * slow link several fetches at a time could all reach their timeout, so a fetch holds
 * back others for as long as fetches have been seen to take.
 */
import {Result} from 'neverthrow';
import {monotonicNowMs} from '../clock/clock.js';
import {unpack, type Packed} from '../control/packing.js';
import type {Logger} from '../logging/logger.js';
import type {ControlState} from '../routes/route_table.js';
import type {RpcClient} from '../rpc/rpc.js';
import {toGatewayError, type GatewayError} from '../types/errors.js';
import {FETCH_PATIENCE_MS, FETCH_TIMEOUT_MS} from './constants.js';
import {FETCH_STATE_METHOD} from './messages.js';

const NEVER_MS = Number.NEGATIVE_INFINITY;

export interface StateFetcherOptions {
  readonly client: RpcClient;
  readonly logger: Logger;
  readonly currentState: () => ControlState;
  readonly onState: (state: ControlState) => void;
}

/** The fetches of one entry. */
export class StateFetcher {
  /** When the fetch from each address began that has not ended. */
  private readonly startedAtMs = new Map<string, number>();
  /** When addresses last failed, since the last success of any. */
  private readonly failedAtMs = new Map<string, number>();
  /** How long a fetch keeps this entry from asking another member. */
  private patienceMs = FETCH_PATIENCE_MS;
  private succeededAtMs = NEVER_MS;

  constructor(private readonly options: StateFetcherOptions) {}

  /** Fetches a state, unless a recent fetch is likely to bring it. */
  async fetch(address: string): Promise<void> {
    const {client, currentState, onState} = this.options;
    const nowMs = monotonicNowMs();
    if (this.isHeldBack(address, nowMs)) return;
    this.startedAtMs.set(address, nowMs);
    const fetched = await client
      .call<Packed>(address, FETCH_STATE_METHOD, {}, FETCH_TIMEOUT_MS)
      .andThen(packed => readState(packed, address));
    this.startedAtMs.delete(address);
    if (fetched.isErr()) {
      this.noteFailure(address, fetched.error, nowMs);
      return;
    }
    this.noteSuccess(nowMs);
    // Another fetch may have brought a newer state meanwhile.
    if (fetched.value.revision > currentState().revision) {
      onState(fetched.value);
    }
  }

  // A member that has failed last must not take the turn of another one.
  private isHeldBack(address: string, nowMs: number): boolean {
    const failedAtMs = (peer: string): number =>
      this.failedAtMs.get(peer) ?? NEVER_MS;
    return [...this.startedAtMs].some(
      ([peer, startedAtMs]) =>
        peer === address ||
        (nowMs - startedAtMs < this.patienceMs &&
          failedAtMs(peer) <= failedAtMs(address)),
    );
  }

  private noteSuccess(startedAtMs: number): void {
    this.succeededAtMs = monotonicNowMs();
    this.failedAtMs.clear();
    this.setPatience(2 * (this.succeededAtMs - startedAtMs));
  }

  private noteFailure(
    peer: string,
    error: GatewayError,
    startedAtMs: number,
  ): void {
    this.failedAtMs.set(peer, monotonicNowMs());
    // Without a success meanwhile, the fetches may have hindered each other.
    if (error.code === 'timeout' && this.succeededAtMs < startedAtMs) {
      this.setPatience(2 * this.patienceMs);
    }
    this.options.logger.warn(
      {event: 'state_fetch_failed', peer, err: error},
      'failed to fetch the control state',
    );
  }

  private setPatience(ms: number): void {
    this.patienceMs = Math.min(
      FETCH_TIMEOUT_MS,
      Math.max(FETCH_PATIENCE_MS, ms),
    );
  }
}

function readState(
  packed: Packed,
  peer: string,
): Result<ControlState, GatewayError> {
  return Result.fromThrowable(
    () => unpack(packed) as ControlState,
    thrown => toGatewayError(thrown, 'fleet.read_state', peer),
  )();
}
