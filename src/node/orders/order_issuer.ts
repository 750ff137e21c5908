/**
 * One process's part in issuing orders: it acquires the domain's lease through
 * the replicated log, renews it, and sends orders only while it holds it.
 */
import {errAsync, type ResultAsync} from 'neverthrow';
import {monotonicNowMs} from '../clock/clock.js';
import {GatewayError} from '../types/errors.js';
import type {FencingToken, MemberId} from '../types/ids.js';
import type {Lease, LeaseCommand, LeaseResult} from './lease.js';
import {
  hasExpired,
  type HeldLease,
  LEASE_DURATION_MS,
  MAX_DRIFT,
  mayOrder,
  type ObservedLease,
  observeLease,
  renewalIsDue,
} from './lease_clock.js';
import type {Order, OrderSink} from './order_sink.js';

/** What an issuer needs. */
export interface OrderIssuerOptions {
  readonly self: MemberId;
  /** The name of the lease, one per domain. */
  readonly lease: string;
  /** Proposes a command to the domain's log. */
  readonly propose: (
    command: LeaseCommand,
  ) => ResultAsync<LeaseResult, GatewayError>;
  /** The lease as the log's state on this process holds it. */
  readonly currentLease: () => Lease | undefined;
  /** Whether this process leads the log; only the leader asks for the lease. */
  readonly isLeader: () => boolean;
  readonly sink: OrderSink;
}

/** Holds or waits for the lease of one domain. */
export class OrderIssuer {
  private held?: HeldLease;
  private observed?: ObservedLease;
  private busy = false;
  private readonly startedAtMs = monotonicNowMs();

  constructor(private readonly options: OrderIssuerOptions) {}

  /** The token under which orders are issued now, if any. */
  token(orderTimeoutMs: number): FencingToken | undefined {
    const {held} = this;
    return mayOrder(held, orderTimeoutMs, monotonicNowMs())
      ? held.token
      : undefined;
  }

  /** Acquires, renews or waits; call it a few times per second. */
  async advance(): Promise<void> {
    const {options, held} = this;
    const nowMs = monotonicNowMs();
    this.observed = observeLease(this.observed, options.currentLease(), nowMs);
    // A process that no longer leads lets its lease expire. It does not give
    // the lease back, since orders may be on their way.
    if (this.busy || !options.isLeader()) return;
    this.busy = true;
    try {
      if (held === undefined) await this.acquire();
      else if (renewalIsDue(held, nowMs)) await this.renew(held);
    } finally {
      this.busy = false;
    }
  }

  /** Sends an order under the held lease. */
  send(
    order: Omit<Order, 'token'>,
    timeoutMs: number,
  ): ResultAsync<void, GatewayError> {
    const token = this.token(timeoutMs);
    if (token === undefined) {
      return errAsync(
        new GatewayError({
          code: 'not_leader',
          message: 'this process does not hold the lease for orders',
          step: 'orders.send',
          peer: order.upstreamId,
        }),
      );
    }
    return this.options.sink.send({...order, token}, timeoutMs);
  }

  /**
   * Gives the lease back, so that a successor need not wait. Call it only when
   * no order is under way.
   */
  async release(): Promise<void> {
    const {held, options} = this;
    if (held === undefined) return;
    this.held = undefined;
    await options.propose({
      kind: 'release',
      lease: options.lease,
      holder: options.self,
      token: held.token,
    });
  }

  private async acquire(): Promise<void> {
    const {options, observed} = this;
    const proposedAtMs = monotonicNowMs();
    if (observed !== undefined && !hasExpired(observed, proposedAtMs)) return;
    // The log of a domain without disks starts empty after all its members
    // restarted; a holder of the lost lease may still be issuing orders.
    const firstWaitMs = LEASE_DURATION_MS * (1 + MAX_DRIFT);
    if (proposedAtMs - this.startedAtMs < firstWaitMs) return;
    const result = await options.propose({
      kind: 'acquire',
      lease: options.lease,
      holder: options.self,
      durationMs: LEASE_DURATION_MS,
      ...(observed === undefined
        ? {}
        : {expired: {token: observed.token, renewals: observed.renewals}}),
    });
    if (result.isErr() || result.value.kind !== 'granted') return;
    const {token, durationMs} = result.value.lease;
    this.held = {token, durationMs, proposedAtMs};
  }

  private async renew(held: HeldLease): Promise<void> {
    const {options} = this;
    const proposedAtMs = monotonicNowMs();
    const result = await options.propose({
      kind: 'renew',
      lease: options.lease,
      holder: options.self,
      token: held.token,
    });
    // Without an answer the lease may or may not have been renewed; the old
    // expiry holds until an answer tells otherwise.
    if (result.isErr()) return;
    this.held =
      result.value.kind === 'renewed' ? {...held, proposedAtMs} : undefined;
  }
}
