/**
 * Storage of a member: its identity, term and vote, the last snapshot and the
 * log after it, in the files `identity`, `state`, `snapshot` and `log` of one
 * folder. The entries of a record of `log` replace everything after
 * `prevIndex`, so that a suffix from another leader is overwritten by
 * appending.
 */
import {z} from 'zod';
import type {FileLayer} from '../storage/file_layer.js';
import {RecordFile, RecordLog} from '../storage/record_log.js';
import {storageDamaged} from '../storage/records.js';
import type {GatewayError} from '../types/errors.js';
import {asId, type MemberId} from '../types/ids.js';
import {
  compactTo,
  EMPTY_LOG,
  lastIndex,
  replaceSuffix,
  termAt,
  type LogEntry,
  type LogState,
} from './core/log.js';
import {memberSchema} from './core/messages.js';
import type {ReplicaMember} from './replicated_log.js';

export interface HardState {
  readonly memberId: MemberId;
  readonly term: number;
  readonly vote?: MemberId;
}

/** Entries that replace everything after `prevIndex`. */
export interface LogFrame {
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
}

export interface StoredSnapshot {
  readonly index: number;
  readonly term: number;
  readonly members: readonly ReplicaMember[];
  /** JSON of the state machine's state. */
  readonly data: string;
}

/** The stored state of a member. */
export interface StoredReplica {
  readonly hardState?: HardState;
  readonly snapshot?: StoredSnapshot;
  readonly log: LogState;
  /** The identity that was reserved or used in this storage. */
  readonly identity?: MemberId;
}

/** Stores the state of one member. Calls must not overlap. */
export abstract class ReplicaStorage {
  /** Whether the content survives a restart of the process. */
  abstract readonly isDurable: boolean;
  abstract load(): Promise<StoredReplica>;
  /** Stores an identity before it is sent to any other member. */
  abstract reserveIdentity(memberId: MemberId): Promise<void>;
  abstract saveHardState(hardState: HardState): Promise<void>;
  /** Resolves with the number of bytes written. */
  abstract append(frame: LogFrame): Promise<number>;
  /** Saves a snapshot and drops log entries up to `keepFrom`, at most `index`. */
  abstract saveSnapshot(
    snapshot: StoredSnapshot,
    keepFrom: number,
  ): Promise<void>;
  abstract close(): Promise<void>;
}

/** Stores nothing: the member must take a new identity after a restart. */
export class MemoryReplicaStorage extends ReplicaStorage {
  override readonly isDurable = false;

  override load(): Promise<StoredReplica> {
    return Promise.resolve({log: EMPTY_LOG});
  }

  override reserveIdentity(): Promise<void> {
    return Promise.resolve();
  }

  override saveHardState(): Promise<void> {
    return Promise.resolve();
  }

  override append(): Promise<number> {
    return Promise.resolve(0);
  }

