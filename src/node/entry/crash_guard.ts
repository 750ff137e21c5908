/**
 * Quarantines requests that crash the upstreams that run them. Tracks which
 * requests run on which upstream, and shares losses with other instances by
 * gossip.
 */
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import {CrashLedger} from '../decisions/quarantine/crash_ledger.js';
import {SUSPICION_MS} from '../decisions/quarantine/constants.js';
import type {QuarantineEntry} from '../membership/items.js';
import type {MembershipView} from '../membership/membership_view.js';
import {GatewayError} from '../types/errors.js';
import {
  asId,
  type Digest,
  type RequestId,
  type UpstreamId,
} from '../types/ids.js';

const STEP = 'entry.quarantine';
const REASON_PREFIX = 'lost ';
const EXPIRY_INTERVAL_MS = 10_000;

/** Publishes a quarantine entry to the other instances. */
export type PublishQuarantine = (entry: QuarantineEntry) => void;

/** Decides which upstreams a request may use, from the known losses. */
export class CrashGuard {
  private readonly ledger: CrashLedger;
  private readonly running = new Map<UpstreamId, Map<RequestId, Digest>>();
  private lastExpiryAtMs = 0;

  constructor(
    quarantineMs: () => number,
    private readonly membership: MembershipView,
    private readonly publish: PublishQuarantine,
  ) {
    this.ledger = new CrashLedger(quarantineMs);
  }

  /**
   * Upstreams that a request must not use. Throws `quarantined` if it must not
   * run at all.
   */
  check(digest: Digest): ReadonlySet<UpstreamId> {
    const nowMs = monotonicNowMs();
    this.expire(nowMs);
    this.importShared(digest, nowMs);
    const verdict = this.ledger.verdict(digest, nowMs);
    switch (verdict.kind) {
      case 'clear':
        return new Set();
      case 'suspect':
        return verdict.avoid;
      case 'trial_running':
        throw quarantined(
          'an upstream was lost while it ran this request; another copy of it is being tried',
          undefined,
        );
      case 'quarantined':
        throw quarantined(
          'upstreams were lost while they ran this request; it is in quarantine',
          verdict.forMs,
        );
    }
  }

  recordStart(upstreamId: UpstreamId, requestId: RequestId, digest: Digest) {
    const requests =
      this.running.get(upstreamId) ?? new Map<RequestId, Digest>();
    requests.set(requestId, digest);
    this.running.set(upstreamId, requests);
    this.ledger.startTrial(digest, upstreamId);
  }

  recordEnd(
    upstreamId: UpstreamId,
    requestId: RequestId,
    digest: Digest,
    isAnswered: boolean,
  ): void {
    this.running.get(upstreamId)?.delete(requestId);
    if (isAnswered) {
      this.ledger.recordSuccess(digest, monotonicNowMs());
    } else {
      this.ledger.endTrial(digest);
    }
  }

  /** Records a lost upstream: every request that ran on it becomes suspect. */
  recordLoss(upstreamId: UpstreamId, digest: Digest): void {
    const nowMs = monotonicNowMs();
    const concurrentDigests = this.running.get(upstreamId)?.values() ?? [];
    const digests = [...new Set([digest, ...concurrentDigests])];
    this.ledger.recordLoss(upstreamId, digests, nowMs);
    this.ledger
      .exportEntries(nowMs)
      .filter(entry => digests.includes(entry.digest))
      .forEach(entry =>
        this.publish({
          digest: entry.digest,
          expiresAtMs: wallNowMs() + entry.remainingMs,
          reason: REASON_PREFIX + entry.lostUpstreamIds.join(' '),
        }),
      );
  }

  /** The upstreams that were lost while running a request. */
  lostUpstreamIds(digest: Digest): readonly UpstreamId[] {
    const nowMs = monotonicNowMs();
    this.importShared(digest, nowMs);
    return this.ledger.lostUpstreamIds(digest, nowMs);
  }

  /** Imports losses that another domain reports with a forwarded request. */
  importLosses(digest: Digest, lostUpstreamIds: readonly UpstreamId[]): void {
    if (lostUpstreamIds.length === 0) return;
    this.ledger.importEntries(
      [
        {
          digest,
          lostUpstreamIds,
          forgivenUpstreamIds: [],
          remainingMs: SUSPICION_MS,
        },
      ],
      monotonicNowMs(),
    );
  }

  private importShared(digest: Digest, nowMs: number): void {
    const shared = this.membership.quarantine().get(digest);
    if (shared === undefined || !shared.reason.startsWith(REASON_PREFIX)) {
      return;
    }
    const lostUpstreamIds = shared.reason
      .slice(REASON_PREFIX.length)
      .split(' ')
      .map(id => asId<UpstreamId>(id));
    const remainingMs = shared.expiresAtMs - wallNowMs();
    this.ledger.importEntries(
      [{digest, lostUpstreamIds, forgivenUpstreamIds: [], remainingMs}],
      nowMs,
    );
  }

  private expire(nowMs: number): void {
    if (nowMs - this.lastExpiryAtMs < EXPIRY_INTERVAL_MS) return;
    this.lastExpiryAtMs = nowMs;
    this.ledger.expire(nowMs);
  }
}

function quarantined(
  message: string,
  retryAfterMs: number | undefined,
): GatewayError {
  return new GatewayError({
    code: 'quarantined',
    message,
    step: STEP,
    peer: 'self',
    work: 'not_run',
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  });
}
