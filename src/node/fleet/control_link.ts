/**
 * Keeps an entry in touch with the control members: announces it, learns the
 * other instances, and fetches the control state when a member holds a newer
 * one.
 */
import {monotonicNowMs} from '../clock/clock.js';
import {unpack, type Packed} from '../control/packing.js';
import type {Logger} from '../logging/logger.js';
import type {ControlState} from '../routes/route_table.js';
import type {RpcClient} from '../rpc/rpc.js';
import {asId, type InstanceId} from '../types/ids.js';
import {
  ANNOUNCE_INTERVAL_MS,
  ANNOUNCE_TIMEOUT_MS,
  FETCH_TIMEOUT_MS,
  STARTING_INTERVAL_MS,
} from './constants.js';
import type {FleetMembers} from './fleet_members.js';
import {
  ANNOUNCE_METHOD,
  FETCH_STATE_METHOD,
  type Announcement,
  type AnnouncementReply,
  type ControlInstance,
} from './messages.js';

/** What the link needs; `seedAddresses` may change while it runs. */
export interface ControlLinkOptions {
  readonly members: FleetMembers;
  /** For announcements. */
  readonly client: RpcClient;
  /** For whole control states, which may be large. */
  readonly bulkClient: RpcClient;
  readonly logger: Logger;
  /** Inner addresses of control members to begin with, `host:port`. */
  readonly seedAddresses: () => readonly string[];
  readonly heldState: () => ControlState;
  readonly onState: (state: ControlState) => void;
  /** A control member holds a higher incarnation of this entry. */
  readonly onOutdated: (heldIncarnation: number) => void;
}

/** The running link of one entry. */
export class ControlLink {
  private timer: ReturnType<typeof setTimeout> | undefined;
  private readonly isCalling = new Set<InstanceId>();
  private readonly isReachable = new Map<InstanceId, boolean>();
  private isFetching = false;

  constructor(private readonly options: ControlLinkOptions) {}

  /** Announces this entry now and from now on. */
  start(): void {
    this.announceToAll();
    // Without any state every request is refused, so the first is urgent.
    const hasState = this.options.heldState().revision > 0;
    const intervalMs = hasState ? ANNOUNCE_INTERVAL_MS : STARTING_INTERVAL_MS;
    this.timer = setTimeout(() => this.start(), intervalMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  /** Announces at once, for changes that must not wait for the next turn. */
  announceToAll(): void {
    this.targets()
      .filter(target => !this.isCalling.has(target.instanceId))
      .forEach(target => void this.announce(target));
  }

  /** Whether a control member answered its last announcement. */
  isInTouch(): boolean {
    return [...this.isReachable.values()].includes(true);
  }

  // The seeds are named by host until a view tells more.
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
    const {members, client, heldState} = this.options;
    const {instanceId, innerAddress} = target;
    const announcement: Announcement = {
      entry: members.self(),
      revision: heldState().revision,
      viewId: members.viewIdOf(instanceId),
    };
    this.isCalling.add(instanceId);
    const reply = await client.call<AnnouncementReply>(
      innerAddress,
      ANNOUNCE_METHOD,
      announcement,
      ANNOUNCE_TIMEOUT_MS,
    );
    this.isCalling.delete(instanceId);
    this.noteReachable(instanceId, reply.isOk());
    if (reply.isErr()) return;
    const {incarnation} = reply.value;
    if (incarnation > members.self().incarnation) {
      this.options.onOutdated(incarnation);
    }
    members.updateView(instanceId, reply.value.view, monotonicNowMs());
    if (reply.value.revision > heldState().revision) {
      await this.fetchState(innerAddress);
    }
  }

  private async fetchState(address: string): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    const fetched = await this.options.bulkClient
      .call<Packed>(address, FETCH_STATE_METHOD, {}, FETCH_TIMEOUT_MS)
      .map(packed => unpack(packed) as ControlState);
    this.isFetching = false;
    if (fetched.isErr()) {
      this.options.logger.warn(
        {event: 'state_fetch_failed', peer: address, err: fetched.error},
        'the control state could not be fetched',
      );
      return;
    }
    if (fetched.value.revision <= this.options.heldState().revision) return;
    this.options.onState(fetched.value);
  }

  private noteReachable(instanceId: InstanceId, isReachable: boolean): void {
    const before = this.isReachable.get(instanceId);
    this.isReachable.set(instanceId, isReachable);
    if (before === isReachable) return;
    const event = isReachable ? 'control_regained' : 'control_lost';
    this.options.logger.info(
      {event, peer: instanceId},
      isReachable
        ? 'a control member answers'
        : 'a control member does not answer',
    );
  }
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
