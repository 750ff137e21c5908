/** Requests that wait in a scheduler, the most urgent first. */
import type {InstanceId, RequestId} from '../types/ids.js';
import {GRANTS_PER_LOW_PRIORITY_TURN} from './constants.js';
import type {WorkItem} from './types.js';

/** A request with the time at which it was queued. */
export interface QueuedItem {
  readonly item: WorkItem;
  readonly queuedAtMs: number;
  /** Time in which an engine reads its prompt, as of then. */
  readonly prefillMs: number;
}

/** The requests that go before a new one. */
export interface QueueLoad {
  readonly requests: number;
  /** Time in which one engine would read all their prompts. */
  readonly prefillMs: number;
}

const EMPTY_LOAD: QueueLoad = {requests: 0, prefillMs: 0};

/**
 * Ordered by priority and arrival. Once in some grants the order is turned, so
 * that a flood of urgent work leaves a minimum to the rest.
 */
export class WorkQueue {
  private items: QueuedItem[] = [];
  private readonly ids = new Set<RequestId>();
  private grants = 0;

  get size(): number {
    return this.items.length;
  }

  add(queued: QueuedItem): void {
    const {item} = queued;
    this.ids.add(item.requestId);
    const position = this.items.findIndex(
      each => each.item.priority > item.priority,
    );
    if (position < 0) this.items.push(queued);
    else this.items.splice(position, 0, queued);
  }

  remove(requestId: RequestId): void {
    if (!this.ids.delete(requestId)) return;
    this.items = this.items.filter(each => each.item.requestId !== requestId);
  }

  removeEntries(isGone: (entry: InstanceId) => boolean): void {
    this.items
      .filter(each => isGone(each.item.entry))
      .forEach(each => this.remove(each.item.requestId));
  }

  has(requestId: RequestId): boolean {
    return this.ids.has(requestId);
  }

  /** In the order in which they may be granted now. */
  inOrder(): readonly QueuedItem[] {
    if (!this.isLowPriorityTurn()) return [...this.items];
    const lowestPriority = this.items.at(-1)?.item.priority;
    const lowPriority = this.items.filter(
      each => each.item.priority === lowestPriority,
    );
    const rest = this.items.filter(
      each => each.item.priority !== lowestPriority,
    );
    return [...lowPriority, ...rest];
  }

  noteGrant(): void {
    this.grants += 1;
  }

  /** Whether a new request of this priority goes before all that wait. */
  isFirst(priority: number): boolean {
    const [first] = this.items;
    return first === undefined || first.item.priority > priority;
  }

  /** The request that goes before more urgent ones now, if it is time to. */
  lowPriorityTurn(): QueuedItem | undefined {
    return this.isLowPriorityTurn() ? this.inOrder()[0] : undefined;
  }

  /** What goes before a new request of this priority. */
  ahead(priority = Number.POSITIVE_INFINITY): QueueLoad {
    return this.items.reduce<QueueLoad>(
      (load, {item, prefillMs}) =>
        item.priority <= priority
          ? {requests: load.requests + 1, prefillMs: load.prefillMs + prefillMs}
          : load,
      EMPTY_LOAD,
    );
  }

  private isLowPriorityTurn(): boolean {
    return this.grants > 0 && this.grants % GRANTS_PER_LOW_PRIORITY_TURN === 0;
  }
}
