/**
 * A `FileLayer` in memory with the faults of a disk: a crash drops bytes that
 * were not synced, or leaves a part of them (torn tail); a crash can happen at
 * the n-th operation; syncs can be slow or fail.
 */
import {FileLayer} from '../../storage/file_layer.js';

export interface FaultFileLayerOptions {
  /** Operation at which the process crashes, counted from 1. */
  readonly crashAt?: number;
  /** @default 0 */
  readonly syncDelayMs?: number;
  /** Share of the unsynced bytes that a crash leaves. @default 0 */
  readonly tornShare?: number;
}

interface FakeFile {
  /** What the process reads. */
  bytes: Uint8Array;
  /** What lasts. `undefined` until the name is synced. */
  durable?: Uint8Array;
}

export class FaultFileLayer extends FileLayer {
  /** Operations since the last start. */
  operations = 0;
  isCrashed = false;
  private readonly files = new Map<string, FakeFile>();

  constructor(private options: FaultFileLayerOptions = {}) {
    super();
  }

  /** Sets the faults from now on. */
  setFaults(options: FaultFileLayerOptions): void {
    this.options = options;
  }

  /** Ends the process: only what was synced, and a torn tail, is left. */
  crash(): void {
    this.isCrashed = true;
    [...this.files].forEach(([name, file]) => {
      const kept = tornTail(file, this.options.tornShare ?? 0);
      if (kept === undefined) this.files.delete(name);
      else this.files.set(name, {bytes: kept, durable: kept});
    });
  }

  /** Starts the process again with the files that the crash left. */
  restart(options: FaultFileLayerOptions = {}): void {
    if (!this.isCrashed) this.crash();
    this.isCrashed = false;
    this.operations = 0;
    this.options = options;
  }

  /** Removes all files, as when a disk is replaced. */
  empty(): void {
    this.files.clear();
  }

  /** Changes one byte of a file, as a damaged medium does. */
  corrupt(name: string, offset: number): void {
    const file = this.files.get(name);
    if (file === undefined) throw new Error(`no file ${name}`);
    const bytes = Uint8Array.from(file.bytes);
    bytes[offset] = (bytes[offset] ?? 0) ^ 0xff;
    this.files.set(name, {bytes, durable: bytes});
  }

  /** Length of a file; 0 if it is missing. */
  sizeBytes(name: string): number {
    return this.files.get(name)?.bytes.length ?? 0;
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    await this.operate(() => {
      const file = this.files.get(name) ?? {bytes: new Uint8Array()};
      file.bytes = Buffer.concat([file.bytes, bytes]);
      this.files.set(name, file);
    });
  }

  override async read(name: string): Promise<Uint8Array | undefined> {
    await this.operate(() => undefined);
    return this.files.get(name)?.bytes;
  }

  override async writeAtomic(name: string, bytes: Uint8Array): Promise<void> {
    await this.delaySync();
    await this.operate(() => {
      this.files.set(name, {bytes, durable: bytes});
    });
  }

  override async sync(name: string): Promise<void> {
    await this.delaySync();
    await this.operate(() => {
      const file = this.files.get(name);
      if (file !== undefined) file.durable = file.bytes;
    });
  }

  override async truncate(name: string, sizeBytes: number): Promise<void> {
    await this.operate(() => {
      const file = this.files.get(name);
      if (file !== undefined) file.bytes = file.bytes.slice(0, sizeBytes);
    });
  }

  override async list(folder: string): Promise<readonly string[]> {
    await this.operate(() => undefined);
    const prefix = folder === '' ? '' : `${folder}/`;
    return [...this.files.keys()].filter(n => n.startsWith(prefix)).sort();
  }

  override async remove(name: string): Promise<void> {
    await this.operate(() => {
      this.files.delete(name);
    });
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  // A crash during an operation happens either before or after its effect;
  // `crashAt` counts both: odd moments come before, even ones after it.
  private async operate(action: () => void): Promise<void> {
    await Promise.resolve();
    this.moment();
    action();
    this.moment();
  }

  private moment(): void {
    if (!this.isCrashed && ++this.operations === this.options.crashAt) {
      this.crash();
    }
    if (this.isCrashed) throw new Error('the process has crashed');
  }

  private async delaySync(): Promise<void> {
    const {syncDelayMs = 0} = this.options;
    if (syncDelayMs === 0) return;
    await new Promise(resolve => setTimeout(resolve, syncDelayMs));
  }
}

function tornTail(file: FakeFile, share: number): Uint8Array | undefined {
  const durable = file.durable ?? new Uint8Array();
  const unsynced = file.bytes.length - durable.length;
  const kept = Math.max(0, Math.floor(unsynced * share));
  if (file.durable === undefined && kept === 0) return undefined;
  return unsynced <= 0 ? durable : file.bytes.slice(0, durable.length + kept);
}
