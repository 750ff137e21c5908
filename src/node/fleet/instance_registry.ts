/** The live entries, as one control member learns them from announcements. */
import type {DomainId, RegionId} from '../types/ids.js';
import {ENTRY_EXPIRY_MS} from './constants.js';
import type {ControlInstance, EntryInstance, FleetView} from './messages.js';

/**
 * Callers are led past the entries that schedule for others while they are few:
 * a late decision delays callers everywhere.
 */
const LEAST_SHARE_WITHOUT_SCHEDULERS = 0.75;

interface Announced {
  readonly entry: EntryInstance;
  readonly atMs: number;
}

/** Callers that ask for addresses say where they are. */
export interface CallerLocation {
  readonly region: RegionId | undefined;
  readonly domain: DomainId | undefined;
}

/** A change of belief about one entry, for the log. */
export interface RegistryChange {
  readonly kind: 'joined' | 'changed' | 'expired';
  readonly entry: EntryInstance;
  readonly silentMs: number;
}

/** Entries that announced themselves lately. Nothing here is durable. */
export class InstanceRegistry {
  private readonly announced = new Map<string, Announced>();
  private changes = 0;
  private view: FleetView | undefined;

  /** `epoch` differs for each start of the process. */
  constructor(
    private readonly epoch: string,
    private readonly onChange: (change: RegistryChange) => void,
  ) {}

  /** The incarnation that is held of an instance; 0 if there is none. */
  incarnationOf(instanceId: EntryInstance['instanceId']): number {
    return this.announced.get(instanceId)?.entry.incarnation ?? 0;
  }

  /** Takes in an announcement; one of an older process is ignored. */
  record(entry: EntryInstance, nowMs: number): void {
    const known = this.announced.get(entry.instanceId);
    if (this.incarnationOf(entry.instanceId) > entry.incarnation) return;
    this.announced.set(entry.instanceId, {entry, atMs: nowMs});
    const isSame =
      known !== undefined &&
      JSON.stringify(known.entry) === JSON.stringify(entry);
    if (isSame) return;
    this.noteChange(known === undefined ? 'joined' : 'changed', entry, 0);
  }

  /** Forgets entries that have been silent for too long. */
  expire(nowMs: number): void {
    [...this.announced.values()]
      .filter(each => nowMs - each.atMs > ENTRY_EXPIRY_MS)
      .forEach(({entry, atMs}) => {
        this.announced.delete(entry.instanceId);
        this.noteChange('expired', entry, nowMs - atMs);
      });
  }

  /** The current view; the same object until something changes. */
  currentView(controlMembers: readonly ControlInstance[]): FleetView {
    const isSame =
      this.view !== undefined &&
      JSON.stringify(this.view.controlMembers) ===
        JSON.stringify(controlMembers);
    if (this.view !== undefined && isSame) return this.view;
    this.changes += 1;
    this.view = {
      viewId: `${this.epoch}.${this.changes}`,
      entries: [...this.announced.values()].map(each => each.entry),
      controlMembers,
    };
    return this.view;
  }

  /**
   * Addresses for a caller: ready entries of its own region, those of its own
   * domain first. Only if there are none, those of other regions.
   */
  addressesFor(place: CallerLocation, limit: number): readonly string[] {
    const ready = [...this.announced.values()]
      .map(each => each.entry)
      .filter(entry => entry.isReady && !entry.isStopping);
    const near = ready.filter(entry => entry.region === place.region);
    const chosen = near.length > 0 ? withoutSchedulers(near) : ready;
    return chosen.map(entry => entry.callersAddress).slice(0, limit);
  }

  private noteChange(
    kind: RegistryChange['kind'],
    entry: EntryInstance,
    silentMs: number,
  ): void {
    this.view = undefined;
    this.onChange({kind, entry, silentMs});
  }
}

function withoutSchedulers(
  entries: readonly EntryInstance[],
): readonly EntryInstance[] {
  const others = entries.filter(each => !each.isScheduling);
  const areEnough =
    others.length >= entries.length * LEAST_SHARE_WITHOUT_SCHEDULERS;
  return areEnough ? others : entries;
}
