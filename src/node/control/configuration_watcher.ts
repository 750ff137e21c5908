/**
 * Watches the control members for new versions from an entry that is one of its
 * domain's two watchers. Calls rotate over the members, so that one that is cut
 * off or unresponsive delays a version by only one call.
 */
import type {RpcClient} from '../rpc/rpc.js';
import type {ConfigurationHolder} from './configuration_holder.js';
import {applyReceived} from './configuration_peers.js';
import {
  ROLE_CHECK_INTERVAL_MS,
  MAX_WATCH_MS,
  MAX_WATCH_RETRY_MS,
  MIN_WATCH_PAUSE_MS,
  MIN_WATCH_RETRY_MS,
  WATCH_MARGIN_MS,
} from './constants.js';
import type {WatchResult} from './methods.js';

/** Dependencies of a watcher. */
export interface ConfigurationWatcherOptions {
  readonly rpc: RpcClient;
  readonly holder: ConfigurationHolder;
  /** Inner addresses of the control members discovered so far. */
  readonly controlAddresses: () => readonly string[];
  /** Whether this instance is currently one of its domain's watchers. */
  readonly isWatcher: () => boolean;
}

/** Long-polls the control members in turn. */
export class ConfigurationWatcher {
  private isStopped = false;
  private nextIndex = 0;
  private failures = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ConfigurationWatcherOptions) {}

  start(): void {
    this.schedule(0);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    this.timer = setTimeout(() => {
      this.poll().then(
        nextMs => this.schedule(nextMs),
        () => this.schedule(MAX_WATCH_RETRY_MS),
      );
    }, delayMs);
  }

  /** Makes one call and returns the delay before the next one. */
  private async poll(): Promise<number> {
    const {rpc, holder, isWatcher} = this.options;
    const addresses = this.options.controlAddresses();
    if (!isWatcher() || addresses.length === 0) return ROLE_CHECK_INTERVAL_MS;
    const address = addresses[this.nextIndex % addresses.length] ?? '';
    this.nextIndex += 1;
    const response = await rpc.call<WatchResult>(
      address,
      'config.watch',
      {haveVersion: holder.version(), waitMs: MAX_WATCH_MS},
      MAX_WATCH_MS + WATCH_MARGIN_MS,
    );
    if (response.isErr()) return this.backoffAfterFailure(addresses.length);
    await applyReceived(holder, response.value);
    if (!response.value.hasLeader) {
      return this.backoffAfterFailure(addresses.length);
    }
    this.failures = 0;
    return MIN_WATCH_PAUSE_MS;
  }

  // The backoff grows only after every member has failed once, so that a
  // failing member does not delay the call to a healthy one.
  private backoffAfterFailure(memberCount: number): number {
    const failedRounds = Math.floor(this.failures / memberCount);
    this.failures += 1;
    return Math.min(MAX_WATCH_RETRY_MS, MIN_WATCH_RETRY_MS * 2 ** failedRounds);
  }
}
