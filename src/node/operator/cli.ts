/** The command line of operators. */
import {readFileSync} from 'node:fs';
import sade from 'sade';
import {ANSWERS_COMMANDS} from './answers_commands.js';
import type {Command, ParsedOptions} from './command.js';
import {CONFIG_COMMANDS} from './config_commands.js';
import {EXPLAIN_COMMANDS} from './explain_commands.js';
import {EXIT_SUCCESS, failureOf, usageFailure} from './failures.js';
import {FLEET_COMMANDS} from './fleet_commands.js';
import {MEMBER_COMMANDS} from './member_commands.js';
import {QUOTA_COMMANDS} from './quota_commands.js';
import {Session, type Terminal} from './session.js';
import {WORKSPACE_COMMANDS} from './workspace_commands.js';

const COMMANDS: readonly Command[] = [
  ...ANSWERS_COMMANDS,
  ...CONFIG_COMMANDS,
  ...WORKSPACE_COMMANDS,
  ...FLEET_COMMANDS,
  ...QUOTA_COMMANDS,
  ...MEMBER_COMMANDS,
  ...EXPLAIN_COMMANDS,
];

/** Flags without a value; without this list they would take the next word. */
const SWITCHES = ['json', 'wait', 'local', 'answers', 'keys'];
/** Flags with text; without this list digits would become numbers. */
const TEXTS = [
  'settings',
  'operation-id',
  'against',
  'logs',
  'home',
  'residency',
  'rank',
  'workloads-of',
  'key-file',
  'key-digest',
  'quota-unit',
];

function nameOf(command: Command): string {
  return command.usage.replace(/ \[.*$/, '');
}

function packageVersion(): string {
  const file = new URL('../../../package.json', import.meta.url);
  const {version} = JSON.parse(readFileSync(file, 'utf8')) as {version: string};
  return version;
}

function createProgram(): sade.Sade {
  const program = sade('cyclamenfall')
    .version(packageVersion())
    .describe('Operate a multi-region inference gateway.')
    .option('--settings', 'Settings file; default operator.yaml')
    .option('--json', 'Print the result as JSON');
  COMMANDS.forEach(command => {
    program.command(command.usage, command.description);
    command.options?.forEach(([flag, text]) => program.option(flag, text));
    command.examples?.forEach(example => program.example(example));
    program.action((...args: unknown[]) => ({command, args}));
  });
  return program;
}

// The parser ends the process with 1 on wrong usage, which has to be 2, so
// wrong commands are found before it runs.
function checkCommand(words: readonly string[]): void {
  const [first = '', second = ''] = words;
  const isKnown = COMMANDS.some(command => {
    const name = nameOf(command);
    return name === first || name === `${first} ${second}`;
  });
  if (isKnown) return;
  const names = COMMANDS.map(nameOf).join(', ');
  const given =
    words.length === 0
      ? 'no command'
      : `unknown command: ${`${first} ${second}`.trim()}`;
  throw usageFailure(`${given}; commands: ${names}`);
}

function parse(words: readonly string[]): {
  command: Command;
  args: (string | undefined)[];
  options: ParsedOptions;
} {
  checkCommand(words);
  const program = createProgram();
  const {handler, args} = program.parse(['node', 'cyclamenfall', ...words], {
    lazy: true,
    boolean: SWITCHES,
    string: TEXTS,
    unknown: flag => {
      throw usageFailure(`unknown option: ${flag}`);
    },
  });
  const {command} = (handler as () => {command: Command})();
  const parsed = args as unknown as unknown[];
  const options = parsed.at(-1) as ParsedOptions & {_: readonly string[]};
  if (options._.length > 0) {
    throw usageFailure(`unexpected argument: ${options._.join(' ')}`);
  }
  return {
    command,
    args: parsed.slice(0, -1) as (string | undefined)[],
    options,
  };
}

/** Runs one command and resolves with the exit code. */
export async function runCli(
  words: readonly string[],
  terminal: Terminal,
): Promise<number> {
  const isInformation = words.some(word =>
    ['--help', '-h', '--version', '-v'].includes(word),
  );
  let session: Session | undefined;
  try {
    if (isInformation) {
      if (words[0]?.startsWith('-') !== true) checkCommand(words);
      createProgram().parse(['node', 'cyclamenfall', ...words]);
      return EXIT_SUCCESS;
    }
    const {command, args, options} = parse(words);
    session = new Session(terminal, options);
    await command.run(session, args, options);
    return EXIT_SUCCESS;
  } catch (thrown) {
    const failure = failureOf(thrown);
    terminal.err(failure.message);
    return failure.exitCode;
  } finally {
    await session?.close();
  }
}

/** Runs the command line on this process. */
export async function main(): Promise<void> {
  // A reader such as `head` may close the pipe before everything is written.
  process.stdout.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code !== 'EPIPE') throw error;
  });
  process.exitCode = await runCli(process.argv.slice(2), {
    out: line => process.stdout.write(`${line}\n`),
    err: line => process.stderr.write(`${line}\n`),
    env: process.env,
  });
}
