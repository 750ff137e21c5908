/**
 * Passes the origins of a domain's streams on to a control member, in few calls:
 * control members outlive the entries, but there are few of them.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {ControlInstance} from '../fleet/messages.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {RpcClient} from '../rpc/rpc.js';
import {NOTE_ORIGINS_METHOD, type OriginBatch} from './messages.js';
import type {StreamOrigin} from './origin_store.js';

/** Minimum time between two calls; what is noted meanwhile shares the next. */
const FORWARD_INTERVAL_MS = 50;
const FORWARD_TIMEOUT_MS = 800;
const MAX_BATCH_ORIGINS = 500;
/** Origins kept while no control member answers; the oldest go first. */
const MAX_QUEUED_ORIGINS = 4_096;

export interface OriginForwarderOptions {
  readonly client: RpcClient;
  readonly metrics: MetricsRegistry;
  /** The control member that answers fastest, if any answers. */
  readonly nearestControlMember: () => ControlInstance | undefined;
}

/** Forwards origins until it is stopped. */
export class OriginForwarder {
  private queued: readonly StreamOrigin[] = [];
  private timer: ReturnType<typeof setTimeout> | undefined;
  private sentAtMs = Number.NEGATIVE_INFINITY;
  private isStopped = false;

  constructor(private readonly options: OriginForwarderOptions) {}

  add(origins: readonly StreamOrigin[]): void {
    this.enqueue([...this.queued, ...origins]);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private enqueue(origins: readonly StreamOrigin[]): void {
    this.queued = origins.slice(-MAX_QUEUED_ORIGINS);
    const dropped = origins.length - this.queued.length;
    if (dropped > 0) this.options.metrics.count('origins_dropped', {}, dropped);
    const isIdle = this.timer === undefined && this.queued.length > 0;
    if (!isIdle || this.isStopped) return;
    const sinceMs = monotonicNowMs() - this.sentAtMs;
    const delayMs = Math.max(0, FORWARD_INTERVAL_MS - sinceMs);
    this.timer = setTimeout(() => void this.flush(), delayMs);
  }

  private async flush(): Promise<void> {
    const {client, metrics, nearestControlMember} = this.options;
    const member = nearestControlMember();
    this.sentAtMs = monotonicNowMs();
    const origins = this.queued.slice(0, MAX_BATCH_ORIGINS);
    if (member !== undefined) {
      this.queued = this.queued.slice(origins.length);
      const batch: OriginBatch = {origins, mustForward: false};
      const sent = await client.call(
        member.innerAddress,
        NOTE_ORIGINS_METHOD,
        batch,
        FORWARD_TIMEOUT_MS,
      );
      metrics.count('origins_forwarded', {result: sent.isOk() ? 'ok' : 'lost'});
      // Another member may answer next time.
      if (sent.isErr()) this.queued = [...origins, ...this.queued];
    }
    this.timer = undefined;
    this.enqueue(this.queued);
  }
}
