/**
 * Runs a daemon and reports the use of its process to the parent over the IPC
 * channel. Started with `--expose-gc`, so that `heapBytes` is live data only.
 */
/** What a measured process reports of itself. */
export interface ProcessUsage {
  readonly cpuMicros: number;
  readonly rssBytes: number;
  /** Heap in use after a full collection, if one was asked for. */
  readonly heapBytes: number;
  /** Array buffers and other memory outside the heap. */
  readonly externalBytes: number;
}

// Imported on demand, so that a process holds only the code of its own kind.
const mains: Readonly<
  Record<string, () => Promise<(argv: readonly string[]) => void>>
> = {
  entry: async () => (await import('../daemon/entry_main.js')).main,
  control: async () => (await import('../daemon/control_main.js')).main,
  standin: async () => (await import('../daemon/standin_main.js')).main,
  rpc: async () => (await import('./rpc_echo.js')).main,
};

process.on('message', (request: {readonly collect: boolean}) => {
  const {user, system} = process.cpuUsage();
  if (request.collect) globalThis.gc?.();
  const {rss, heapUsed, external} = process.memoryUsage();
  const usage: ProcessUsage = {
    cpuMicros: user + system,
    rssBytes: rss,
    heapBytes: heapUsed,
    externalBytes: external,
  };
  process.send?.(usage);
});

// A measurement that ends early leaves no daemon behind.
process.on('disconnect', () => process.exit(0));

const [kind = '', file = ''] = process.argv.slice(2);
const main = await mains[kind]?.();
main?.(['node', kind, file]);
