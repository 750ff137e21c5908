/**
 * Pure functions for the timing of leases on the local monotonic clock. A
 * holder measures from before it proposed the command, and an observer from
 * when it saw the command applied, which is later. As long as their clock rates
 * differ by at most `MAX_DRIFT`, the holder therefore stops before any observer
 * considers the lease expired.
 */
import type {FencingToken} from '../types/ids.js';
import type {Lease} from './lease.js';

/** Maximum relative difference between the rates of two clocks. */
export const MAX_DRIFT = 0.01;
/**
 * A holder issues no orders during this time before its lease expires. It
 * covers the transmission of an order, whose timeout must be shorter.
 */
export const SAFETY_MARGIN_MS = 1_000;
export const LEASE_DURATION_MS = 6_000;
/** A holder renews its lease this long after the last grant or renewal. */
export const RENEW_AFTER_MS = 2_000;

/** A lease from the perspective of its holder. */
export interface HeldLease {
  readonly token: FencingToken;
  readonly durationMs: number;
  /**
   * Local monotonic time just before the last grant or renewal was proposed.
   */
  readonly proposedAtMs: number;
}

/** Until when the holder may issue an order with this timeout. */
export function orderDeadlineMs(
  held: HeldLease,
  orderTimeoutMs: number,
): number {
  const usableMs = held.durationMs * (1 - MAX_DRIFT);
  const marginMs = Math.max(SAFETY_MARGIN_MS, orderTimeoutMs);
  return held.proposedAtMs + usableMs - marginMs;
}

/** Whether the holder may issue an order with this timeout now. */
export function canIssueOrder(
  held: HeldLease | undefined,
  orderTimeoutMs: number,
  nowMs: number,
): held is HeldLease {
  return held !== undefined && nowMs < orderDeadlineMs(held, orderTimeoutMs);
}

/** Whether the holder should renew its lease. */
export function isRenewalDue(held: HeldLease, nowMs: number): boolean {
  return nowMs - held.proposedAtMs >= RENEW_AFTER_MS;
}

/** A lease from the perspective of a process that observes the log. */
export interface ObservedLease {
  readonly token: FencingToken;
  readonly renewals: number;
  readonly durationMs: number;
  /** Local monotonic time when this grant or renewal was first observed. */
  readonly observedAtMs: number;
}

/** Updates the observation; an unchanged lease keeps its `observedAtMs`. */
export function observeLease(
  observed: ObservedLease | undefined,
  lease: Lease | undefined,
  nowMs: number,
): ObservedLease | undefined {
  if (lease === undefined) return undefined;
  const isUnchanged =
    observed?.token === lease.token && observed.renewals === lease.renewals;
  if (isUnchanged) return observed;
  const {token, renewals, durationMs} = lease;
  return {token, renewals, durationMs, observedAtMs: nowMs};
}

/** Whether an observed lease has certainly expired on its holder's clock. */
export function hasExpired(observed: ObservedLease, nowMs: number): boolean {
  return nowMs - observed.observedAtMs >= observed.durationMs * (1 + MAX_DRIFT);
}
