/**
 * Detects requests that crash upstreams. A request is identified by the digest
 * of its workspace and body. When an upstream crashes, all requests that it ran
 * become suspects; a successful run clears a suspect; the loss of a second
 * upstream that ran the suspect quarantines it.
 *
 * If two suspects run on the same second upstream, its loss does not tell which
 * one caused it. Callers avoid this by excluding `trialUpstreamIds()` when they
 * route a suspect.
 */
import type {Digest, UpstreamId} from '../../types/ids.js';
import {LOSSES_TO_QUARANTINE, MAX_DIGESTS, SUSPICION_MS} from './constants.js';

/** Whether a request may run now. */
export type CrashVerdict =
  | {readonly kind: 'clear'}
  /** It may run once more, on an upstream not in `avoid`; see `startTrial`. */
  | {readonly kind: 'suspect'; readonly avoid: ReadonlySet<UpstreamId>}
  /** Another copy of the suspect is running: reject, or wait for its end. */
  | {readonly kind: 'trial_running'}
  | {readonly kind: 'quarantined'; readonly forMs: number};

/** The state of one digest as instances exchange it. */
export interface CrashEntry {
  readonly digest: Digest;
  readonly lostUpstreamIds: readonly UpstreamId[];
  /** Losses cleared by a successful run. */
  readonly forgivenUpstreamIds: readonly UpstreamId[];
  /** A duration, as monotonic clocks of two instances are not comparable. */
  readonly remainingMs: number;
}

interface Suspicion {
  /** Losses observed by this or another instance. */
  readonly lost: Set<UpstreamId>;
  /** Losses observed by this instance, which it exports to others. */
  readonly lostLocally: Set<UpstreamId>;
  /** Losses cleared by a successful run. */
  readonly cleared: Set<UpstreamId>;
  untilMs: number;
  trialUpstreamId: UpstreamId | undefined;
}

/** The suspicions of one instance, including those imported from others. */
export class CrashLedger {
  private readonly suspicions = new Map<Digest, Suspicion>();

  /** `quarantineMs` reads `PolicyConfig.quarantineMs`. */
  constructor(private readonly quarantineMs: () => number) {}

  /** Whether a request may run. */
  verdict(digest: Digest, nowMs: number): CrashVerdict {
    const suspicion = this.active(digest, nowMs);
    if (suspicion === undefined || suspicion.lost.size === 0) {
      return {kind: 'clear'};
    }
    if (isQuarantined(suspicion)) {
      return {kind: 'quarantined', forMs: suspicion.untilMs - nowMs};
    }
    if (suspicion.trialUpstreamId !== undefined) return {kind: 'trial_running'};
    const avoid = new Set([...suspicion.lost, ...this.trialUpstreamIds()]);
    return {kind: 'suspect', avoid};
  }

  /** The upstreams that were lost while they ran a request. */
  lostUpstreamIds(digest: Digest, nowMs: number): readonly UpstreamId[] {
    return [...(this.active(digest, nowMs)?.lost ?? [])].sort();
  }

  /** The upstreams on which suspects run now. */
  trialUpstreamIds(): ReadonlySet<UpstreamId> {
    return new Set(
      [...this.suspicions.values()].flatMap(each =>
        each.trialUpstreamId === undefined ? [] : [each.trialUpstreamId],
      ),
    );
  }

  /** Records that a suspect was sent to an upstream. */
  startTrial(digest: Digest, upstreamId: UpstreamId): void {
    const suspicion = this.suspicions.get(digest);
    if (suspicion !== undefined) suspicion.trialUpstreamId = upstreamId;
  }

  /** Records that a trial ended without an answer and without a crash. */
  endTrial(digest: Digest): void {
    const suspicion = this.suspicions.get(digest);
    if (suspicion !== undefined) suspicion.trialUpstreamId = undefined;
  }

