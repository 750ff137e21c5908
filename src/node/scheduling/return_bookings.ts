/**
 * Books room for callers that are refused. Each refusal takes a part of the room
 * that becomes free in the coming seconds, so the next caller is told to come
 * back later, and those refused at one moment do not return at one moment. A
 * caller that returns in time is recognised by the fingerprint of its request.
 */
import {sharingOf} from './work_queue.js';
import type {WorkItem} from './types.js';

/**
 * Share of the drain rate that is booked. The answers of callers that return are
 * mostly late; each would take the place of one that is in time.
 */
const BOOKED_SHARE = 1 / 8;
/**
 * Callers wait at most a third of the time that they have left; the jitter that
 * is added to the retry time must not exceed it either.
 */
const MAX_WAIT_SHARE = 1 / 4;
/** How much earlier a caller may come than it was told to. */
const EARLY_TOLERANCE_MS = 20;
/** Covers the jitter of the retry time, a new connection and the way here. */
const LATE_SHARE = 0.4;
const LATE_TOLERANCE_MS = 1_000;
/** Bounds memory; a caller without a booking counts as a new one. */
const MAX_BOOKINGS = 8_192;
/** Multiples of it, modulo 1, are evenly spread however many there are. */
const GOLDEN_RATIO = 0.618_034;
/** Expired bookings are searched for at this interval. */
const PRUNE_INTERVAL_MS = 500;

/** What a scheduler knows of the caller of a request. */
export type Standing =
  /** It was not refused here in the last seconds. */
  | 'new'
  /** It has booked room and comes at its time. */
  | 'due'
  /** It was refused and comes too early, or there was no room to book. */
  | 'unbooked';

interface Booking {
  readonly fingerprint: string;
  readonly share: string;
  /** Whether there will be room when it returns. */
  readonly hasRoom: boolean;
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
  private spreadPhase = 0;

  get size(): number {
    return this.byFingerprint.size;
  }

  /**
   * Books room and returns the time after which there is some. If its caller
   * would not wait so long, no room is booked, and it is told to come back late
   * in the time that it would wait, as the load may have fallen by then. A
   * caller that returns too early keeps its booking.
   */
  book(item: WorkItem, room: RoomNeeded, nowMs: number): number {
    this.prune(nowMs);
    const {fingerprint, remainingMs} = item;
    const known = this.byFingerprint.get(fingerprint);
    const isEarly = known?.hasRoom === true && known.fromMs > nowMs;
    if (isEarly) return known.fromMs - nowMs;
    this.redeem(item);
    const share = shareOf(item);
    const takenUntilMs = this.shares.get(share)?.takenUntilMs ?? nowMs;
    const fromMs = Math.max(nowMs + room.waitMs, takenUntilMs);
    const afterMs = fromMs - nowMs;
    const maxAfterMs = remainingMs * MAX_WAIT_SHARE;
    const hasRoom = afterMs <= maxAfterMs;
    const returnAfterMs = hasRoom ? afterMs : this.spread(maxAfterMs);
    const returnMs = nowMs + returnAfterMs;
    const untilMs = returnMs + returnAfterMs * LATE_SHARE + LATE_TOLERANCE_MS;
    this.add({fingerprint, share, hasRoom, fromMs: returnMs, untilMs});
    if (hasRoom) this.take(share, fromMs + durationMs(room));
    return returnAfterMs;
  }

  standingOf({fingerprint}: WorkItem, nowMs: number): Standing {
    const booking = this.byFingerprint.get(fingerprint);
    if (booking === undefined || booking.untilMs < nowMs) return 'new';
    const isInTime = booking.fromMs - EARLY_TOLERANCE_MS <= nowMs;
    return booking.hasRoom && isInTime ? 'due' : 'unbooked';
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

  /** A time in the last half of the given one, evenly spread over the calls. */
  private spread(maxMs: number): number {
    this.spreadPhase = (this.spreadPhase + GOLDEN_RATIO) % 1;
    return (maxMs * (1 + this.spreadPhase)) / 2;
  }

  private add(booking: Booking): void {
    if (this.size >= MAX_BOOKINGS) return;
    this.byFingerprint.set(booking.fingerprint, booking);
    if (!booking.hasRoom) return;
    const {share, fromMs} = booking;
    const known = this.shares.get(share);
    this.shares.set(share, {
      bookings: [...(known?.bookings ?? []), booking],
      takenUntilMs: Math.max(known?.takenUntilMs ?? 0, fromMs),
    });
  }

  private take(share: string, takenUntilMs: number): void {
    const known = this.shares.get(share);
    if (known !== undefined) this.shares.set(share, {...known, takenUntilMs});
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
