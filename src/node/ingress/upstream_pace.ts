/**
 * Tracks how fast each upstream answers the requests of this entry, to tell an
 * upstream that has stalled from one that is only slow: engines differ in the
 * time of a step, and a long prompt delays every stream beside it.
 */
import type {UpstreamId} from '../types/ids.js';

/** Silence that is never a stall, on top of the expected time. */
const MIN_STALL_MS = 500;
/** Ceiling, so that an upstream known for long gaps is still given up. */
const MAX_STALL_MS = 3_000;
/** A stall is this many times longer than the gaps seen at the upstream. */
const STALL_GAP_FACTOR = 2;
/** Decay constant of the largest gap and delay that were observed. */
const DECAY_MS = 5_000;
/** Bounds the delay factor: an expected time may be a few ms. */
const MIN_EXPECTED_MS = 50;
const MAX_DELAY_FACTOR = 6;
/** Upstreams without progress for this long are forgotten. */
const RETENTION_MS = 60_000;

interface Pace {
  progressAtMs: number;
  /** Largest recent gap between two events of a stream. */
  gapMs: number;
  /** Largest recent ratio of the time to a first answer to its expectation. */
  delayFactor: number;
  updatedAtMs: number;
}

/** A request at an upstream and the expected time to its first answer. */
export interface ExpectedAnswer {
  readonly upstreamId: UpstreamId;
  readonly expectedMs: number;
}

/** Progress of one request. */
export interface Progress {
  readonly sentAtMs: number;
  /** Its previous progress; 0 if this is the first. */
  readonly previousAtMs: number;
  readonly nowMs: number;
}

/** The observed paces of the upstreams that this entry uses. */
export class UpstreamPaces {
  private readonly paces = new Map<UpstreamId, Pace>();

  /** Records an answer or an event of a request. */
  noteProgress(expected: ExpectedAnswer, progress: Progress): void {
    const {sentAtMs, previousAtMs, nowMs} = progress;
    const pace = this.decayed(expected.upstreamId, nowMs);
    pace.progressAtMs = nowMs;
    if (previousAtMs > 0) {
      pace.gapMs = Math.max(pace.gapMs, nowMs - previousAtMs);
      return;
    }
    const expectedMs = Math.max(MIN_EXPECTED_MS, expected.expectedMs);
    const factor = Math.min(MAX_DELAY_FACTOR, (nowMs - sentAtMs) / expectedMs);
    pace.delayFactor = Math.max(pace.delayFactor, factor);
  }

  /** When any request of this entry last made progress at the upstream. */
  progressAtMs(upstreamId: UpstreamId): number {
    return this.paces.get(upstreamId)?.progressAtMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Expected time to a first answer, corrected by recent answers. */
  firstAnswerMs(
    {upstreamId, expectedMs}: ExpectedAnswer,
    nowMs: number,
  ): number {
    return expectedMs * this.decayed(upstreamId, nowMs).delayFactor;
  }

  /**
   * Silence beyond the expected time after which a request counts as stalled.
   * `usualMs` is the time that it may take without being late.
   */
  stallMs(upstreamId: UpstreamId, usualMs: number, nowMs: number): number {
    const {gapMs} = this.decayed(upstreamId, nowMs);
    const stallMs = Math.max(usualMs, STALL_GAP_FACTOR * gapMs);
    return Math.min(MAX_STALL_MS, Math.max(MIN_STALL_MS, stallMs));
  }

  private decayed(upstreamId: UpstreamId, nowMs: number): Pace {
    const known = this.paces.get(upstreamId) ?? this.create(upstreamId, nowMs);
    const decay = Math.exp(-Math.max(0, nowMs - known.updatedAtMs) / DECAY_MS);
    known.gapMs *= decay;
    known.delayFactor = 1 + (known.delayFactor - 1) * decay;
    known.updatedAtMs = nowMs;
    return known;
  }

  private create(upstreamId: UpstreamId, nowMs: number): Pace {
    this.forgetIdle(nowMs);
    const created: Pace = {
      progressAtMs: Number.NEGATIVE_INFINITY,
      gapMs: 0,
      delayFactor: 1,
      updatedAtMs: nowMs,
    };
    this.paces.set(upstreamId, created);
    return created;
  }

  private forgetIdle(nowMs: number): void {
    [...this.paces]
      .filter(([, pace]) => nowMs - pace.updatedAtMs > RETENTION_MS)
      .forEach(([upstreamId]) => this.paces.delete(upstreamId));
  }
}
