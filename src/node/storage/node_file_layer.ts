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
    await handle.appendFile(bytes);
  }

  override async read(name: string): Promise<Uint8Array | undefined> {
    return fallbackIfMissing(readFile(this.path(name)), undefined);
  }

  override async writeAtomic(name: string, bytes: Uint8Array): Promise<void> {
    await this.closeFile(name);
    const path = this.path(name);
    await this.createFolder(dirname(path));
    const temporary = path + TEMPORARY_SUFFIX;
    const handle = await open(temporary, 'w');
    try {
      await handle.writeFile(bytes);
      await handle.datasync();
    } finally {
      await handle.close();
    }
    await rename(temporary, path);
    await syncFolder(dirname(path));
  }

  override async sync(name: string): Promise<void> {
    const file = await this.openFile(name);
    await file.handle.datasync();
    if (file.isNameSynced) return;
    await syncFolder(dirname(this.path(name)));
    file.isNameSynced = true;
  }

  override async truncate(name: string, sizeBytes: number): Promise<void> {
    const {handle} = await this.openFile(name);
    await handle.truncate(sizeBytes);
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
