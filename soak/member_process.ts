/** One of the real programs as a child process, with its settings and disk. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
  appendFileSync,
  createWriteStream,
  existsSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {DISK_FAULT_VARIABLE, type DiskFault} from './disk_fault.js';
import {
  QUOTA_TOLERANCE,
  RETRY_BUDGET,
  type Layout,
  type ProcessPlace,
} from './layout.js';
import {OWN_ADDRESS_VARIABLE} from './own_address_variable.js';

const PROGRAMS = {
  entry: fileURLToPath(new URL('../platform/entry_main.js', import.meta.url)),
  control: fileURLToPath(
    new URL('../platform/control_main.js', import.meta.url),
  ),
} as const;
const MS_PER_S = 1_000;
/** Longest planned stop that the settings allow. */
export const STOP_GRACE_MS = 4_500;
const HEAP_MB = 128;
/** Loaded before the programs. */
const PRELOADED = {
  entry: new URL('./own_address.js', import.meta.url).href,
  control: new URL('./faulty_disk.js', import.meta.url).href,
} as const;
/**
 * No program can handle a signal before the runtime has run its first line. On a
 * busy machine that takes seconds.
 */
const MAX_RUNTIME_START_MS = 10_000;
const SIGNAL_CHECK_MS = 10;

/** The end of a process that nobody asked for. */
export interface UnexpectedExit {
  readonly name: string;
  readonly code: number | null;
  readonly signal: string | null;
}

/** Runs, signals and restarts one program. */
export class MemberProcess {
  private child: ChildProcess | undefined;
  private expectsExit = false;
  private isPaused = false;
  private startedAtMs = 0;
  private settingsVersion = 0;
  private mayFound = true;

  constructor(
    readonly place: ProcessPlace,
    private readonly layout: Layout,
    private readonly folder: string,
    private readonly onUnexpectedExit: (exit: UnexpectedExit) => void,
    /** Settings of an entry beside those of the layout. */
    private readonly entrySettings: Readonly<Record<string, unknown>> = {},
  ) {}

