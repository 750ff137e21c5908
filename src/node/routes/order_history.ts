/**
 * When the evacuation of each failure domain was last started and ended by an
 * order, as log indexes. It is not replicated: a member whose history is incomplete
 * treats older bases as out of date, and the order is tried again on a newer one.
 */
import type {DomainId, LogIndex} from '../types/ids.js';
import type {EvacuationOrder} from './route_table_machine.js';

/** The history that one member has seen since it restored a snapshot. */
export class OrderHistory {
  private readonly lastStarts = new Map<DomainId, LogIndex>();
  private readonly lastEnds = new Map<DomainId, LogIndex>();
  /** The first command since the last snapshot; nothing older is known. */
  private firstIndex: LogIndex | undefined;

  noteCommand(index: LogIndex): void {
    this.firstIndex ??= index;
  }

  /** Notes an order, also one that changed nothing. */
  noteOrder({domain, isEvacuated}: EvacuationOrder, index: LogIndex): void {
    this.lastIndexes(isEvacuated).set(domain, index);
  }

  /** Forgets everything, for a state that was restored. */
  clear(): void {
    this.lastStarts.clear();
    this.lastEnds.clear();
    this.firstIndex = undefined;
  }

  /** Whether no opposite order was applied after the index `base`. */
  isCurrent(
    {domain, isEvacuated}: EvacuationOrder,
    base: LogIndex,
    appliedIndex: LogIndex,
  ): boolean {
    const knownFrom = this.firstIndex ?? appliedIndex;
    const oppositeIndex = this.lastIndexes(!isEvacuated).get(domain) ?? 0;
    return base >= knownFrom && oppositeIndex <= base;
  }

  private lastIndexes(isEvacuated: boolean): Map<DomainId, LogIndex> {
    return isEvacuated ? this.lastStarts : this.lastEnds;
  }
}
