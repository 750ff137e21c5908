/**
 * Writes to the storage of one member, one batch at a time. Everything that is
 * queued while a batch is being synced goes into the next one (group commit),
 * with consecutive entries in a single record.
 */
import type {GatewayError} from '../types/errors.js';
import {toGatewayError} from '../types/errors.js';
import {
  mergeFrames,
  type HardState,
  type LogFrame,
  type ReplicaStorage,
  type StoredSnapshot,
} from './replica_storage.js';

export type WriteItem =
  | {readonly kind: 'hard_state'; readonly hardState: HardState}
  | {readonly kind: 'frame'; readonly frame: LogFrame}
  | {
      readonly kind: 'snapshot';
      readonly snapshot: StoredSnapshot;
      readonly keepFrom: number;
    };

export interface WriterListener {
  /** Term and vote are durable. */
  readonly onVoteSaved: (term: number) => void;
  /** Entries up to `index` are durable. */
  readonly onPersisted: (index: number, term: number) => void;
  readonly onFailure: (error: GatewayError) => void;
}

interface Batch {
  readonly items: WriteItem[];
  readonly callbacks: (() => void)[];
}

export class StorageWriter {
  /** Batches, entries and log bytes written since the start. */
  readonly counters = {batches: 0, entries: 0, logBytes: 0};
  private nextBatch: Batch = {items: [], callbacks: []};
  private running: Promise<void> | undefined;
  private isFailed = false;

  constructor(
    private readonly storage: ReplicaStorage,
    private readonly listener: WriterListener,
  ) {}

  /** Queues a write; `whenDurable` tells when it is synced. */
  write(item: WriteItem): void {
    this.nextBatch.items.push(item);
    this.running ??= this.run();
  }

  /** Runs `callback` once everything queued so far is durable. */
  whenDurable(callback: () => void): void {
    if (this.isFailed) return;
    if (this.running === undefined) callback();
    else this.nextBatch.callbacks.push(callback);
  }

  /** Resolves when nothing is queued or being written. */
  async idle(): Promise<void> {
    await this.running;
  }

  private async run(): Promise<void> {
    // Lets the batch collect everything that the same event queues.
    await Promise.resolve();
    try {
      while (
        this.nextBatch.items.length + this.nextBatch.callbacks.length >
        0
      ) {
        const batch = this.nextBatch;
        this.nextBatch = {items: [], callbacks: []};
        await this.writeBatch(batch.items);
        batch.callbacks.forEach(callback => callback());
      }
      this.running = undefined;
    } catch (thrown) {
      // After a failed sync the content of the files is undefined.
      this.isFailed = true;
      this.listener.onFailure(toGatewayError(thrown, 'storage.write', 'self'));
    }
  }

  private async writeBatch(items: readonly WriteItem[]): Promise<void> {
    if (items.length === 0) return;
    this.counters.batches++;
    const hardState = items.findLast(item => item.kind === 'hard_state');
    if (hardState?.kind === 'hard_state') {
      await this.storage.saveHardState(hardState.hardState);
      this.listener.onVoteSaved(hardState.hardState.term);
    }
    for (const item of mergeItems(items)) {
      if (item.kind === 'frame') await this.writeFrame(item.frame);
      if (item.kind === 'snapshot') {
        await this.storage.saveSnapshot(item.snapshot, item.keepFrom);
      }
    }
  }

  private async writeFrame(frame: LogFrame): Promise<void> {
    this.counters.logBytes += await this.storage.append(frame);
    this.counters.entries += frame.entries.length;
    const last = frame.entries.at(-1);
    if (last !== undefined) this.listener.onPersisted(last.index, last.term);
  }
}

function mergeItems(items: readonly WriteItem[]): readonly WriteItem[] {
  return items.reduce<WriteItem[]>((merged, item) => {
    const previous = merged.at(-1);
    if (item.kind === 'frame' && previous?.kind === 'frame') {
      const frame = mergeFrames(previous.frame, item.frame);
      return [...merged.slice(0, -1), {kind: 'frame', frame}];
    }
    return item.kind === 'hard_state' ? merged : [...merged, item];
  }, []);
}
