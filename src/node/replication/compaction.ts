/** Decides when to take a snapshot and compact the log. */
import {indexBeforeTail, type LogState} from './core/log.js';
import type {ReplicaEvent} from './core/state.js';
import type {ResolvedReplicaOptions} from './replica_options.js';
import type {StoredSnapshot} from './replica_storage.js';
import type {StateMachineRunner} from './state_machine_runner.js';
import type {StorageWriter} from './storage_writer.js';

export class Compaction<Command, Result> {
  private snapshotIndex = 0;
  private snapshotChars = 0;
  private charsAtSnapshot = 0;
  private isRunning = false;

  constructor(
    private readonly options: ResolvedReplicaOptions<Command, Result>,
    private readonly runner: StateMachineRunner<Command, Result>,
    private readonly writer: StorageWriter,
    private readonly enqueue: (event: ReplicaEvent) => void,
  ) {}

  /** Records a snapshot that was loaded, received or taken as the last one. */
  recordSnapshot(snapshot: StoredSnapshot): void {
    this.snapshotIndex = snapshot.index;
    this.snapshotChars = snapshot.data.length;
    this.charsAtSnapshot = this.runner.appliedChars;
  }

  /**
   * Takes a snapshot once the log has reached its limit of entries or size and
   * has grown by at least the size of the last snapshot, so that snapshots
   * never write more bytes than the log itself. Without durable storage the
   * log is compacted and no snapshot is written.
   */
  runIfDue(log: LogState): void {
    const {storage, keepEntries, keepChars} = this.options;
    const index = this.runner.appliedIndex;
    if (!this.isDue() || this.isRunning) return;
    const keepFrom = indexBeforeTail(log, index, {
      maxEntries: keepEntries,
      maxChars: keepChars,
    });
    const compacted: ReplicaEvent = {kind: 'compacted', index, keepFrom};
    if (!storage.isDurable) {
      this.snapshotIndex = index;
      this.charsAtSnapshot = this.runner.appliedChars;
      this.enqueue(compacted);
      return;
    }
    const snapshot = this.runner.snapshot(log);
    this.recordSnapshot(snapshot);
    this.isRunning = true;
    let isSaved = true;
    // The log still has everything; the next snapshot is due as if this one had
    // been saved.
    const onRefused = (): void => {
      isSaved = false;
    };
    this.writer.write({kind: 'snapshot', snapshot, keepFrom, onRefused});
    this.writer.whenDurable(() => {
      this.isRunning = false;
      if (isSaved) this.enqueue(compacted);
    });
  }

  private isDue(): boolean {
    const {snapshotEveryEntries, maxLogChars, storage} = this.options;
    const entries = this.runner.appliedIndex - this.snapshotIndex;
    const chars = this.runner.appliedChars - this.charsAtSnapshot;
    const isAtLimit = entries >= snapshotEveryEntries || chars >= maxLogChars;
    return isAtLimit && (!storage.isDurable || chars >= this.snapshotChars);
  }
}
