/**
 * Issues orders from one process: acquires the domain's lease through the
 * replicated log, renews it, and sends orders only while it holds the lease.
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
  canIssueOrder,
  type ObservedLease,
  observeLease,
  isRenewalDue,
} from './lease_clock.js';
import type {Order, OrderSink} from './order_sink.js';

/** Dependencies of an issuer. */
export interface OrderIssuerOptions {
  readonly self: MemberId;
  /** The name of the lease, one per domain. */
  readonly lease: string;
  /** Proposes a command to the domain's log. */
  readonly propose: (
    command: LeaseCommand,
  ) => ResultAsync<LeaseResult, GatewayError>;
  /** The lease in the log state that this process has applied. */
  readonly currentLease: () => Lease | undefined;
  /** Whether this process is the log leader; only it acquires the lease. */
  readonly isLeader: () => boolean;
  readonly sink: OrderSink;
}

/** Acquires and renews the lease of one domain, and sends orders under it. */
export class OrderIssuer {
  private held?: HeldLease;
  private observed?: ObservedLease;
  private isAdvancing = false;
  private readonly startedAtMs = monotonicNowMs();

  constructor(private readonly options: OrderIssuerOptions) {}

  /** The fencing token, if an order with this timeout may be issued now. */
  token(orderTimeoutMs: number): FencingToken | undefined {
    const {held} = this;
    return canIssueOrder(held, orderTimeoutMs, monotonicNowMs())
      ? held.token
      : undefined;
  }

  /** Acquires or renews the lease if it is due; call a few times per second. */
  async advance(): Promise<void> {
    const {options, held} = this;
    const nowMs = monotonicNowMs();
    this.observed = observeLease(this.observed, options.currentLease(), nowMs);
    // A process that is no longer leader lets its lease expire instead of
    // releasing it, because orders may still be in flight.
    if (this.isAdvancing || !options.isLeader()) return;
    this.isAdvancing = true;
    try {
      if (held === undefined) await this.acquire();
      else if (isRenewalDue(held, nowMs)) await this.renew(held);
    } finally {
      this.isAdvancing = false;
    }
  }

  /** Sends an order; fails with `not_leader` without a valid lease. */
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
   * Releases the lease, so that a successor does not have to wait for its
   * expiry. Call it only when no order is in flight.
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
    // In a domain without disks the log starts empty after all members have
    // restarted, and the holder of a lease that was lost with it may still be
    // issuing orders. Waiting for one lease duration after the start covers
    // this.
    const startupWaitMs = LEASE_DURATION_MS * (1 + MAX_DRIFT);
    if (proposedAtMs - this.startedAtMs < startupWaitMs) return;
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
    // After an error the lease may or may not have been renewed. The previous
    // expiry stays valid until a renewal is confirmed or rejected.
    if (result.isErr()) return;
    this.held =
      result.value.kind === 'renewed' ? {...held, proposedAtMs} : undefined;
  }
}
