/** An append-only file of records, and a file that is replaced atomically. */
import {
  decodeRecords,
  encodeJson,
  encodeRecord,
  storageDamaged,
} from './records.js';
import type {FileLayer} from './file_layer.js';

/** An append-only log file. Calls must not overlap. */
export class RecordLog {
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
    if (bytes === undefined) return [];
    const {jsons, sizeBytes} = decodeRecords(bytes, this.name);
    if (sizeBytes < bytes.length) {
      await this.files.truncate(this.name, sizeBytes);
    }
    await this.files.sync(this.name);
    return jsons.map(json => JSON.parse(json) as unknown);
  }

  /** Appends one record; durable when it resolves. Returns its size. */
  async append(value: unknown): Promise<number> {
    const bytes = encodeRecord(value);
    await this.files.append(this.name, bytes);
    await this.files.sync(this.name);
    return bytes.length;
  }

  /** Replaces all records by one; durable when it resolves. */
  async rewrite(value: unknown): Promise<void> {
    await this.files.writeAtomic(this.name, encodeRecord(value));
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
