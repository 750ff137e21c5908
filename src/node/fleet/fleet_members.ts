/** What an entry knows about the other instances, over all control members. */
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';
import {VIEW_EXPIRY_MS} from './constants.js';
import type {ControlInstance, EntryInstance, FleetView} from './messages.js';
import {lowestRanked, rankOf} from './rendezvous.js';

/** A failure domain with its region. */
export interface DomainLocation {
  readonly domain: DomainId;
  readonly region: RegionId;
}

interface HeldView {
  readonly view: FleetView;
  readonly renewedAtMs: number;
}

/** How long a peer that did not answer is passed over. */
const SUSPICION_MS = 1_500;
const RELAY_TARGETS = 4;

/**
 * Merges the views of the control members. An entry is live if any current
 * view lists it; if no view is current, the last ones hold, so that a region
 * without any control member goes on.
 */
export class FleetMembers {
  private readonly views = new Map<InstanceId, HeldView>();
  private readonly suspectUntilMs = new Map<InstanceId, number>();
  private merged: readonly EntryInstance[] = [];
  private controls: readonly ControlInstance[] = [];

  constructor(readonly self: () => EntryInstance) {}

  /** The view held of a control member, to be named in announcements. */
  viewIdOf(control: InstanceId): string {
    return this.views.get(control)?.view.viewId ?? '';
  }

  /** Takes in the answer of a control member. */
  updateView(
    control: InstanceId,
    view: FleetView | undefined,
    nowMs: number,
  ): void {
    const held = view ?? this.views.get(control)?.view;
    if (held === undefined) return;
    this.views.set(control, {view: held, renewedAtMs: nowMs});
    this.merge(nowMs);
  }

  /** A control member that restarted has a new view; the old one is dropped. */
  forgetView(control: InstanceId): void {
    this.views.delete(control);
  }

  /** A peer did not answer; others take its place for a while. */
  suspect(instanceId: InstanceId, nowMs: number): void {
    this.suspectUntilMs.set(instanceId, nowMs + SUSPICION_MS);
  }

  isSuspect(instanceId: InstanceId, nowMs: number): boolean {
    return (this.suspectUntilMs.get(instanceId) ?? 0) > nowMs;
  }

  /** A peer answered. */
  clearSuspicion(instanceId: InstanceId): void {
    this.suspectUntilMs.delete(instanceId);
  }

  controlMembers(): readonly ControlInstance[] {
    return this.controls;
  }

  /** Live entries of a region that take new work, this one included. */
  liveEntries(region: RegionId, nowMs: number): readonly EntryInstance[] {
    const self = this.self();
    const others = this.merged.filter(
      entry =>
        entry.region === region &&
        entry.instanceId !== self.instanceId &&
        !entry.isStopping &&
        !this.isSuspect(entry.instanceId, nowMs),
    );
    const isOwn = self.region === region && !self.isStopping;
    return isOwn ? [...others, self] : others;
  }

  /** Regions in which there is a live entry. */
  regions(): readonly RegionId[] {
    return [...new Set([...this.merged.map(each => each.region)])].sort();
  }

  /** The live entry of a region to which a job falls. */
  assignedEntry(
    region: RegionId,
    job: string,
    nowMs: number,
  ): EntryInstance | undefined {
    return lowestRanked(this.liveEntries(region, nowMs), job, idOf);
  }

  /**
   * The entry that schedules a service in a domain: one of that domain, so that
   * it goes on when domains are cut off from each other, and one of the region
   * if the domain has no live entry.
   */
  schedulerOf(
    {domain, region}: DomainLocation,
    service: string,
    nowMs: number,
  ): EntryInstance | undefined {
    const live = this.liveEntries(region, nowMs);
    const near = live.filter(each => each.domain === domain);
    const candidates = near.length > 0 ? near : live;
    return lowestRanked(candidates, `${domain} ${service}`, idOf);
  }

  /** Live entries of a region in the order in which a job falls to them. */
  rankedEntries(
    region: RegionId,
    job: string,
    nowMs: number,
  ): readonly EntryInstance[] {
    return [...this.liveEntries(region, nowMs)].sort((left, right) =>
      rankOf(job, left.instanceId) < rankOf(job, right.instanceId) ? -1 : 1,
    );
  }

  /**
   * The entries of another region that this one relays to. Few, so that
   * connections between regions are kept busy instead of being opened anew;
   * each entry has others, so that the region shares the work.
   */
  relayTargets(region: RegionId, nowMs: number): readonly EntryInstance[] {
    const job = `relay from ${this.self().instanceId}`;
    return this.rankedEntries(region, job, nowMs).slice(0, RELAY_TARGETS);
  }

  entry(instanceId: InstanceId): EntryInstance | undefined {
    const self = this.self();
    return instanceId === self.instanceId
      ? self
      : this.merged.find(entry => entry.instanceId === instanceId);
  }

  private merge(nowMs: number): void {
    const held = [...this.views.values()];
    const current = held.filter(
      each => nowMs - each.renewedAtMs <= VIEW_EXPIRY_MS,
    );
    const used = current.length > 0 ? current : held;
    const newest = new Map<InstanceId, EntryInstance>();
    used
      .flatMap(each => each.view.entries)
      .forEach(entry => {
        const known = newest.get(entry.instanceId);
        const isNewer =
          known === undefined ||
          entry.incarnation > known.incarnation ||
          (entry.incarnation === known.incarnation && entry.isStopping);
        if (isNewer) newest.set(entry.instanceId, entry);
      });
    this.merged = [...newest.values()];
    const controls = new Map(
      used
        .flatMap(each => each.view.controlMembers)
        .map(control => [control.instanceId, control]),
    );
    this.controls = [...controls.values()];
  }
}

function idOf(entry: EntryInstance): InstanceId {
  return entry.instanceId;
}
