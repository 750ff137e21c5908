/** Long polls that wait for a newer configuration version. */
import {GatewayError} from '../types/errors.js';
import type {ConfigVersion} from '../types/ids.js';
import type {ConfigurationMachine} from './configuration_machine.js';
import {MAX_WATCH_MS, MAX_WATCHERS} from './constants.js';
import type {WatchResult} from './methods.js';

/** Keeps `config.watch` calls open until there is a newer version. */
export class VersionWatchers {
  private readonly pendingWakes = new Set<() => void>();
  private readonly unsubscribe: () => void;

  constructor(
    private readonly machine: ConfigurationMachine,
    private readonly hasLeader: () => boolean,
  ) {
    this.unsubscribe = machine.subscribe(() => this.wakeAll());
  }

  /**
   * Resolves with the current version once it is newer than `haveVersion`, or
   * after `waitMs`. Resolves at once if this member has lost its leader, so
   * that the caller turns to another member.
   */
  async wait(haveVersion: ConfigVersion, waitMs: number): Promise<WatchResult> {
    const isNewer = this.machine.version() > haveVersion;
    if (isNewer || waitMs === 0 || !this.hasLeader()) {
      return this.currentResult(haveVersion);
    }
    if (this.pendingWakes.size >= MAX_WATCHERS) {
      throw new GatewayError({
        code: 'overloaded',
        message: `the limit of ${MAX_WATCHERS} waiting watchers is reached`,
        step: 'config.watch',
        peer: 'self',
      });
    }
    await this.waitForChange(Math.min(waitMs, MAX_WATCH_MS));
    return this.currentResult(haveVersion);
  }

  stop(): void {
    this.unsubscribe();
    this.wakeAll();
  }

  private currentResult(haveVersion: ConfigVersion): WatchResult {
    const version = this.machine.version();
    const packed = this.machine.packedConfiguration();
    const hasLeader = this.hasLeader();
    return version > haveVersion && packed !== undefined
      ? {version, packed, hasLeader}
      : {version, hasLeader};
  }

  private waitForChange(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.pendingWakes.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.pendingWakes.add(wake);
    });
  }

  private wakeAll(): void {
    [...this.pendingWakes].forEach(wake => wake());
  }
}
