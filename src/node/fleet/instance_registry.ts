/** The live entries that have announced themselves to one control member. */
import type {DomainId, InstanceId, RegionId} from '../types/ids.js';
import {ENTRY_EXPIRY_MS} from './constants.js';
import {namedEntries} from './entry_capacity.js';
import {preferConnected} from './fleet_members.js';
import type {
  Announcement,
  AnnouncementReply,
  ControlInstance,
  EntryInstance,
  FleetView,
} from './messages.js';
import {ViewHistory} from './view_history.js';

/**
 * Callers are kept away from entries that schedule for others, whose late
 * decisions would delay callers of every entry, as long as at least this share
 * of the entries remains.
 */
const MIN_NON_SCHEDULER_SHARE = 0.75;

/**
 * Callers are kept away from entries that reach no upstream as long as at least
 * this share of the entries remains.
 */
const MIN_CONNECTED_SHARE = 0.5;

interface AnnouncedEntry {
  readonly entry: EntryInstance;
  readonly atMs: number;
}

/** Location of a caller, as stated in its request for addresses. */
export interface CallerLocation {
  readonly region: RegionId | undefined;
  readonly domain: DomainId | undefined;
}

/** A change in the registry that is logged. */
export interface RegistryChange {
  readonly kind: 'joined' | 'changed' | 'expired';
  readonly entry: EntryInstance;
  readonly silentMs: number;
}

/** Entries with a recent announcement, in memory only. */
export class InstanceRegistry {
  private readonly announced = new Map<InstanceId, AnnouncedEntry>();
  private readonly history: ViewHistory;
  private view: FleetView | undefined;

  /** `epoch` differs for each start of the process. */
  constructor(
    epoch: string,
    private readonly onChange: (change: RegistryChange) => void,
    private readonly random: () => number = Math.random,
  ) {
    this.history = new ViewHistory(epoch);
  }

  /** Latest known incarnation of an instance; 0 if it is unknown. */
  incarnationOf(instanceId: EntryInstance['instanceId']): number {
    return this.announced.get(instanceId)?.entry.incarnation ?? 0;
  }

  /** Records an announcement; ignores one from an earlier incarnation. */
  record(entry: EntryInstance, nowMs: number): void {
    const known = this.announced.get(entry.instanceId);
    if (this.incarnationOf(entry.instanceId) > entry.incarnation) return;
    this.announced.set(entry.instanceId, {entry, atMs: nowMs});
    if (known !== undefined && isSameEntry(known.entry, entry)) return;
    this.recordChange(known === undefined ? 'joined' : 'changed', entry, 0);
  }

  /** Removes entries whose last announcement is too old. */
  expire(nowMs: number): void {
    [...this.announced.values()]
      .filter(each => nowMs - each.atMs > ENTRY_EXPIRY_MS)
      .forEach(({entry, atMs}) => {
        this.announced.delete(entry.instanceId);
        this.recordChange('expired', entry, nowMs - atMs);
      });
  }

  /**
   * The part of a reply that brings an entry's view up to date: nothing, the
   * changes since the view that it holds, or the complete view.
   */
  viewUpdate(
    {viewId, acceptsChanges}: Pick<Announcement, 'viewId' | 'acceptsChanges'>,
    controlMembers: readonly ControlInstance[],
  ): Pick<AnnouncementReply, 'view' | 'changes'> {
    const view = this.currentView(controlMembers);
    if (view.viewId === viewId) return {};
    const ids = acceptsChanges ? this.history.changedSince(viewId) : undefined;
    if (ids === undefined) return {view};
    const changed = ids.flatMap(id => this.announced.get(id)?.entry ?? []);
    const removed = ids.filter(id => !this.announced.has(id));
    const {viewId: newViewId} = view;
    return {
      changes: {
        sinceViewId: viewId,
        viewId: newViewId,
        changed,
        removed,
        controlMembers,
      },
    };
  }

  /** The current view; returns the same object until something changes. */
  currentView(controlMembers: readonly ControlInstance[]): FleetView {
    if (this.view !== undefined) {
      if (isSameList(this.view.controlMembers, controlMembers)) {
        return this.view;
      }
      this.history.add(undefined);
    }
    this.view = {
      viewId: this.history.viewId,
      entries: [...this.announced.values()].map(each => each.entry),
      controlMembers,
    };
    return this.view;
  }

  /**
   * Addresses for a caller: ready entries of its own region. If that has none,
   * those of `homeRegions` (`undefined` for a host without bound requests), so that requests bound to these regions are not
   * received elsewhere. If these have none either, entries of its own region that
   * stop or start: a planned restart of all of them must not lead bound requests
   * to a third region. Entries of all regions if none of these is known. Among
   * entries of different capacity, the larger ones are named more often.
   */
  addressesFor(
    place: CallerLocation,
    limit: number,
    homeRegions?: readonly RegionId[],
  ): readonly string[] {
    const known = [...this.announced.values()].map(each => each.entry);
    const ready = known.filter(entry => entry.isReady && !entry.isStopping);
    const isInRegion = ({region}: EntryInstance): boolean =>
      region === place.region;
    const choices = [
      preferNonSchedulers(preferMostlyConnected(ready.filter(isInRegion))),
      ready.filter(entry => homeRegions?.includes(entry.region)),
      homeRegions === undefined ? [] : known.filter(isInRegion),
      ready,
    ];
    const chosen = choices.find(entries => entries.length > 0) ?? [];
    return namedEntries(chosen, this.random)
      .map(entry => entry.callersAddress)
      .slice(0, limit);
  }

  private recordChange(
    kind: RegistryChange['kind'],
    entry: EntryInstance,
    silentMs: number,
  ): void {
    this.view = undefined;
    this.history.add(entry.instanceId);
    this.onChange({kind, entry, silentMs});
  }
}

function preferNonSchedulers(
  entries: readonly EntryInstance[],
): readonly EntryInstance[] {
  const others = entries.filter(each => !each.isScheduling);
  const areEnough = others.length >= entries.length * MIN_NON_SCHEDULER_SHARE;
  return areEnough ? others : entries;
}

// An entry that reaches no upstream serves its callers through the others, which
// is slower, but few others could not take all of its callers.
function preferMostlyConnected(
  entries: readonly EntryInstance[],
): readonly EntryInstance[] {
  const connected = preferConnected(entries);
  const areEnough = connected.length >= entries.length * MIN_CONNECTED_SHARE;
  return areEnough ? connected : entries;
}

function isSameEntry(left: EntryInstance, right: EntryInstance): boolean {
  const names = Object.keys(right) as (keyof EntryInstance)[];
  return names.every(name => left[name] === right[name]);
}

function isSameList(
  left: readonly ControlInstance[],
  right: readonly ControlInstance[],
): boolean {
  return (
    left.length === right.length &&
    left.every(
      (each, position) =>
        each.instanceId === right[position]?.instanceId &&
        each.innerAddress === right[position].innerAddress,
    )
  );
}
