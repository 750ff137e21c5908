/** An entry's list of the other instances, merged from all control members. */
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';
import {VIEW_EXPIRY_MS} from './constants.js';
import {assignedByCapacity} from './entry_capacity.js';
import type {
  AnnouncementReply,
  ControlInstance,
  EntryInstance,
  FleetView,
} from './messages.js';
import {lowestRanked, rankOf} from './rendezvous.js';

/** A failure domain with its region. */
export interface DomainLocation {
  readonly domain: DomainId;
  readonly region: RegionId;
}

interface StoredView {
  readonly view: FleetView;
  readonly renewedAtMs: number;
}

/** The part of a reply that updates the view. */
export type ViewUpdate = Pick<AnnouncementReply, 'view' | 'changes'>;

/** How long a peer that did not respond is skipped. */
const SUSPICION_TIMEOUT_MS = 1_500;
const MAX_RELAY_TARGETS = 4;

/**
 * Merges the views of the control members. An entry is live if any current
 * view lists it. If all views have expired, the last ones remain in use, so
 * that a region without any control member keeps working.
 */
export class FleetMembers {
  private readonly views = new Map<InstanceId, StoredView>();
  private readonly suspectUntilMs = new Map<InstanceId, number>();
  /** The views from which the fields below were merged. */
  private mergedViews: readonly FleetView[] = [];
  private merged: readonly EntryInstance[] = [];
  private controls: readonly ControlInstance[] = [];
  private mostMembers = 1;

  constructor(readonly self: () => EntryInstance) {}

  /** Id of the last view from a control member, for announcements to it. */
  viewIdOf(control: InstanceId): string {
    return this.views.get(control)?.view.viewId ?? '';
  }

  /** Records the reply of a control member. */
  updateView(control: InstanceId, reply: ViewUpdate, nowMs: number): void {
    const held = this.views.get(control)?.view;
    const view = updatedView(held, reply);
    if (view === undefined) return;
    this.views.set(control, {view, renewedAtMs: nowMs});
    this.mergeIfChanged(nowMs);
  }

  /** Drops the view of a control member that has a new one after a restart. */
  forgetView(control: InstanceId): void {
    this.views.delete(control);
  }

  /** Excludes a peer that did not respond from the live entries for a while. */
  suspect(instanceId: InstanceId, nowMs: number): void {
    this.suspectUntilMs.set(instanceId, nowMs + SUSPICION_TIMEOUT_MS);
  }

  isSuspect(instanceId: InstanceId, nowMs: number): boolean {
    return (this.suspectUntilMs.get(instanceId) ?? 0) > nowMs;
  }

  /** Ends the suspicion of a peer that responded. */
  clearSuspicion(instanceId: InstanceId): void {
    this.suspectUntilMs.delete(instanceId);
  }

  /**
   * The most entries, of all regions, that were members at a time: what they divide
   * among them must not grow while some are lost or out of sight.
   */
  mostEntries(): number {
    return this.mostMembers;
  }

  controlMembers(): readonly ControlInstance[] {
    return this.controls;
  }

  /** Live entries of a region that accept new work, including this one. */
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

  /** Regions with at least one live entry. */
  regions(): readonly RegionId[] {
    return [...new Set([...this.merged.map(each => each.region)])].sort();
  }

  /** The live entry of a region that is responsible for a job. */
  assignedEntry(
    region: RegionId,
    job: string,
    nowMs: number,
  ): EntryInstance | undefined {
    return lowestRanked(this.liveEntries(region, nowMs), job, idOf);
  }

  /**
   * The entry that schedules a service in a domain: an entry of that domain, so
   * that scheduling survives a partition between domains, or any entry of the
   * region if the domain has no live entry.
   */
  schedulerOf(
    {domain, region}: DomainLocation,
    service: string,
    nowMs: number,
  ): EntryInstance | undefined {
    const live = this.liveEntries(region, nowMs);
    const inDomain = live.filter(each => each.domain === domain);
    const candidates = inDomain.length > 0 ? inDomain : live;
    return assignedByCapacity(candidates, `${domain} ${service}`);
  }

