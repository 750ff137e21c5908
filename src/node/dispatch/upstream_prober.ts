/**
 * Probes upstreams for the schedulers of an entry. The entry may itself have
 * lost its path to an upstream that is well, so before an upstream is given up,
 * another entry of the region probes it too.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {InstanceId, RegionId} from '../types/ids.js';
import {PROBE_METHOD} from './messages.js';
import type {HealthResult, UpstreamFeed} from './upstream_feed.js';

/** The other entry's own probe and the way there and back. */
const PEER_PROBE_TIMEOUT_MS = 600;

export interface UpstreamProberOptions {
  readonly region: RegionId;
  readonly self: InstanceId;
  readonly members: FleetMembers;
  readonly feed: UpstreamFeed;
  readonly client: RpcClient;
}

/** The probes of one entry. */
export class UpstreamProber {
  constructor(private readonly options: UpstreamProberOptions) {}

  /** The health of an upstream, as this entry or another one finds it. */
  async probe(address: string, path: string): Promise<HealthResult> {
    const own = await this.options.feed.health(address, path);
    if (own.kind === 'healthy') return own;
    const other = await this.probeThroughPeer(address, path);
    return other?.kind === 'healthy' ? other : own;
  }

  private async probeThroughPeer(
    address: string,
    path: string,
  ): Promise<HealthResult | undefined> {
    const {region, self, members, client} = this.options;
    const peers = members
      .liveEntries(region, monotonicNowMs())
      .filter(each => each.instanceId !== self);
    const peer = peers[Math.floor(Math.random() * peers.length)];
    if (peer === undefined) return undefined;
    const result = await client.call<HealthResult>(
      peer.innerAddress,
      PROBE_METHOD,
      {address, path},
      PEER_PROBE_TIMEOUT_MS,
    );
    // Without a second opinion the own probe counts.
    return result.unwrapOr(undefined as HealthResult | undefined);
  }
}
