/** A `FileLayer` in memory whose disk refuses or delays chosen calls. */
import {FaultFileLayer} from './fault_file_layer.js';

export type WritingCall = 'append' | 'writeAtomic' | 'sync' | 'truncate';

export const WRITING_CALLS: readonly WritingCall[] = [
  'append',
  'writeAtomic',
  'sync',
  'truncate',
];

export interface DiskFault {
  /** Calls that fail or wait. */
  readonly calls: readonly WritingCall[];
  /** Error of the operating system; without it the calls wait. */
  readonly code?: 'ENOSPC' | 'EIO';
  /** Files that are concerned; without it all. */
  readonly nameSuffix?: string;
}

/** The error that the operating system reports. */
export function diskError(code: string): NodeJS.ErrnoException {
  const errno = code === 'EIO' ? -5 : -28;
  return Object.assign(new Error(`${code}: write`), {code, errno});
}

export class RefusingFileLayer extends FaultFileLayer {
  /** Calls that were refused or delayed. */
  hits = 0;
  private fault: DiskFault | undefined;
  private release: (() => void)[] = [];

  /** Sets the fault, or ends it. */
  setFault(fault: DiskFault | undefined): void {
    this.fault = fault;
    if (fault !== undefined) return;
    this.release.forEach(resume => resume());
    this.release = [];
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    const isRefused = this.meets('append', name) && this.fault?.code;
    // A full disk takes a part of the bytes.
    if (isRefused) await super.append(name, bytes.subarray(0, 20));
    await this.pass('append', name);
    await super.append(name, bytes);
  }

  override async writeAtomic(name: string, bytes: Uint8Array): Promise<void> {
    await this.pass('writeAtomic', name);
    await super.writeAtomic(name, bytes);
  }

  override async sync(name: string): Promise<void> {
    await this.pass('sync', name);
    await super.sync(name);
  }

  override async truncate(name: string, sizeBytes: number): Promise<void> {
    await this.pass('truncate', name);
    await super.truncate(name, sizeBytes);
  }

  private meets(call: WritingCall, name: string): boolean {
    const {calls = [], nameSuffix = ''} = this.fault ?? {};
    return calls.includes(call) && name.endsWith(nameSuffix);
  }

  private async pass(call: WritingCall, name: string): Promise<void> {
    if (!this.meets(call, name)) return;
    this.hits += 1;
    const code = this.fault?.code;
    if (code !== undefined) throw diskError(code);
    await new Promise<void>(resolve => this.release.push(resolve));
  }
}
