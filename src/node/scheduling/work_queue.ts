/** Requests that wait in a scheduler, the most urgent first. */
import type {InstanceId, RequestId} from '../types/ids.js';
import {FLOOR_EVERY_GRANTS} from './constants.js';
import type {WorkItem} from './types.js';

/** A request with the time at which it was queued. */
export interface QueuedItem {
  readonly item: WorkItem;
  readonly queuedAtMs: number;
}

/**
 * Ordered by priority and arrival. Once in some grants the order is turned, so
 * that a flood of urgent work leaves a minimum to the rest.
 */
export class WorkQueue {
  private items: QueuedItem[] = [];
  private grants = 0;

  get size(): number {
    return this.items.length;
  }

  add(item: WorkItem, nowMs: number): void {
    const queued = {item, queuedAtMs: nowMs};
    const position = this.items.findIndex(
      each => each.item.priority > item.priority,
    );
    if (position < 0) this.items.push(queued);
    else this.items.splice(position, 0, queued);
  }

  remove(requestId: RequestId): void {
    this.items = this.items.filter(each => each.item.requestId !== requestId);
  }

  removeEntries(isGone: (entry: InstanceId) => boolean): void {
    this.items = this.items.filter(each => !isGone(each.item.entry));
  }

  has(requestId: RequestId): boolean {
    return this.items.some(each => each.item.requestId === requestId);
  }

  /** In the order in which they may be granted now. */
  inOrder(): readonly QueuedItem[] {
    const isFloorTurn = this.grants % FLOOR_EVERY_GRANTS === 0;
    if (!isFloorTurn || this.grants === 0) return [...this.items];
    const lowest = this.items.at(-1)?.item.priority;
    const floor = this.items.filter(each => each.item.priority === lowest);
    const rest = this.items.filter(each => each.item.priority !== lowest);
    return [...floor, ...rest];
  }

  noteGrant(): void {
    this.grants += 1;
  }

  all(): readonly WorkItem[] {
    return this.items.map(each => each.item);
  }

  /** Requests that go before a new one of this priority. */
  ahead(priority: number): readonly WorkItem[] {
    return this.items
      .map(each => each.item)
      .filter(item => item.priority <= priority);
  }
}
