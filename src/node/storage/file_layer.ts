/**
 * Access to files below one data folder. Appended bytes are durable only once
 * `sync` resolves; a fault-injecting test implementation drops unsynced bytes.
 */

/** The files of one data folder. Names are relative paths with `/`. */
export abstract class FileLayer {
  /** Appends bytes to a file and creates it if it is missing. */
  abstract append(name: string, bytes: Uint8Array): Promise<void>;
  /** Reads a complete file; `undefined` if it is missing. */
  abstract read(name: string): Promise<Uint8Array | undefined>;
  /**
   * Replaces a file atomically: after a crash it has either the old or the new
   * content. Durable when it resolves.
   */
  abstract writeAtomic(name: string, bytes: Uint8Array): Promise<void>;
  /** Makes all appended bytes of a file, and its directory entry, durable. */
  abstract sync(name: string): Promise<void>;
  /** Truncates a file to a size in bytes. */
  abstract truncate(name: string, sizeBytes: number): Promise<void>;
  /** Names of the files below a folder, sorted. */
  abstract list(folder: string): Promise<readonly string[]>;
  /** Removes a file; a missing file is not an error. */
  abstract remove(name: string): Promise<void>;
  /** Removes what an interrupted `writeAtomic` left in a folder. */
  removeLeftovers(_folder: string): Promise<void> {
    return Promise.resolve();
  }
  /** Closes open file handles. */
  abstract close(): Promise<void>;
}
