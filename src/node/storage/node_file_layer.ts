/** The production `FileLayer`: files below one folder of the file system. */
import {
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
  type FileHandle,
} from 'node:fs/promises';
import {dirname, join, resolve} from 'node:path';
import {FileLayer} from './file_layer.js';

const TEMPORARY_SUFFIX = '.tmp';

interface OpenFile {
  readonly handle: FileHandle;
  /** Whether the directory entry of the file has been synced. */
  isNameSynced: boolean;
}

/** Files below `root`, which is created when the first file is written. */
export class NodeFileLayer extends FileLayer {
  private readonly openFiles = new Map<string, OpenFile>();
  private readonly syncedFolders = new Set<string>();
  private readonly root: string;

  constructor(root: string) {
    super();
    this.root = resolve(root);
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    const {handle} = await this.openFile(name);
    await this.closeOnError(name, handle.appendFile(bytes));
  }

  override async read(name: string): Promise<Uint8Array | undefined> {
    return fallbackIfMissing(readFile(this.path(name)), undefined);
  }

  override async writeAtomic(name: string, bytes: Uint8Array): Promise<void> {
    await this.closeFile(name);
    const path = this.path(name);
    await this.createFolder(dirname(path));
    const temporary = path + TEMPORARY_SUFFIX;
    try {
      await writeDurably(temporary, bytes);
      await rename(temporary, path);
    } catch (thrown) {
      // A part of the file would take the room that may already be missing.
      await removeIfPossible(temporary);
      throw thrown;
    }
    await syncFolder(dirname(path));
  }

  override async sync(name: string): Promise<void> {
    const file = await this.openFile(name);
    await this.closeOnError(name, file.handle.datasync());
    if (file.isNameSynced) return;
    await syncFolder(dirname(this.path(name)));
    file.isNameSynced = true;
  }

  override async truncate(name: string, sizeBytes: number): Promise<void> {
    const {handle} = await this.openFile(name);
    await this.closeOnError(name, handle.truncate(sizeBytes));
  }

  override async list(folder: string): Promise<readonly string[]> {
    const entries = await fallbackIfMissing(
      readdir(this.path(folder), {withFileTypes: true}),
      [],
    );
    return entries
      .filter(entry => entry.isFile())
      .filter(entry => !entry.name.endsWith(TEMPORARY_SUFFIX))
      .map(entry => (folder === '' ? entry.name : `${folder}/${entry.name}`))
      .sort();
  }

  override async remove(name: string): Promise<void> {
    await this.closeFile(name);
    await rm(this.path(name), {force: true});
    await fallbackIfMissing(syncFolder(dirname(this.path(name))), undefined);
  }

  override async removeLeftovers(folder: string): Promise<void> {
    const path = this.path(folder);
    const names = await fallbackIfMissing(readdir(path), []);
    const leftovers = names.filter(each => each.endsWith(TEMPORARY_SUFFIX));
    await Promise.all(
      leftovers.map(each => removeIfPossible(join(path, each))),
    );
  }

  override async close(): Promise<void> {
    await Promise.all([...this.openFiles.keys()].map(n => this.closeFile(n)));
  }

  private path(name: string): string {
    return join(this.root, name);
  }

  private async openFile(name: string): Promise<OpenFile> {
    const cached = this.openFiles.get(name);
    if (cached !== undefined) return cached;
    const path = this.path(name);
    await this.createFolder(dirname(path));
    const file = {handle: await open(path, 'a'), isNameSynced: false};
    this.openFiles.set(name, file);
    return file;
  }

  // A handle whose write or sync failed may report the same error again, or none.
  private async closeOnError(
    name: string,
    operation: Promise<void>,
  ): Promise<void> {
    try {
      await operation;
    } catch (thrown) {
      await this.closeFile(name).catch(() => undefined);
      throw thrown;
    }
  }

  private async closeFile(name: string): Promise<void> {
    const file = this.openFiles.get(name);
    this.openFiles.delete(name);
    await file?.handle.close();
  }

  // A new file is durable only if every folder on its path is, too. A path is
  // synced only once.
  private async createFolder(folder: string): Promise<void> {
    if (this.syncedFolders.has(folder)) return;
    await mkdir(folder, {recursive: true});
    for (
      let parent = dirname(folder);
      parent.length >= dirname(this.root).length;
      parent = dirname(parent)
    ) {
      await syncFolder(parent);
      if (parent === dirname(parent)) break;
    }
    this.syncedFolders.add(folder);
  }
}

async function writeDurably(path: string, bytes: Uint8Array): Promise<void> {
  const handle = await open(path, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.datasync();
  } finally {
    await handle.close();
  }
}

// The error that led here is the one to report; the next write of the file
// replaces what stays.
async function removeIfPossible(path: string): Promise<void> {
  await rm(path, {force: true}).catch(() => undefined);
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

async function fallbackIfMissing<Value>(
  operation: Promise<Value>,
  fallback: Value,
): Promise<Value> {
  try {
    return await operation;
  } catch (thrown) {
    if ((thrown as NodeJS.ErrnoException).code === 'ENOENT') return fallback;
    throw thrown;
  }
}
