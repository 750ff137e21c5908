/**
 * Faults of the operating system's file calls, for one process: replaces calls of
 * `node:fs/promises` for all modules. Specs and the soak's processes use it.
 */
import promises from 'node:fs/promises';
import {syncBuiltinESMExports} from 'node:module';

/** The calls that change what a disk holds. */
export type FileCall =
  | 'mkdir'
  | 'open'
  | 'write'
  | 'sync'
  | 'truncate'
  | 'rename'
  | 'remove'
  | 'sync_folder';

export const FILE_CALLS: readonly FileCall[] = [
  'mkdir',
  'open',
  'write',
  'sync',
  'truncate',
  'rename',
  'remove',
  'sync_folder',
];

/** Runs before a call; throws what the call is to fail with, or waits. */
export type BeforeCall = (call: FileCall, path: string) => Promise<void>;

type Handle = promises.FileHandle;

/** Installs the faults; returns a function that removes them. */
export function installFileCallFaults(before: BeforeCall): () => void {
  const {open, mkdir, rename, rm} = promises;
  promises.open = async (path, flags, mode) => {
    const name = String(path);
    if (flags !== 'r') await before('open', name);
    return withFaults(await open(path, flags, mode), name, before);
  };
  promises.mkdir = (async (path: string, options: object) => {
    await before('mkdir', path);
    return mkdir(path, options);
  }) as typeof mkdir;
  promises.rename = async (from, to) => {
    await before('rename', String(from));
    return rename(from, to);
  };
  promises.rm = async (path, options) => {
    await before('remove', String(path));
    return rm(path, options);
  };
  syncBuiltinESMExports();
  return () => {
    Object.assign(promises, {open, mkdir, rename, rm});
    syncBuiltinESMExports();
  };
}

function withFaults(handle: Handle, path: string, before: BeforeCall): Handle {
  const {appendFile, writeFile, datasync, sync, truncate} = handle;
  // A disk that becomes full takes a part of the bytes.
  const write =
    (whole: typeof appendFile): typeof appendFile =>
    async (data, options) => {
      try {
        await before('write', path);
      } catch (thrown) {
        const part = Buffer.from(data as Uint8Array).subarray(0, 20);
        await whole.call(handle, part, options);
        throw thrown;
      }
      await whole.call(handle, data, options);
    };
  handle.appendFile = write(appendFile);
  handle.writeFile = write(writeFile as typeof appendFile) as typeof writeFile;
  handle.datasync = async () => {
    await before('sync', path);
    await datasync.call(handle);
  };
  handle.sync = async () => {
    await before('sync_folder', path);
    await sync.call(handle);
  };
  handle.truncate = async length => {
    await before('truncate', path);
    await truncate.call(handle, length);
  };
  return handle;
}
