/** Applies committed entries to a state machine and takes its snapshots. */
import {
  charsOf,
  entryAt,
  membersOf,
  termAt,
  type LogState,
} from './core/log.js';
import type {StoredSnapshot} from './replica_storage.js';
import type {JsonValue, ReplicaMember, StateMachine} from './replicated_log.js';
import {asNumber, type LogIndex, type Term} from '../types/ids.js';
import type {Waiters} from './waiters.js';

export class StateMachineRunner<Command, Result> {
  appliedIndex = 0;
  /** Length of the JSON of all entries applied since the start. */
  appliedChars = 0;
  private members: readonly ReplicaMember[] = [];

  constructor(
    private readonly stateMachine: StateMachine<Command, Result>,
    private readonly waiters: Waiters,
  ) {}

  /** Applies the entries up to `index` in order. */
  applyUpTo(log: LogState, index: number): void {
    while (this.appliedIndex < index) this.applyNext(log);
    this.waiters.completeReads(this.appliedIndex);
  }

  /** Replaces the state with a snapshot. */
  restore(snapshot: Pick<StoredSnapshot, 'index' | 'members' | 'data'>): void {
    this.stateMachine.restore(JSON.parse(snapshot.data) as JsonValue);
    this.members = snapshot.members;
    this.appliedIndex = snapshot.index;
    this.waiters.failCovered(snapshot.index);
    this.waiters.completeReads(snapshot.index);
  }

  /**
   * The state as of the applied index. It is serialized immediately, because
   * the state machine may return objects that it changes later.
   */
  snapshot(log: LogState): StoredSnapshot {
    return {
      index: this.appliedIndex,
      term: termAt(log, this.appliedIndex) ?? 0,
      members: this.members,
      data: JSON.stringify(this.stateMachine.snapshot()),
    };
  }

  private applyNext(log: LogState): void {
    const index = this.appliedIndex + 1;
    const entry = entryAt(log, index);
    if (entry === undefined) throw new Error(`log entry ${index} is missing`);
    if (entry.kind === 'members') this.members = membersOf(entry);
    const result =
      entry.kind === 'command'
        ? this.stateMachine.apply(
            entry.value as Command,
            asNumber<LogIndex>(index),
            asNumber<Term>(entry.term),
          )
        : undefined;
    this.appliedIndex = index;
    this.appliedChars += charsOf(entry);
    this.waiters.completeApplied(index, entry.term, result);
  }
}
