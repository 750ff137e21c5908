/**
 * Keeps an entry's configuration up to date: a cold start from disk, peers or
 * control members, a long poll if the instance is a watcher of its domain, and
 * a fetch from a peer whenever gossip reports a newer version.
 */
import type {EntrySettings} from '../config/settings.js';
import type {ConfigurationHolder} from '../control/configuration_holder.js';
import {
  loadInitialConfiguration,
  fetchFromPeer,
} from '../control/configuration_peers.js';
import {ConfigurationWatcher} from '../control/configuration_watcher.js';
import type {MembershipView} from '../membership/membership_view.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {EntryIdentity} from './fleet_state.js';

const VERSION_CHECK_INTERVAL_MS = 250;
const COLD_START_INTERVAL_MS = 1_000;

/** Dependencies of a `ConfigurationFollower`. */
export interface ConfigurationFollowerOptions {
  readonly identity: EntryIdentity;
  readonly settings: EntrySettings;
  readonly client: RpcClient;
  readonly holder: ConfigurationHolder;
  readonly membership: MembershipView;
  readonly random: () => number;
}

/** Follows the accepted configuration on one entry. */
export class ConfigurationFollower {
  private readonly watcher: ConfigurationWatcher;
  private timers: readonly NodeJS.Timeout[] = [];
  private isFetching = false;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    const {client, holder, membership} = options;
    this.watcher = new ConfigurationWatcher({
      rpc: client,
      holder,
      controlAddresses: () => this.controlAddresses(),
      isWatcher: () => membership.buildsSummary(),
    });
  }

  /** Resolves after the first attempt to obtain a configuration. */
  async start(): Promise<void> {
    await this.fetchInitial();
    this.watcher.start();
    this.timers = [
      setInterval(() => void this.fetchNewest(), VERSION_CHECK_INTERVAL_MS),
      setInterval(() => void this.fetchInitial(), COLD_START_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.watcher.stop();
    this.timers.forEach(timer => clearInterval(timer));
  }

  private async fetchInitial(): Promise<void> {
    const {holder, client, settings} = this.options;
    if (holder.current() !== undefined) return;
    await loadInitialConfiguration({
      rpc: client,
      holder,
      peerAddresses: settings.seedAddresses,
      controlAddresses: this.controlAddresses(),
    });
  }

  // Gossip carries only version numbers; the configuration itself is fetched
  // from a peer that reports the version.
  private async fetchNewest(): Promise<void> {
    const {membership, holder} = this.options;
    const newest = membership.newestConfigVersion();
    if (this.isFetching || newest <= holder.version()) return;
    this.isFetching = true;
    try {
      await this.fetchFromMember(newest);
    } finally {
      this.isFetching = false;
    }
  }

  private async fetchFromMember(version: number): Promise<void> {
    const {membership, holder, client, identity, random} = this.options;
    const candidates = membership
      .members()
      .filter(member => member.configVersion >= version)
      .filter(member => member.instanceId !== identity.instanceId);
    const chosen = candidates[Math.floor(random() * candidates.length)];
    if (chosen === undefined) return;
    await fetchFromPeer(client, holder, chosen.innerAddress);
  }

  private controlAddresses(): readonly string[] {
    const {holder, settings} = this.options;
    const configured = holder.current()?.configuration.controlMembers ?? [];
    const addresses = configured.map(member => member.innerAddress);
    return [...new Set([...addresses, ...settings.controlAddresses])];
  }
}