  get pid(): number | undefined {
    return this.child?.pid;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  start(): void {
    if (this.child !== undefined) return;
    this.writeSettings();
    const child = spawn(
      process.execPath,
      [
        `--max-old-space-size=${HEAP_MB}`,
        '--import',
        PRELOADED[this.place.role],
        PROGRAMS[this.place.role],
      ],
      {
        env: {
          CYCLAMENFALL_SETTINGS: this.file('yaml'),
          [DISK_FAULT_VARIABLE]: this.file('fault'),
          [OWN_ADDRESS_VARIABLE]: this.place.host,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const log = createWriteStream(this.file('log'), {flags: 'a'});
    child.stdout?.pipe(log, {end: false});
    child.stderr?.pipe(log, {end: false});
    this.expectsExit = false;
    this.startedAtMs = performance.now();
    this.child = child;
    child.once('exit', (code, signal) => {
      log.end();
      this.child = undefined;
      if (this.expectsExit) return;
      this.onUnexpectedExit({name: this.place.name, code, signal});
    });
  }

  /** Ends the process at once and resolves when it is gone. */
  async kill(): Promise<void> {
    this.expectsExit = true;
    this.child?.kill('SIGKILL');
    await this.gone();
  }

  /** Asks for a planned stop; resolves with the time it took. */
  async terminate(): Promise<number> {
    const startedAtMs = performance.now();
    this.expectsExit = true;
    this.resume();
    this.child?.kill('SIGTERM');
    await this.gone();
    return performance.now() - startedAtMs;
  }

  pause(): void {
    this.isPaused = this.child?.kill('SIGSTOP') ?? false;
  }

  resume(): void {
    if (this.isPaused) this.child?.kill('SIGCONT');
    this.isPaused = false;
  }

  /** Changes the settings, with or without a signal. */
  async reload(withSignal: boolean): Promise<void> {
    this.settingsVersion += 1;
    this.writeSettings();
    if (!withSignal) return;
    const {child} = this;
    await this.untilReloadable(child);
    if (this.child === child) child?.kill('SIGHUP');
  }

  /** Resolves once the process has a handler for reload signals. */
  private async untilReloadable(
    child: ChildProcess | undefined,
  ): Promise<void> {
    const hasEnded = (): boolean => child === undefined || this.child !== child;
    const isLate = (): boolean =>
      performance.now() - this.startedAtMs > MAX_RUNTIME_START_MS;
    while (!hasEnded() && !isLate() && !catchesReload(child?.pid)) {
      await sleep(SIGNAL_CHECK_MS);
    }
  }

  /** Empties the disk of a process that does not run. */
  wipeDisk(): void {
    rmSync(this.dataFolder, {recursive: true, force: true});
    // As a platform says of a machine that joins an existing deployment.
    this.mayFound = false;
  }

  /** Leaves half a record at the end of the log, as a power loss may. */
  tearDisk(): void {
    const log = join(this.dataFolder, 'routes', 'log');
    if (existsSync(log)) appendFileSync(log, Buffer.from([0, 0, 1, 7, 42]));
  }

  /** Makes the disk refuse or delay all writes from now on, or none. */
  impairDisk(fault: DiskFault | undefined): void {
    if (fault === undefined) rmSync(this.file('fault'), {force: true});
    else writeFileSync(this.file('fault'), fault);
  }

  private get dataFolder(): string {
    return join(this.folder, `${this.place.name}-data`);
  }

  private file(extension: string): string {
    return join(this.folder, `${this.place.name}.${extension}`);
  }

  private gone(): Promise<void> {
    const {child} = this;
    if (child === undefined) return Promise.resolve();
    return new Promise(resolve => child.once('exit', () => resolve()));
  }

  private writeSettings(): void {
    const text = JSON.stringify(this.settings(), null, 1);
    writeFileSync(this.file('yaml'), text);
  }

  private settings(): Readonly<Record<string, unknown>> {
    const {place, layout} = this;
    const controls = layout.processes.filter(each => each.role === 'control');
    const shift = this.settingsVersion % controls.length;
    const seeds = [...controls.slice(shift), ...controls.slice(0, shift)];
    const shared = {
      instanceId: place.host,
      domainId: place.domain,
      regionId: place.region,
      regionOfDomain: Object.fromEntries(
        layout.processes.map(each => [each.domain, each.region]),
      ),
      innerAddress: place.innerAddress,
      advertisedInnerAddress: place.innerProxyAddress,
      metricsAddress: place.metricsAddress,
      seedAddresses: seeds.map(each => each.mainAddress),
      controlInnerPort: layout.controlInnerPort,
      clusterSecret: 'secret-of-the-soak',
      quotaWindowS: QUOTA_TOLERANCE.windowMs / MS_PER_S,
      quotaOverage: QUOTA_TOLERANCE.overage,
      quotaSlackTokens: QUOTA_TOLERANCE.slackTokens,
    };
    if (place.role === 'control') {
      return {
        ...shared,
        operatorAddress: place.mainAddress,
        directoryAddress: place.sideAddress,
        dataFolder: this.dataFolder,
        mayFound: this.mayFound,
      };
    }
    return {
      ...shared,
      callerAddress: place.mainAddress,
      readinessAddress: place.sideAddress,
      stopGraceS: STOP_GRACE_MS / MS_PER_S,
      listAddress: layout.listAddress,
      listLagMs: 100,
      retryRatio: RETRY_BUDGET.ratio,
      retryWindowS: RETRY_BUDGET.windowMs / MS_PER_S,
      retrySlack: RETRY_BUDGET.slack,
      ...this.entrySettings,
    };
  }
}

/** Whether a process catches SIGHUP, the lowest bit of the mask of signals. */
function catchesReload(pid: number | undefined): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
    return (Number.parseInt(mask.at(-1) ?? '0', 16) & 1) === 1;
  } catch {
    // The process has ended; its exit is noted elsewhere.
    return false;
  }
}
