/**
 * Books room for callers that are refused. Each refusal takes a part of the room
 * that becomes free in the coming seconds, so the next caller is told to come
 * back later, and those refused at one moment do not return at one moment. A
 * caller that returns in time is recognised by the fingerprint of its request.
 */
import {sharingOf} from './work_queue.js';
import type {WorkItem} from './types.js';

/**
 * Share of the drain rate that is booked. Callers that return late are served
 * beside new ones, which can still be answered within their target.
 */
const BOOKED_SHARE = 0.25;
/** Callers wait at most this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3;
/** How much earlier a caller may come than it was told to. */
const EARLY_TOLERANCE_MS = 20;
/** Covers the jitter of the retry time, a new connection and the way here. */
const LATE_SHARE = 0.4;
const LATE_TOLERANCE_MS = 1_000;
/** Bounds memory; a caller without a booking counts as a new one. */
const MAX_BOOKINGS = 4_096;
/** Expired bookings are searched for at this interval. */
const PRUNE_INTERVAL_MS = 500;

interface Booking {
  readonly fingerprint: string;
  readonly share: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What callers of one workspace and priority have booked. */
interface BookedShare {
  /** By time of return. */
  readonly bookings: readonly Booking[];
  /** The room that becomes free until then is taken. */
  readonly takenUntilMs: number;
}

/** The room that a refused request would need. */
export interface RoomNeeded {
  /** Time until there is room for it if nobody has booked any. */
  readonly waitMs: number;
  readonly costMs: number;
  /** Slot time per millisecond that its workspace gets in its priority. */
  readonly drainRate: number;
}

/** The bookings of one scheduler. */
export class ReturnBookings {
  private readonly byFingerprint = new Map<string, Booking>();
  private readonly shares = new Map<string, BookedShare>();
  private prunedAtMs = 0;

  get size(): number {
    return this.byFingerprint.size;
  }

  /**
   * Books room and returns the time after which there is some. If its caller
   * would not wait so long, nothing is booked. A caller that returns too early
   * keeps its booking.
   */
  book(item: WorkItem, room: RoomNeeded, nowMs: number): number {
    this.prune(nowMs);
    const {fingerprint, remainingMs} = item;
    const known = this.byFingerprint.get(fingerprint);
    if (known !== undefined && known.fromMs > nowMs) {
      return known.fromMs - nowMs;
    }
    const share = shareOf(item);
    const takenUntilMs = this.shares.get(share)?.takenUntilMs ?? nowMs;
    const fromMs = Math.max(nowMs + room.waitMs, takenUntilMs);
    const afterMs = fromMs - nowMs;
    const isTooLate = afterMs > remainingMs * MAX_WAIT_SHARE;
    if (isTooLate || this.size >= MAX_BOOKINGS) return afterMs;
    const untilMs = fromMs + afterMs * LATE_SHARE + LATE_TOLERANCE_MS;
    this.redeem(item);
    this.add({fingerprint, share, fromMs, untilMs}, durationMs(room));
    return afterMs;
  }

  /** Whether the caller was refused and returns at its time. */
  isDue({fingerprint}: WorkItem, nowMs: number): boolean {
    const booking = this.byFingerprint.get(fingerprint);
    return (
      booking !== undefined &&
      booking.fromMs - EARLY_TOLERANCE_MS <= nowMs &&
      nowMs <= booking.untilMs
    );
  }

  /** Ends the booking of a caller that has returned. */
  redeem({fingerprint}: WorkItem): void {
    const booking = this.byFingerprint.get(fingerprint);
    if (booking === undefined) return;
    this.byFingerprint.delete(fingerprint);
    this.keep(booking.share, each => each !== booking);
  }

  /** Time until the first caller of the same share may return. */
  nextReturnMs(item: WorkItem, nowMs: number): number {
    const first = this.shares
      .get(shareOf(item))
      ?.bookings.find(each => each.untilMs >= nowMs);
    return first === undefined ? Infinity : Math.max(0, first.fromMs - nowMs);
  }

  private add(booking: Booking, takenMs: number): void {
    const {fingerprint, share, fromMs} = booking;
    this.byFingerprint.set(fingerprint, booking);
    this.shares.set(share, {
      bookings: [...(this.shares.get(share)?.bookings ?? []), booking],
      takenUntilMs: fromMs + takenMs,
    });
  }

  private keep(share: string, isKept: (booking: Booking) => boolean): void {
    const booked = this.shares.get(share);
    if (booked === undefined) return;
    const bookings = booked.bookings.filter(isKept);
    this.shares.set(share, {...booked, bookings});
  }

  private prune(nowMs: number): void {
    if (nowMs - this.prunedAtMs < PRUNE_INTERVAL_MS) return;
    this.prunedAtMs = nowMs;
    [...this.byFingerprint.values()]
      .filter(({untilMs}) => untilMs < nowMs)
      .forEach(({fingerprint}) => this.byFingerprint.delete(fingerprint));
    [...this.shares].forEach(([share, {takenUntilMs}]) => {
      this.keep(share, ({untilMs}) => untilMs >= nowMs);
      const isIdle = this.shares.get(share)?.bookings.length === 0;
      if (isIdle && takenUntilMs < nowMs) this.shares.delete(share);
    });
  }
}

/** Time in which the booked part of the drain rate serves the request. */
function durationMs({costMs, drainRate}: RoomNeeded): number {
  return costMs / (Math.max(Number.EPSILON, drainRate) * BOOKED_SHARE);
}

// Callers book room in what their workspace gets of their priority.
function shareOf(item: WorkItem): string {
  return `${item.priority} ${sharingOf(item).workspaceId}`;
}
