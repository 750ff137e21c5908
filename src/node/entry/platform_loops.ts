/**
 * Periodic exchange with the platform: reads its list of upstreams, which lags
 * behind their actual state, and publishes the domain's entries in the clients'
 * directory.
 */
import type {ClientDirectory} from '../adapters/directory/client_directory.js';
import type {PlatformFeed} from '../adapters/platform/platform_feed.js';
import {monotonicNowMs} from '../clock/clock.js';
import type {MembershipView} from '../membership/membership_view.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {EntryIdentity, FleetState} from './fleet_state.js';

const FEED_INTERVAL_MS = 1_000;
const DIRECTORY_INTERVAL_MS = 5_000;

/** Dependencies of `PlatformLoops`. */
export interface PlatformLoopsOptions {
  readonly identity: EntryIdentity;
  readonly fleet: FleetState;
  readonly membership: MembershipView;
  readonly metrics: MetricsRegistry;
  readonly feed: PlatformFeed;
  readonly directory: ClientDirectory;
}

/** Timers that run the exchange from construction until `stop`. */
export class PlatformLoops {
  private readonly timers: readonly NodeJS.Timeout[];

  constructor(private readonly options: PlatformLoopsOptions) {
    this.timers = [
      setInterval(() => void this.readUpstreamList(), FEED_INTERVAL_MS),
      setInterval(() => void this.publishEntries(), DIRECTORY_INTERVAL_MS),
    ];
    void this.readUpstreamList();
    void this.publishEntries();
  }

  stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
  }

  /**
   * Publishes the domain's live entries, without leaving ones. Only watchers and
   * an entry that is itself leaving do so.
   */
  async publishEntries(): Promise<void> {
    const {membership, directory, identity, metrics} = this.options;
    if (!membership.buildsSummary() && !this.isLeaving()) return;
    const addresses = membership
      .liveMembers()
      .map(member => member.callerAddress);
    try {
      await directory.publish(identity.domainId, addresses);
    } catch {
      metrics.count('directory_failures_total');
    }
  }

  private isLeaving(): boolean {
    return this.options.membership
      .members()
      .some(
        member =>
          member.instanceId === this.options.identity.instanceId &&
          member.state !== 'alive',
      );
  }

  private async readUpstreamList(): Promise<void> {
    const {feed, fleet, metrics} = this.options;
    try {
      const listed = await feed.listUpstreams();
      const nowMs = monotonicNowMs();
      fleet.localUpstreams().forEach(({upstreamId}) => {
        const state = listed.get(upstreamId) ?? 'live';
        if (state === 'live') {
          fleet.health.clearLeaving(upstreamId, 'platform_list', nowMs);
        } else {
          fleet.health.markLeaving(upstreamId, 'platform_list', nowMs);
        }
      });
    } catch {
      // Keep the last list, so that a feed outage doesn't clear it.
      metrics.count('platform_feed_failures_total');
    }
  }
}
