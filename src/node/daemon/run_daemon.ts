/** What all daemons share: command line, exit codes and signals. */
import {readFileSync} from 'node:fs';
import type {Result} from 'neverthrow';
import sade from 'sade';
import {formatProblems} from '../config/settings.js';
import type {LocatedProblem} from '../config/source_text.js';
import {toGatewayError} from '../types/errors.js';

/** Exit codes of all binaries; `docs/cli.md` documents them. */
export const ExitCode = {
  success: 0,
  failure: 1,
  usage: 2,
  conflict: 3,
  unknown: 4,
} as const;

/** A daemon as its binary runs it. */
export interface Daemon {
  start(): Promise<void>;
  /** A planned stop that finishes what is in flight. */
  stop(): Promise<void>;
}

/** One kind of daemon. */
export interface DaemonKind<Settings> {
  readonly name: string;
  readonly description: string;
  readonly loadSettings: (
    file: string,
  ) => Result<Settings, readonly LocatedProblem[]>;
  readonly create: (settings: Settings) => Daemon;
}

/** The version in the package file. */
export function packageVersion(): string {
  const file = new URL('../../../package.json', import.meta.url);
  const parsed = JSON.parse(readFileSync(file, 'utf8')) as {version: string};
  return parsed.version;
}

/** Runs a binary of a daemon with the arguments of the process. */
export function runDaemon<Settings>(
  kind: DaemonKind<Settings>,
  argv: readonly string[],
): void {
  const program = sade(`${kind.name} [settings]`, true);
  program
    .version(packageVersion())
    .describe(kind.description)
    .option('--check', 'Validate the settings file and exit')
    .action((file: string | undefined, options: {check?: boolean}) => {
      if (file !== undefined) {
        startFrom(kind, file, options.check === true);
        return;
      }
      console.error(`usage: ${kind.name} <settings> [--check]`);
      process.exit(ExitCode.usage);
    });
  program.parse([...argv], {
    // Without this the flag would take the settings file as its value.
    boolean: ['check'],
    unknown: option => {
      console.error(`unknown option: ${option}`);
      process.exit(ExitCode.usage);
    },
  });
}

function startFrom<Settings>(
  kind: DaemonKind<Settings>,
  file: string,
  isCheck: boolean,
): void {
  const settings = kind.loadSettings(file);
  if (settings.isErr()) {
    console.error(formatProblems(settings.error));
    process.exit(ExitCode.usage);
  }
  if (isCheck) {
    console.log(`${file} is valid`);
    return;
  }
  const daemon = kind.create(settings.value);
  stopOnSignals(daemon);
  daemon.start().catch(thrown => {
    const error = toGatewayError(thrown, 'daemon.start', 'self');
    console.error(`${kind.name}: ${error.message}`);
    process.exit(ExitCode.failure);
  });
}

// The first signal asks for a planned stop, the second ends the process.
function stopOnSignals(daemon: Daemon): void {
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) process.exit(ExitCode.failure);
    isStopping = true;
    daemon.stop().then(
      () => process.exit(ExitCode.success),
      thrown => {
        console.error(toGatewayError(thrown, 'daemon.stop', 'self').message);
        process.exit(ExitCode.failure);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
