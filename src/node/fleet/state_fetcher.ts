/**
 * Fetches control states from the control members that announce newer ones. One
 * that falls silent must not hold back the others, and one fetch at a time is
 * enough as long as it is quick: route tables are large.
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
  /** Addresses whose last fetch failed; they hold back no others. */
  private readonly failedAddresses = new Set<string>();

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
      this.failedAddresses.add(address);
      this.logFailure(address, fetched.error);
      return;
    }
    this.failedAddresses.delete(address);
    // Another fetch may have brought a newer state meanwhile.
    if (fetched.value.revision > currentState().revision) {
      onState(fetched.value);
    }
  }

  private isHeldBack(address: string, nowMs: number): boolean {
    return [...this.startedAtMs].some(
      ([peer, startedAtMs]) =>
        peer === address ||
        (nowMs - startedAtMs < FETCH_PATIENCE_MS &&
          !this.failedAddresses.has(peer)),
    );
  }

  private logFailure(peer: string, error: GatewayError): void {
    this.options.logger.warn(
      {event: 'state_fetch_failed', peer, err: error},
      'failed to fetch the control state',
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
