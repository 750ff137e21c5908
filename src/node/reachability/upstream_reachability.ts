/**
 * Which upstreams this entry can open connections to. An entry may lose its
 * paths to upstreams that are well and serve other entries, so it judges for
 * itself alone: its requests avoid what it cannot reach, or go through another
 * entry.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {UpstreamId} from '../types/ids.js';

/** Interval at which upstreams that cannot be reached are tried again. */
const RETRY_INTERVAL_MS = 500;
/** Bounds the connections that one round of retries opens. */
const MAX_RETRIES_PER_ROUND = 4;
/** An upstream that is reachable is forgotten this long after its last use. */
const IDLE_RETENTION_MS = 30_000;
/**
 * One that is not is most likely gone after this time, unless no upstream at
 * all can be reached.
 */
const UNREACHABLE_RETENTION_MS = 60_000;

/** An upstream that has sent something this recently need not be tried. */
const RECENTLY_HEARD_MS = 700;
/** A single upstream that is unreachable is more likely down. */
const MIN_KNOWN_IF_CUT_OFF = 2;

/** An upstream that was granted to this entry. */
export interface UpstreamAddress {
  readonly upstreamId: UpstreamId;
  /** `host:port`. */
  readonly address: string;
}

interface KnownUpstream extends UpstreamAddress {
  usedAtMs: number;
  triedAtMs: number;
  isTrying: boolean;
  /** `undefined` while it can be reached. */
  unreachableSinceMs: number | undefined;
}

export interface UpstreamReachabilityOptions {
  /** Whether a new connection to the address can be opened; never rejects. */
  readonly canConnect: (address: string) => Promise<boolean>;
  /** When the upstream last sent something to this entry. */
  readonly heardAtMs: (upstreamId: UpstreamId) => number;
  /** Called when an upstream becomes unreachable. */
  readonly onLost: (upstream: UpstreamAddress) => void;
  /** Called when the last upstream becomes unreachable, or the first returns. */
  readonly onCutOff: (isCutOff: boolean) => void;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
}

/** The paths of one entry to the upstreams that it uses. */
export class UpstreamReachability {
  private readonly known = new Map<UpstreamId, KnownUpstream>();
  private timer: ReturnType<typeof setInterval> | undefined;
  private wasCutOff = false;
  /** When a path was last lost. */
  private lostAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: UpstreamReachabilityOptions) {}

  start(): void {
    this.timer = setInterval(() => this.retry(), RETRY_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** The upstreams that this entry cannot reach. */
  unreachable(): readonly UpstreamId[] {
    return [...this.known.values()]
      .filter(isUnreachable)
      .map(each => each.upstreamId);
  }

  /** Whether none of the upstreams that this entry uses can be reached. */
  get isCutOff(): boolean {
    const known = [...this.known.values()];
    return known.length >= MIN_KNOWN_IF_CUT_OFF && known.every(isUnreachable);
  }

  /** Records that a request is sent to the upstream. */
  noteUse({upstreamId, address}: UpstreamAddress): void {
    const nowMs = monotonicNowMs();
    const known = this.known.get(upstreamId);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return;
    }
    this.known.set(upstreamId, {
      upstreamId,
      address,
      usedAtMs: nowMs,
      triedAtMs: Number.NEGATIVE_INFINITY,
      isTrying: false,
      unreachableSinceMs: undefined,
    });
  }

  /** Tries an upstream that a request has had trouble with. */
  doubt(upstreamId: UpstreamId): void {
    const known = this.known.get(upstreamId);
    if (known === undefined || isUnreachable(known)) return;
    void this.tryToConnect(known);
  }

  private retry(): void {
    this.forgetUnused();
    [...this.known.values()]
      .filter(isUnreachable)
      .sort((left, right) => left.triedAtMs - right.triedAtMs)
      .slice(0, MAX_RETRIES_PER_ROUND)
      .forEach(each => void this.tryToConnect(each));
    this.trySilent();
  }

  // An upstream that was heard from just before another one was lost is tried once
  // if it has been silent since: its path may be lost as well.
  private trySilent(): void {
    const heardAfterMs = monotonicNowMs() - RECENTLY_HEARD_MS;
    [...this.known.values()]
      .filter(each => !isUnreachable(each) && each.triedAtMs < this.lostAtMs)
      .filter(({upstreamId}) => {
        const heardAtMs = this.options.heardAtMs(upstreamId);
        return heardAtMs < heardAfterMs && heardAtMs < this.lostAtMs;
      })
      .forEach(each => void this.tryToConnect(each));
  }

  private async tryToConnect(known: KnownUpstream): Promise<void> {
    if (known.isTrying) return;
    known.isTrying = true;
    known.triedAtMs = monotonicNowMs();
    const {canConnect} = this.options;
    // A lost packet must not take a path that is sound.
    const isReachable =
      (await canConnect(known.address)) ||
      (!isUnreachable(known) && (await canConnect(known.address)));
    known.isTrying = false;
    if (isReachable === isUnreachable(known)) this.change(known, isReachable);
  }

  private change(known: KnownUpstream, isReachable: boolean): void {
    const {logger, metrics, onLost} = this.options;
    const {upstreamId: upstream, usedAtMs} = known;
    const nowMs = monotonicNowMs();
    known.unreachableSinceMs = isReachable ? undefined : nowMs;
    if (!isReachable) this.lostAtMs = nowMs;
    const event = isReachable ? 'path_regained' : 'path_lost';
    metrics.count('path_changes', {event});
    logger.info(
      {event, upstream, usedAgoMs: Math.round(nowMs - usedAtMs)},
      isReachable ? 'upstream reachable' : 'upstream unreachable from here',
    );
    if (!isReachable) onLost(known);
    this.reportCutOff();
    this.tryOthers(isReachable);
  }

  // What became of one path has most likely become of others.
  private tryOthers(isReachable: boolean): void {
    const heardAfterMs = monotonicNowMs() - RECENTLY_HEARD_MS;
    [...this.known.values()]
      .filter(each => isUnreachable(each) === isReachable)
      .filter(
        ({upstreamId}) =>
          isReachable || this.options.heardAtMs(upstreamId) < heardAfterMs,
      )
      .forEach(each => void this.tryToConnect(each));
  }

  private reportCutOff(): void {
    const {isCutOff} = this;
    if (isCutOff === this.wasCutOff) return;
    this.wasCutOff = isCutOff;
    this.options.logger.warn(
      {
        event: isCutOff ? 'paths_lost' : 'paths_regained',
        known: this.known.size,
      },
      isCutOff ? 'no upstream is reachable' : 'upstreams are reachable again',
    );
    this.options.onCutOff(isCutOff);
  }

  private forgetUnused(): void {
    const nowMs = monotonicNowMs();
    const {isCutOff} = this;
    [...this.known.values()]
      .filter(({unreachableSinceMs, usedAtMs}) =>
        unreachableSinceMs === undefined
          ? nowMs - usedAtMs > IDLE_RETENTION_MS
          : !isCutOff && nowMs - unreachableSinceMs > UNREACHABLE_RETENTION_MS,
      )
      .forEach(({upstreamId}) => this.known.delete(upstreamId));
    this.reportCutOff();
  }
}

function isUnreachable({unreachableSinceMs}: KnownUpstream): boolean {
  return unreachableSinceMs !== undefined;
}
