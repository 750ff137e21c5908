/**
 * Connects an entry to the control members: announces it periodically, receives
 * the list of other instances, and fetches the control state when a member has
 * a newer one.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {Logger} from '../logging/logger.js';
import {instantNow, type Instant} from '../quotas/instant.js';
import type {QuotaReply, QuotaReport} from '../quotas/messages.js';
import type {ControlState} from '../routes/route_table.js';
import type {RpcClient} from '../rpc/rpc.js';
import {asId, type InstanceId} from '../types/ids.js';
import {
  ANNOUNCE_INTERVAL_MS,
  ANNOUNCE_TIMEOUT_MS,
  STARTUP_ANNOUNCE_INTERVAL_MS,
} from './constants.js';
import type {FleetMembers} from './fleet_members.js';
import {
  ANNOUNCE_METHOD,
  type Announcement,
  type AnnouncementReply,
  type ControlInstance,
} from './messages.js';
import {StateFetcher} from './state_fetcher.js';

/** Weight of one announcement in the average of a member's round trips. */
const ROUND_TRIP_WEIGHT = 0.3;

/** What an entry exchanges about quotas with the leader. */
export interface QuotaExchange {
  /** `undefined` for a member that does not lead. */
  reportFor(control: InstanceId): QuotaReport | undefined;
  apply(control: InstanceId, reply: QuotaReply, sentAt: Instant): void;
}

/** Dependencies of the link; `seedAddresses` may change while it runs. */
export interface ControlLinkOptions {
  readonly members: FleetMembers;
  /** For announcements. */
  readonly client: RpcClient;
  /** For control states, which may be large. */
  readonly bulkClient: RpcClient;
  readonly logger: Logger;
  /** Inner addresses of the initial control members, `host:port`. */
  readonly seedAddresses: () => readonly string[];
  readonly currentState: () => ControlState;
  readonly onState: (state: ControlState) => void;
  /** Called if a control member has a higher incarnation of this entry. */
  readonly onStaleIncarnation: (heldIncarnation: number) => void;
  readonly quotas?: QuotaExchange;
}

/** The link of one entry to all control members. */
export class ControlLink {
  private timer: ReturnType<typeof setTimeout> | undefined;
  private readonly pendingCalls = new Set<InstanceId>();
  private readonly isReachable = new Map<InstanceId, boolean>();
  /** Smoothed round trip of announcements. */
  private readonly roundTripMs = new Map<InstanceId, number>();
  private readonly fetcher: StateFetcher;

  constructor(private readonly options: ControlLinkOptions) {
    this.fetcher = new StateFetcher({...options, client: options.bulkClient});
  }

  /** Announces this entry now and periodically from now on. */
  start(): void {
    this.announceToAll();
    // An entry refuses all requests until it has a control state, so it
    // announces itself more often until then.
    const hasState = this.options.currentState().revision > 0;
    const intervalMs = hasState
      ? ANNOUNCE_INTERVAL_MS
      : STARTUP_ANNOUNCE_INTERVAL_MS;
    this.timer = setTimeout(() => this.start(), intervalMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  /** Announces immediately, for changes that must not wait for the interval. */
  announceToAll(): void {
    this.announceTo(undefined);
  }

  /** The same for one control member, or for all if none is named. */
  announceTo(control: InstanceId | undefined): void {
    this.targets()
      .filter(({instanceId}) => (control ?? instanceId) === instanceId)
      .filter(target => !this.pendingCalls.has(target.instanceId))
      .forEach(target => void this.announce(target));
  }

  /** Whether any control member replied to the last announcement to it. */
  isConnected(): boolean {
    return [...this.isReachable.values()].includes(true);
  }

  /** The reachable control member that answers fastest. */
  nearestMember(): ControlInstance | undefined {
    const roundTripMs = ({instanceId}: ControlInstance): number =>
      this.roundTripMs.get(instanceId) ?? Number.POSITIVE_INFINITY;
    return this.options.members
      .controlMembers()
      .filter(each => this.isReachable.get(each.instanceId) === true)
      .reduce<ControlInstance | undefined>(
        (nearest, each) =>
          nearest === undefined || roundTripMs(each) < roundTripMs(nearest)
            ? each
            : nearest,
        undefined,
      );
  }

  // A seed is identified by its host until a view lists that control member.
  private targets(): readonly ControlInstance[] {
    const known = this.options.members.controlMembers();
    const hosts = new Set(known.map(each => hostOf(each.innerAddress)));
    const seeds = this.options
      .seedAddresses()
      .filter(address => !hosts.has(hostOf(address)))
      .map(innerAddress => ({
        instanceId: asId<InstanceId>(hostOf(innerAddress)),
        innerAddress,
      }));
    return [...known, ...seeds];
  }

  private async announce(target: ControlInstance): Promise<void> {
    const {members, client, currentState} = this.options;
    const {instanceId, innerAddress} = target;
    this.pendingCalls.add(instanceId);
    const sentAt = instantNow();
    const announcement = this.announcementTo(instanceId);
    const reply = await client.call<AnnouncementReply>(
      innerAddress,
      ANNOUNCE_METHOD,
      announcement,
      ANNOUNCE_TIMEOUT_MS,
    );
    this.pendingCalls.delete(instanceId);
    this.recordReachability(instanceId, reply.isOk());
    if (reply.isErr()) return;
    this.recordRoundTrip(instanceId, monotonicNowMs() - sentAt.monotonicMs);
    const {incarnation, quotas} = reply.value;
    if (incarnation > members.self().incarnation) {
      this.options.onStaleIncarnation(incarnation);
    } else if (quotas !== undefined) {
      this.options.quotas?.apply(instanceId, quotas, sentAt);
    }
    members.updateView(instanceId, reply.value, monotonicNowMs());
    if (reply.value.revision > currentState().revision) {
      await this.fetcher.fetch(innerAddress);
    }
  }

  private announcementTo(control: InstanceId): Announcement {
    const {members, currentState, quotas} = this.options;
    return {
      entry: members.self(),
      revision: currentState().revision,
      viewId: members.viewIdOf(control),
      acceptsChanges: true,
      quotas: quotas?.reportFor(control),
    };
  }

  private recordRoundTrip(instanceId: InstanceId, tookMs: number): void {
    const before = this.roundTripMs.get(instanceId) ?? tookMs;
    const smoothedMs = before + ROUND_TRIP_WEIGHT * (tookMs - before);
    this.roundTripMs.set(instanceId, smoothedMs);
  }

  private recordReachability(
    instanceId: InstanceId,
    isReachable: boolean,
  ): void {
    const before = this.isReachable.get(instanceId);
    this.isReachable.set(instanceId, isReachable);
    if (before === isReachable) return;
    const event = isReachable ? 'control_regained' : 'control_lost';
    this.options.logger.info(
      {event, peer: instanceId},
      isReachable ? 'control member reachable' : 'control member unreachable',
    );
  }
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