  override saveSnapshot(): Promise<void> {
    return Promise.resolve();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

const identitySchema = z.object({
  memberId: z.string().transform(value => asId<MemberId>(value)),
});

const hardStateSchema = z.object({
  memberId: z.string().transform(value => asId<MemberId>(value)),
  term: z.number(),
  vote: z
    .string()
    .transform(value => asId<MemberId>(value))
    .optional(),
});

const snapshotHeaderSchema = z.object({
  index: z.number(),
  term: z.number(),
  members: z.array(memberSchema),
});

function parseSnapshot([header = '', data = '']: readonly string[]) {
  return {...snapshotHeaderSchema.parse(JSON.parse(header)), data};
}

/** Stores in files; what a call wrote is durable when it resolves. */
export class FileReplicaStorage extends ReplicaStorage {
  override readonly isDurable = true;
  private log: LogState = EMPTY_LOG;
  private readonly identityFile: RecordFile;
  private readonly stateFile: RecordFile;
  private readonly snapshotFile: RecordFile;
  private readonly logFile: RecordLog;

  constructor(
    private readonly files: FileLayer,
    private readonly folder: string,
  ) {
    super();
    this.identityFile = new RecordFile(files, `${folder}/identity`);
    this.stateFile = new RecordFile(files, `${folder}/state`);
    this.snapshotFile = new RecordFile(files, `${folder}/snapshot`);
    this.logFile = new RecordLog(files, `${folder}/log`);
  }

  override async load(): Promise<StoredReplica> {
    await this.files.removeLeftovers(this.folder);
    const [storedState] = (await this.stateFile.load(1)) ?? [];
    const storedSnapshot = await this.snapshotFile.load(2);
    const frames = (await this.logFile.load()) as readonly LogFrame[];
    const hardState =
      storedState === undefined
        ? undefined
        : hardStateSchema.parse(JSON.parse(storedState));
    const snapshot =
      storedSnapshot === undefined ? undefined : parseSnapshot(storedSnapshot);
    // The state file is written last when a member starts for the first time.
    if (hardState === undefined) {
      const isStarted = frames.length > 1 || (snapshot?.index ?? 0) > 0;
      if (isStarted) throw this.damaged('state', 'the file is missing');
      return {log: EMPTY_LOG, identity: await this.loadIdentity()};
    }
    if (snapshot === undefined) {
      throw this.damaged('snapshot', 'the file is missing');
    }
    if (frames.length === 0) throw this.damaged('log', 'no valid record');
    await this.reconcile(this.replay(frames, snapshot.index), snapshot);
    const identity = hardState.memberId;
    return {hardState, snapshot, log: this.log, identity};
  }

  override async reserveIdentity(memberId: MemberId): Promise<void> {
    await this.identityFile.save([JSON.stringify({memberId})]);
  }

  override async saveHardState(hardState: HardState): Promise<void> {
    await this.stateFile.save([JSON.stringify(hardState)]);
  }

  override async append(frame: LogFrame): Promise<number> {
    const sizeBytes = await this.logFile.append(frame);
    this.log = applyFrame(this.log, frame);
    return sizeBytes;
  }

  override async saveSnapshot(
    snapshot: StoredSnapshot,
    keepFrom: number,
  ): Promise<void> {
    // The data is JSON already; encoding it again would double the time.
    const {data, ...header} = snapshot;
    await this.snapshotFile.save([JSON.stringify(header), data]);
    const isConsistent = termAt(this.log, snapshot.index) === snapshot.term;
    this.log = isConsistent
      ? compactTo(this.log, Math.min(keepFrom, snapshot.index))
      : emptyLogAfter(snapshot);
    await this.rewriteLog();
  }

  override async close(): Promise<void> {
    await this.files.close();
  }

  private async loadIdentity(): Promise<MemberId | undefined> {
    const [stored] = (await this.identityFile.load(1)) ?? [];
    return stored === undefined
      ? undefined
      : identitySchema.parse(JSON.parse(stored)).memberId;
  }

  private replay(frames: readonly LogFrame[], snapshotIndex: number): LogState {
    const first = frames[0];
    const start: LogState =
      first === undefined
        ? EMPTY_LOG
        : {
            baseIndex: first.prevIndex,
            baseTerm: first.prevTerm,
            entries: [],
          };
    return frames.reduce((log, frame) => {
      const isGap = frame.prevIndex > lastIndex(log);
      if (isGap && frame.prevIndex > snapshotIndex) {
        throw this.damaged(
          'log',
          `entries after ${lastIndex(log)} are missing`,
        );
      }
      return applyFrame(log, frame);
    }, start);
  }

  // A crash after a snapshot was saved may leave a log that does not match it.
  private async reconcile(
    log: LogState,
    snapshot: StoredSnapshot,
  ): Promise<void> {
    this.log = log;
    if (termAt(log, snapshot.index) === snapshot.term) return;
    this.log = emptyLogAfter(snapshot);
    await this.rewriteLog();
  }

  private damaged(file: string, reason: string): GatewayError {
    return storageDamaged(`${this.folder}/${file}`, reason);
  }

  private async rewriteLog(): Promise<void> {
    const {baseIndex, baseTerm, entries} = this.log;
    await this.logFile.rewrite({
      prevIndex: baseIndex,
      prevTerm: baseTerm,
      entries,
    });
  }
}

function emptyLogAfter(snapshot: StoredSnapshot): LogState {
  return {baseIndex: snapshot.index, baseTerm: snapshot.term, entries: []};
}

/** The log after the entries of a frame have replaced its suffix. */
function applyFrame(log: LogState, frame: LogFrame): LogState {
  const {prevIndex, prevTerm, entries} = frame;
  const isOutside = prevIndex > lastIndex(log) || prevIndex < log.baseIndex;
  return isOutside
    ? {baseIndex: prevIndex, baseTerm: prevTerm, entries}
    : replaceSuffix(log, prevIndex, entries);
}

/** Merges two consecutive frames into one with the same effect. */
export function mergeFrames(first: LogFrame, second: LogFrame): LogFrame {
  const keptCount = second.prevIndex - first.prevIndex;
  if (keptCount < 0) return second;
  return {
    ...first,
    entries: first.entries.slice(0, keptCount).concat(second.entries),
  };
}
