/**
 * Pure state machine for the leases under which orders are issued, applied by
 * the domain's replicated log. The fencing token of a grant is the log index of
 * its command, so tokens increase with each grant. The log contains no
 * timestamps: holders and candidates measure durations on their own monotonic
 * clocks (`lease_clock.ts`).
 */
import {z} from 'zod';
import type {FencingToken, LogIndex, MemberId} from '../types/ids.js';

/** Lease commands of the log. */
export const leaseCommandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('acquire'),
    lease: z.string(),
    holder: z.string(),
    durationMs: z.number().positive(),
    /**
     * The lease that has expired on the candidate's clock: its token, and how
     * often it had been renewed.
     */
    expired: z
      .object({token: z.number(), renewals: z.number().int().min(0)})
      .optional(),
  }),
  z.object({
    kind: z.literal('renew'),
    lease: z.string(),
    holder: z.string(),
    token: z.number(),
  }),
  z.object({
    kind: z.literal('release'),
    lease: z.string(),
    holder: z.string(),
    token: z.number(),
  }),
]);

export type LeaseCommand = z.infer<typeof leaseCommandSchema>;

/** A granted lease. */
export interface Lease {
  readonly holder: MemberId;
  readonly token: FencingToken;
  readonly durationMs: number;
  /** Renewals so far; lets an observer detect each renewal. */
  readonly renewals: number;
}

/** All leases by name; serializable as JSON. */
export type LeaseState = Readonly<Record<string, Lease>>;

/** The result of a lease command. */
export type LeaseResult =
  | {readonly kind: 'granted'; readonly lease: Lease}
  | {readonly kind: 'renewed'; readonly lease: Lease}
  | {readonly kind: 'released'}
  /** Another process holds the lease; its expiry must be observed first. */
  | {readonly kind: 'held'; readonly lease: Lease}
  /** The lease with this token was released or replaced. */
  | {readonly kind: 'lost'};

/** The next state and the result of one command. */
export interface LeaseStep {
  readonly state: LeaseState;
  readonly result: LeaseResult;
}

function acquire(
  state: LeaseState,
  command: Extract<LeaseCommand, {kind: 'acquire'}>,
  index: LogIndex,
): LeaseStep {
  const current: Lease | undefined = state[command.lease];
  const {expired} = command;
  const isAvailable =
    current === undefined ||
    (expired?.token === current.token && expired.renewals === current.renewals);
  if (!isAvailable) return {state, result: {kind: 'held', lease: current}};
  const lease: Lease = {
    holder: command.holder as MemberId,
    token: Number(index) as FencingToken,
    durationMs: command.durationMs,
    renewals: 0,
  };
  return {
    state: {...state, [command.lease]: lease},
    result: {kind: 'granted', lease},
  };
}

/**
 * Applies one command at its log index. A holder that lost its state in a
 * restart uses `acquire` like any other candidate and waits until its previous
 * lease expires, because orders of its previous incarnation may still be in
 * flight.
 */
export function applyLease(
  state: LeaseState,
  command: LeaseCommand,
  index: LogIndex,
): LeaseStep {
  if (command.kind === 'acquire') return acquire(state, command, index);
  const current: Lease | undefined = state[command.lease];
  const isHolder =
    current !== undefined &&
    Number(current.token) === command.token &&
    current.holder === command.holder;
  if (!isHolder) return {state, result: {kind: 'lost'}};
  if (command.kind === 'release') {
    const rest = Object.entries(state).filter(
      ([name]) => name !== command.lease,
    );
    return {state: Object.fromEntries(rest), result: {kind: 'released'}};
  }
  const lease: Lease = {...current, renewals: current.renewals + 1};
  return {
    state: {...state, [command.lease]: lease},
    result: {kind: 'renewed', lease},
  };
}
