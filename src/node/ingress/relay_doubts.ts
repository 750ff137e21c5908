/**
 * Regions to which this entry's relays fail or stay without an answer. A cut
 * between two regions shows here before digests from there have expired.
 */
import type {RegionId} from '../types/ids.js';

/** After this time the region is tried again. */
const DOUBT_MS = 2_000;

/** A relayed request that is not answered yet. */
export interface WaitingRelay {
  readonly region: RegionId;
  readonly sentAtMs: number;
  /** When its answer should have begun. */
  readonly dueAtMs: number;
}

/** The doubts of one entry. */
export class RelayDoubts {
  private readonly waiting = new Set<WaitingRelay>();
  private readonly failedAtMs = new Map<RegionId, number>();
  private readonly answeredAtMs = new Map<RegionId, number>();

  noteSent(region: RegionId, dueInMs: number, nowMs: number): WaitingRelay {
    const relay = {region, sentAtMs: nowMs, dueAtMs: nowMs + dueInMs};
    this.waiting.add(relay);
    return relay;
  }

  /** Records that the answer has begun. */
  noteAnswer(relay: WaitingRelay, nowMs: number): void {
    this.waiting.delete(relay);
    this.answeredAtMs.set(relay.region, nowMs);
  }

  noteEnd(relay: WaitingRelay, isFailed: boolean, nowMs: number): void {
    this.waiting.delete(relay);
    if (isFailed) this.failedAtMs.set(relay.region, nowMs);
  }

  /** Whether relays to the region failed lately, and none was answered since. */
  isDoubtful(region: RegionId, nowMs: number): boolean {
    const answeredAtMs = this.answeredAtMs.get(region) ?? -Infinity;
    const failedAtMs = this.failedAtMs.get(region) ?? -Infinity;
    const hasFailed =
      failedAtMs > answeredAtMs && nowMs - failedAtMs < DOUBT_MS;
    return (
      hasFailed ||
      [...this.waiting]
        .filter(each => each.region === region)
        .filter(({sentAtMs}) => sentAtMs > answeredAtMs)
        .some(({dueAtMs}) => nowMs >= dueAtMs && nowMs - dueAtMs < DOUBT_MS)
    );
  }
}
