/** The order in which the entries of a view changed. */
import type {InstanceId} from '../types/ids.js';

/** An entry whose view is older than this many changes gets a complete one. */
const MAX_CHANGES = 1_000;

/** Numbers the views of one control member and remembers recent changes. */
export class ViewHistory {
  /** Changed entries, oldest first; `undefined` for other changes. */
  private changes: (InstanceId | undefined)[] = [];
  private dropped = 0;

  /** `epoch` differs for each start of the process. */
  constructor(private readonly epoch: string) {}

  /** Id of the view after all changes. */
  get viewId(): string {
    return `${this.epoch}.${this.dropped + this.changes.length}`;
  }

  /** Records a change of an entry, or of something else in the view. */
  add(instanceId: InstanceId | undefined): void {
    this.changes.push(instanceId);
    if (this.changes.length <= 2 * MAX_CHANGES) return;
    this.changes = this.changes.slice(MAX_CHANGES);
    this.dropped += MAX_CHANGES;
  }

  /** Entries that changed since a view; `undefined` if that is not known. */
  changedSince(viewId: string): readonly InstanceId[] | undefined {
    const [epoch, number] = viewId.split('.');
    const position = Number(number) - this.dropped;
    const isKnown =
      epoch === this.epoch && position >= 0 && position <= this.changes.length;
    if (!isKnown) return undefined;
    const since = this.changes.slice(position);
    return [...new Set(since.flatMap(each => each ?? []))];
  }
}