  /** Live entries of a region by rendezvous rank for a job, first one first. */
  rankedEntries(
    region: RegionId,
    job: string,
    nowMs: number,
  ): readonly EntryInstance[] {
    return [...this.liveEntries(region, nowMs)].sort((left, right) =>
      rankOf(job, left.instanceId) < rankOf(job, right.instanceId) ? -1 : 1,
    );
  }

  /** Live entries of a domain by rank for a job, then others of its region. */
  rankedInDomain(
    {domain, region}: DomainLocation,
    job: string,
    nowMs: number,
  ): readonly EntryInstance[] {
    const ranked = this.rankedEntries(region, job, nowMs);
    const isInside = (entry: EntryInstance): boolean => entry.domain === domain;
    return [
      ...ranked.filter(isInside),
      ...ranked.filter(entry => !isInside(entry)),
    ];
  }

  /**
   * The entries of a region that this one relays to. They are few, so
   * that connections between regions are reused instead of reopened, and differ
   * from entry to entry, so that the load is spread over the region.
   */
  relayTargets(region: RegionId, nowMs: number): readonly EntryInstance[] {
    const {instanceId} = this.self();
    const others = this.rankedEntries(
      region,
      `relay from ${instanceId}`,
      nowMs,
    ).filter(each => each.instanceId !== instanceId);
    return preferConnected(others).slice(0, MAX_RELAY_TARGETS);
  }

  /** Whether another entry of the region has paths to upstreams. */
  hasConnectedPeer(region: RegionId, nowMs: number): boolean {
    return this.relayTargets(region, nowMs).some(
      each => each.isCutOff !== true,
    );
  }

  /** Whether no entry of the own region is known to reach an upstream. */
  isOwnRegionCutOff(nowMs: number): boolean {
    const {region, isCutOff = false} = this.self();
    return isCutOff && !this.hasConnectedPeer(region, nowMs);
  }

  entry(instanceId: InstanceId): EntryInstance | undefined {
    const self = this.self();
    return instanceId === self.instanceId
      ? self
      : this.merged.find(entry => entry.instanceId === instanceId);
  }

  // Most replies change nothing, and merging takes time with many entries.
  private mergeIfChanged(nowMs: number): void {
    const stored = [...this.views.values()];
    const current = stored.filter(
      each => nowMs - each.renewedAtMs <= VIEW_EXPIRY_MS,
    );
    const used = (current.length > 0 ? current : stored).map(each => each.view);
    const isSame =
      used.length === this.mergedViews.length &&
      used.every((view, position) => view === this.mergedViews[position]);
    if (!isSame) this.merge(used);
  }

  private merge(used: readonly FleetView[]): void {
    this.mergedViews = used;
    const newest = new Map<InstanceId, EntryInstance>();
    used
      .flatMap(view => view.entries)
      .forEach(entry => {
        const known = newest.get(entry.instanceId);
        const isNewer =
          known === undefined ||
          entry.incarnation > known.incarnation ||
          (entry.incarnation === known.incarnation && entry.isStopping);
        if (isNewer) newest.set(entry.instanceId, entry);
      });
    this.merged = [...newest.values()];
    const others = this.merged.filter(
      each => each.instanceId !== this.self().instanceId,
    );
    this.mostMembers = Math.max(this.mostMembers, others.length + 1);
    const controls = new Map(
      used
        .flatMap(view => view.controlMembers)
        .map(control => [control.instanceId, control]),
    );
    this.controls = [...controls.values()];
  }
}

function idOf(entry: EntryInstance): InstanceId {
  return entry.instanceId;
}

/** The entries that reach upstreams, or all if none does. */
export function preferConnected(
  entries: readonly EntryInstance[],
): readonly EntryInstance[] {
  const connected = entries.filter(each => each.isCutOff !== true);
  return connected.length > 0 ? connected : entries;
}

/** The view after a reply; changes apply only to the view they start from. */
function updatedView(
  held: FleetView | undefined,
  {view, changes}: ViewUpdate,
): FleetView | undefined {
  if (view !== undefined) return view;
  if (changes === undefined || held?.viewId !== changes.sinceViewId) {
    return held;
  }
  const {viewId, changed, removed, controlMembers} = changes;
  const replaced = new Set([...removed, ...changed.map(idOf)]);
  const kept = held.entries.filter(each => !replaced.has(each.instanceId));
  return {viewId, entries: [...kept, ...changed], controlMembers};
}