  /** Records a completed request: it did not cause the losses so far. */
  recordSuccess(digest: Digest, nowMs: number): void {
    const suspicion = this.active(digest, nowMs);
    if (suspicion === undefined) return;
    suspicion.trialUpstreamId = undefined;
    if (isQuarantined(suspicion)) return;
    [...suspicion.lost].forEach(each => clearLoss(suspicion, each));
  }

  /** Records that an upstream crashed while it ran these requests. */
  recordLoss(
    upstreamId: UpstreamId,
    running: readonly Digest[],
    nowMs: number,
  ): void {
    running.forEach(digest => {
      const suspicion = this.getOrCreate(digest, nowMs);
      suspicion.trialUpstreamId = undefined;
      // A later loss of an upstream whose loss was cleared is a new one.
      suspicion.cleared.delete(upstreamId);
      suspicion.lostLocally.add(upstreamId);
      this.addLoss(suspicion, upstreamId, nowMs);
    });
  }

  /** The entries that this instance sends to others. */
  exportEntries(nowMs: number): readonly CrashEntry[] {
    return [...this.suspicions]
      .filter(([, each]) => each.untilMs > nowMs)
      .filter(([, each]) => each.lostLocally.size + each.cleared.size > 0)
      .map(([digest, each]) => ({
        digest,
        lostUpstreamIds: [
          ...(isQuarantined(each) ? each.lost : each.lostLocally),
        ].sort(),
        forgivenUpstreamIds: [...each.cleared].sort(),
        remainingMs: each.untilMs - nowMs,
      }));
  }

  /** Merges the entries of another instance. Idempotent. */
  importEntries(entries: readonly CrashEntry[], nowMs: number): void {
    entries.forEach(entry => {
      const suspicion = this.getOrCreate(entry.digest, nowMs);
      if (!isQuarantined(suspicion)) {
        entry.forgivenUpstreamIds.forEach(each => clearLoss(suspicion, each));
      }
      entry.lostUpstreamIds
        .filter(each => !suspicion.cleared.has(each))
        .filter(each => !suspicion.lost.has(each))
        .forEach(each => this.addLoss(suspicion, each, nowMs));
    });
  }

  /** Removes expired suspicions. */
  expire(nowMs: number): void {
    [...this.suspicions]
      .filter(([, each]) => each.untilMs <= nowMs)
      .forEach(([digest]) => this.suspicions.delete(digest));
  }

  private addLoss(
    suspicion: Suspicion,
    upstreamId: UpstreamId,
    nowMs: number,
  ): void {
    suspicion.lost.add(upstreamId);
    suspicion.untilMs =
      nowMs + (isQuarantined(suspicion) ? this.quarantineMs() : SUSPICION_MS);
  }

  private active(digest: Digest, nowMs: number): Suspicion | undefined {
    const suspicion = this.suspicions.get(digest);
    if (suspicion === undefined || suspicion.untilMs > nowMs) return suspicion;
    this.suspicions.delete(digest);
    return undefined;
  }

  private getOrCreate(digest: Digest, nowMs: number): Suspicion {
    const known = this.active(digest, nowMs);
    if (known !== undefined) return known;
    const created: Suspicion = {
      lost: new Set(),
      lostLocally: new Set(),
      cleared: new Set(),
      untilMs: nowMs + SUSPICION_MS,
      trialUpstreamId: undefined,
    };
    this.suspicions.set(digest, created);
    const [oldest] = this.suspicions.keys();
    if (this.suspicions.size > MAX_DIGESTS && oldest !== undefined) {
      this.suspicions.delete(oldest);
    }
    return created;
  }
}

function isQuarantined(suspicion: Suspicion): boolean {
  return suspicion.lost.size >= LOSSES_TO_QUARANTINE;
}

function clearLoss(suspicion: Suspicion, upstreamId: UpstreamId): void {
  suspicion.cleared.add(upstreamId);
  suspicion.lost.delete(upstreamId);
  suspicion.lostLocally.delete(upstreamId);
}
