/** A planned stop of an entry: its times, and which requests it still takes. */
import {monotonicNowMs} from '../clock/clock.js';
import {CHECK_INTERVAL_MS, waitUntil} from '../clock/wait_until.js';
import type {Route} from '../routes/route_table.js';
import {RequestDurations} from './request_durations.js';
import type {InboundRequest} from './types.js';

/** Callers may keep using a known address this long after a stop began. */
const MIN_DRAIN_MS = 3_000;
/**
 * From then on a stop closes idle connections: the directory has named other
 * entries for as long as its answers hold, and a request on a kept connection
 * could only be refused later.
 */
const CLOSE_IDLE_AFTER_MS = 1_000;
/** Longest time reserved for closing connections before the process is killed. */
const MAX_CLOSE_RESERVE_MS = 500;
/** The most that it takes of a short grace, so that requests get the rest. */
const CLOSE_RESERVE_SHARE = 1 / 12;
/** The part of the reserve in which the process exits. */
const EXIT_RESERVE_SHARE = 0.4;
/** How often the end of a stop is checked within the reserve, at least. */
const CHECKS_PER_RESERVE = 5;
/** Factor on the expected duration of a request whose caller comes late. */
const LATE_REQUEST_MARGIN = 2;

/** The requests of an entry while it stops. */
export interface StoppingRequests {
  readonly requestsInFlight: number;
  /** Closes connections without a request. */
  closeIdle(): void;
}

/** The planned stop of one entry, before and after it begins. */
export class PlannedStop {
  private readonly durations = new RequestDurations();
  private readonly closeReserveMs: number;
  private readonly checkIntervalMs: number;
  private startedAtMs: number | undefined;

  /** The process is killed `graceMs` after the stop began. */
  constructor(private readonly graceMs: number) {
    this.closeReserveMs = Math.min(
      MAX_CLOSE_RESERVE_MS,
      graceMs * CLOSE_RESERVE_SHARE,
    );
    this.checkIntervalMs = Math.min(
      CHECK_INTERVAL_MS,
      this.closeReserveMs / CHECKS_PER_RESERVE,
    );
  }

  get hasBegun(): boolean {
    return this.startedAtMs !== undefined;
  }

  begin(): void {
    this.startedAtMs = monotonicNowMs();
  }

  /** Records a request that was answered whole. */
  noteAnswered({route, receivedAtMs}: InboundRequest): void {
    const nowMs = monotonicNowMs();
    this.durations.note(route.name, nowMs - receivedAtMs, nowMs);
  }

  /**
   * Whether a request is left to other entries, since it is not likely to end
   * before the connections close. From a caller that could know of the stop no
   * stream is taken, and other requests with some margin: they grow longer while
   * entries stop under load, streams most.
   */
  isTooLateFor({name, kind, timeoutMs}: Route): boolean {
    if (!this.hasBegun) return false;
    const isKnownToCallers = this.elapsedMs >= MIN_DRAIN_MS;
    if (isKnownToCallers && kind === 'stream') return true;
    const recentMs = this.durations.longestMs(name, monotonicNowMs());
    const margin = isKnownToCallers ? LATE_REQUEST_MARGIN : 1;
    const leftMs = this.maxDrainMs - this.elapsedMs;
    return (recentMs ?? timeoutMs) * margin > leftMs;
  }

  /** Resolves when no request is left, or the connections have to close. */
  untilDrained(requests: StoppingRequests): Promise<void> {
    return waitUntil(() => {
      const {elapsedMs} = this;
      if (elapsedMs >= CLOSE_IDLE_AFTER_MS) requests.closeIdle();
      const isIdle = requests.requestsInFlight === 0;
      const isIdleLongEnough = isIdle && elapsedMs >= MIN_DRAIN_MS;
      return isIdleLongEnough || elapsedMs >= this.maxDrainMs;
    }, this.checkIntervalMs);
  }

  /** Resolves when the requests that lost their connections have ended. */
  async untilEnded(requests: StoppingRequests): Promise<void> {
    if (requests.requestsInFlight === 0) return;
    const exitReserveMs = this.closeReserveMs * EXIT_RESERVE_SHARE;
    await waitUntil(
      () =>
        requests.requestsInFlight === 0 ||
        this.elapsedMs >= this.graceMs - exitReserveMs,
      this.checkIntervalMs,
    );
  }

  private get elapsedMs(): number {
    return monotonicNowMs() - (this.startedAtMs ?? monotonicNowMs());
  }

  private get maxDrainMs(): number {
    return this.graceMs - this.closeReserveMs;
  }
}
