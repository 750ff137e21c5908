/** An append-only file of records, and a file that is replaced atomically. */
import {
  decodeRecords,
  encodeJson,
  encodeRecord,
  storageDamaged,
} from './records.js';
import {isDiskError} from './disk_error.js';
import type {FileLayer} from './file_layer.js';

/**
 * An append-only log file. Calls must not overlap. A call that failed may be
 * repeated: the next append first removes what the failed one left.
 */
export class RecordLog {
  /** Length of the records that are known to be synced. */
  private durableBytes = 0;
  /** Whether the file holds the synced records and nothing else. */
  private isIntact = true;
  /** Content of a replacement that failed; it may be in place nevertheless. */
  private replacement: Uint8Array | undefined;

  constructor(
    private readonly files: FileLayer,
    private readonly name: string,
  ) {}

  /**
   * Reads all records and truncates a torn tail. Syncs the file before it
   * returns, because a crashed process may have left bytes that exist only in
   * the page cache.
   */
  async load(): Promise<readonly unknown[]> {
    const bytes = await this.files.read(this.name);
    this.replacement = undefined;
    this.isIntact = true;
    this.durableBytes = 0;
    if (bytes === undefined) return [];
    const {jsons, sizeBytes} = decodeRecords(bytes, this.name);
    if (sizeBytes < bytes.length) await this.removeTornTail(sizeBytes);
    await this.files.sync(this.name);
    this.durableBytes = sizeBytes;
    return jsons.map(json => JSON.parse(json) as unknown);
  }

  /** Appends one record; durable when it resolves. Returns its size. */
  async append(value: unknown): Promise<number> {
    const bytes = encodeRecord(value);
    if (!this.isIntact) await this.repair();
    this.isIntact = false;
    await this.files.append(this.name, bytes);
    await this.files.sync(this.name);
    this.isIntact = true;
    this.durableBytes += bytes.length;
    return bytes.length;
  }

  /** Replaces all records by one; durable when it resolves. */
  async rewrite(value: unknown): Promise<void> {
    const bytes = encodeRecord(value);
    this.isIntact = false;
    this.replacement = bytes;
    await this.files.writeAtomic(this.name, bytes);
    this.replacement = undefined;
    this.isIntact = true;
    this.durableBytes = bytes.length;
  }

  // The records before the tail can be read and used while the disk refuses the
  // change; `repair` makes it before the next append.
  private async removeTornTail(sizeBytes: number): Promise<void> {
    try {
      await this.files.truncate(this.name, sizeBytes);
    } catch (thrown) {
      if (!isDiskError(thrown)) throw thrown;
      this.isIntact = false;
    }
  }

  /**
   * Leaves only what is known to be synced. A complete record of a failed append
   * is removed as well: after a failed sync it may exist in the page cache only,
   * and a later sync does not report that.
   */
  private async repair(): Promise<void> {
    const bytes = (await this.files.read(this.name)) ?? new Uint8Array();
    const {replacement} = this;
    if (replacement !== undefined) {
      const isInPlace = Buffer.compare(bytes, replacement) === 0;
      if (isInPlace) this.durableBytes = replacement.length;
      this.replacement = undefined;
    }
    if (bytes.length < this.durableBytes) {
      throw storageDamaged(this.name, 'synced records are missing');
    }
    if (bytes.length > this.durableBytes) {
      await this.files.truncate(this.name, this.durableBytes);
    }
    this.isIntact = true;
  }
}

/** A file with a fixed number of records that is replaced atomically. */
export class RecordFile {
  constructor(
    private readonly files: FileLayer,
    private readonly name: string,
  ) {}

  /**
   * Reads the records as JSON and syncs the file; `undefined` if it is missing.
   */
  async load(count: number): Promise<readonly string[] | undefined> {
    const bytes = await this.files.read(this.name);
    if (bytes === undefined) return undefined;
    const {jsons, sizeBytes} = decodeRecords(bytes, this.name);
    if (jsons.length !== count || sizeBytes !== bytes.length) {
      throw storageDamaged(
        this.name,
        `expected exactly ${count} complete records`,
      );
    }
    await this.files.sync(this.name);
    return jsons;
  }

  /** Replaces all records; durable when it resolves. */
  async save(jsons: readonly string[]): Promise<void> {
    const records = jsons.map(json => encodeJson(json));
    await this.files.writeAtomic(this.name, Buffer.concat(records));
  }
}
