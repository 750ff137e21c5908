/** Priority queue of the requests that wait in a scheduler. */
import type {InstanceId, RequestId} from '../types/ids.js';
import {GRANTS_PER_LOW_PRIORITY_TURN} from './constants.js';
import type {WorkItem} from './types.js';

/** A request with the state recorded when it was queued. */
export interface QueuedItem {
  readonly item: WorkItem;
  readonly queuedAtMs: number;
  /** Prefill time of its prompt, estimated when it was queued. */
  readonly prefillMs: number;
}

/** The requests ahead of a new one. */
export interface QueueLoad {
  readonly requests: number;
  /** Prefill time of all their prompts on one engine. */
  readonly prefillMs: number;
}

const EMPTY_LOAD: QueueLoad = {requests: 0, prefillMs: 0};

/**
 * Ordered by priority, then arrival. One in `GRANTS_PER_LOW_PRIORITY_TURN`
 * grants goes to the lowest priority, so that a flood of urgent requests does
 * not starve it.
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

  /** The queued requests in the order in which they may be granted now. */
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

  /** Whether a new request of this priority goes ahead of the whole queue. */
  isFirst(priority: number): boolean {
    const [first] = this.items;
    return first === undefined || first.item.priority > priority;
  }

  /** The request that may overtake more urgent ones, if it is its turn. */
  lowPriorityTurn(): QueuedItem | undefined {
    return this.isLowPriorityTurn() ? this.inOrder()[0] : undefined;
  }

  /** The priorities of the queued requests, most urgent first. */
  priorities(): readonly number[] {
    return [...new Set(this.items.map(each => each.item.priority))];
  }

  /** The load ahead of a new request of this priority. */
  ahead(priority = Number.POSITIVE_INFINITY): QueueLoad {
    return this.items.reduce<QueueLoad>(
      (load, {item, prefillMs}) =>
        item.priority <= priority
          ? {requests: load.requests + 1, prefillMs: load.prefillMs + prefillMs}
          : load,
      EMPTY_LOAD,
    );
  }

  /** The load ahead of a position, at the mean size of the queued prompts. */
  share(position: number): QueueLoad {
    const {requests, prefillMs} = this.ahead();
    const meanMs = prefillMs / Math.max(1, requests);
    return {requests: position, prefillMs: position * meanMs};
  }

  private isLowPriorityTurn(): boolean {
    return this.grants > 0 && this.grants % GRANTS_PER_LOW_PRIORITY_TURN === 0;
  }
}
