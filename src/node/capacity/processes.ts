/** Child processes whose use of processor, memory and I/O is read. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import type {ProcessUsage} from './measured_daemon.js';

const DAEMON = fileURLToPath(new URL('measured_daemon.js', import.meta.url));
const STOP_TIMEOUT_MS = 3_000;

/** Use of one process at one moment. */
export interface Usage extends ProcessUsage {
  /** Bytes read and written by system calls: sockets and files. */
  readonly ioBytes: number;
}

/** What a process used between two moments. */
export interface Spent {
  readonly cpuMicros: number;
  readonly ioBytes: number;
}

/** A process that the measurement started. */
export class MeasuredProcess {
  private readonly child: ChildProcess;

  constructor(kind: string, file: string) {
    this.child = spawn(process.execPath, ['--expose-gc', DAEMON, kind, file], {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
  }

  async usage(collect = false): Promise<Usage> {
    const reply = once(this.child, 'message');
    this.child.send({collect});
    const [usage] = (await reply) as [ProcessUsage];
    return {...usage, ioBytes: this.ioBytes()};
  }

  async stop(): Promise<void> {
    if (this.child.exitCode !== null) return;
    const ended = once(this.child, 'exit');
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    await ended;
    clearTimeout(timer);
  }

  private ioBytes(): number {
    const text = readFileSync(`/proc/${this.child.pid}/io`, 'utf8');
    return [...text.matchAll(/^[rw]char: (\d+)$/gm)].reduce(
      (sum, [, count]) => sum + Number(count),
      0,
    );
  }
}

/** What each process spends while `work` runs. */
export async function spentDuring(
  processes: readonly MeasuredProcess[],
  work: () => Promise<unknown>,
): Promise<readonly Spent[]> {
  const before = await Promise.all(processes.map(each => each.usage()));
  await work();
  const after = await Promise.all(processes.map(each => each.usage()));
  return after.map((usage, index) => ({
    cpuMicros: usage.cpuMicros - (before[index]?.cpuMicros ?? 0),
    ioBytes: usage.ioBytes - (before[index]?.ioBytes ?? 0),
  }));
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
