/**
 * Writes to the storage of one member, one batch at a time. Everything that is
 * queued while a batch is being synced goes into the next one (group commit),
 * with consecutive entries in a single record. A write that the disk refuses is
 * repeated until it succeeds, since later writes build on it.
 */
import type {GatewayError} from '../types/errors.js';
import {toGatewayError} from '../types/errors.js';
import {isDiskError} from '../storage/disk_error.js';
import {StallTimer} from './stall_timer.js';
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
      /**
       * Called if the disk refuses the snapshot, which is then dropped. Without
       * it later writes wait for the snapshot.
       */
      readonly onRefused?: () => void;
    };

/** Whether the storage takes writes, and why not. */
export interface StorageChange {
  readonly isWritable: boolean;
  readonly cause?: GatewayError;
}

export interface WriterListener {
  /** Term and vote are durable. */
  readonly onVoteSaved: (term: number) => void;
  /** Entries up to `index` are durable. */
  readonly onPersisted: (index: number, term: number) => void;
  readonly onStorageChange: (change: StorageChange) => void;
  /** The storage is damaged or a callback failed; nothing is written any more. */
  readonly onFailure: (error: GatewayError) => void;
}

export interface StorageWriterOptions {
  /** A write that takes longer counts as refused until it ends. */
  readonly stallMs: number;
}

/** Pause before a refused write is repeated. */
const RETRY_MS = 250;

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
  private isWritable = true;
  private isClosing = false;
  private readonly closing = new AbortController();
  private readonly stallTimer: StallTimer;

  constructor(
    private readonly storage: ReplicaStorage,
    private readonly listener: WriterListener,
    {stallMs}: StorageWriterOptions,
  ) {
    this.stallTimer = new StallTimer(stallMs, error => this.noteRefusal(error));
  }

  /** Queues a write; `whenDurable` tells when it is synced. */
  write(item: WriteItem): void {
    const {items, callbacks} = this.nextBatch;
    // Only the last one of a batch is written.
    const isHardState = item.kind === 'hard_state';
    const kept = isHardState
      ? items.filter(each => each.kind !== item.kind)
      : items;
    this.nextBatch = {items: kept, callbacks};
    kept.push(item);
    this.running ??= this.run();
  }

  /** Runs `callback` once everything queued so far is durable. */
  whenDurable(callback: () => void): void {
    if (this.isFailed) return;
    if (this.running === undefined) callback();
    else this.nextBatch.callbacks.push(callback);
  }

  /**
   * Resolves with whether everything queued was written. What a disk refuses or
   * delays is given up.
   */
  async close(): Promise<boolean> {
    this.isClosing = true;
    if (!this.isWritable) this.closing.abort();
    await Promise.race([this.running, aborted(this.closing.signal)]);
    return !this.closing.signal.aborted;
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
      this.isFailed = true;
      if (this.closing.signal.aborted) return;
      this.listener.onFailure(toGatewayError(thrown, 'storage.write', 'self'));
    }
  }

  private async writeBatch(items: readonly WriteItem[]): Promise<void> {
    if (items.length === 0) return;
    this.counters.batches++;
    const hardState = items.findLast(item => item.kind === 'hard_state');
    if (hardState?.kind === 'hard_state') {
      await this.persist(() => this.storage.saveHardState(hardState.hardState));
      this.listener.onVoteSaved(hardState.hardState.term);
    }
    for (const item of mergeItems(items)) {
      if (item.kind === 'frame') await this.writeFrame(item.frame);
      if (item.kind === 'snapshot') await this.writeSnapshot(item);
    }
  }

  private async writeSnapshot({
    snapshot,
    keepFrom,
    onRefused,
  }: WriteItem & {kind: 'snapshot'}): Promise<void> {
    const save = (): Promise<void> =>
      this.storage.saveSnapshot(snapshot, keepFrom);
    if (onRefused === undefined) return this.persist(save);
    try {
      await this.attempt(save);
    } catch (thrown) {
      if (!isDiskError(thrown)) throw thrown;
      onRefused();
    }
  }

  /** Repeats a write until the disk takes it. */
  private async persist<Value>(write: () => Promise<Value>): Promise<Value> {
    for (;;) {
      this.closing.signal.throwIfAborted();
      try {
        return await this.attempt(write);
      } catch (thrown) {
        if (!isDiskError(thrown)) throw thrown;
        this.noteRefusal(toGatewayError(thrown, 'storage.write', 'self'));
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
  }

  private async attempt<Value>(write: () => Promise<Value>): Promise<Value> {
    this.stallTimer.start();
    try {
      const value = await write();
      this.noteSuccess();
      return value;
    } finally {
      this.stallTimer.stop();
    }
  }

  private noteRefusal(cause: GatewayError): void {
    if (this.isClosing) this.closing.abort();
    if (!this.isWritable) return;
    this.isWritable = false;
    this.listener.onStorageChange({isWritable: false, cause});
  }

  private noteSuccess(): void {
    if (this.isWritable) return;
    this.isWritable = true;
    this.listener.onStorageChange({isWritable: true});
  }

  private async writeFrame(frame: LogFrame): Promise<void> {
    const sizeBytes = await this.persist(() => this.storage.append(frame));
    this.counters.logBytes += sizeBytes;
    this.counters.entries += frame.entries.length;
    const last = frame.entries.at(-1);
    if (last !== undefined) this.listener.onPersisted(last.index, last.term);
  }
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), {once: true});
  });
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
