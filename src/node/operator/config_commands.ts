/** `cyclamenfall config ...` and `audit`: what was accepted, when and why. */
import {stringify} from 'yaml';
import type {Answers} from '../config/answers.js';
import {explain} from '../config/explain.js';
import type {AuditEntry, HistoryEntry} from '../control/commands.js';
import {loadAnswers} from './answers_commands.js';
import {countOption, textOption, type Command} from './command.js';
import {CommandFailure, EXIT_FAILURE} from './failures.js';
import {readAccepted} from './fleet_queries.js';
import type {Session} from './session.js';
import {formatTable, formatTime} from './table.js';

const DEFAULT_LIMIT = 20;

function valueAt(value: unknown, path: string): unknown {
  const steps = path.split(/[.[\]]+/).filter(step => step !== '');
  return steps.reduce<unknown>(
    (current, step) =>
      typeof current === 'object' && current !== null
        ? (current as Record<string, unknown>)[step]
        : undefined,
    value,
  );
}

const show: Command = {
  usage: 'config show [path]',
  description: 'Show the accepted configuration, or the value at a path',
  options: [
    ['--answers', 'Show the answers that the configuration follows from'],
    ['--at-version', 'Show the answers of this recent version'],
    ['--local', 'Ask one control member, without a quorum'],
  ],
  examples: ['config show policy', 'config show --answers > answers.yaml'],
  run: async (session, [path], options) => {
    const version = countOption(options, 'at-version', 1);
    if (version !== undefined) {
      const answers = await session.control.query<Answers>('config.answers', {
        version,
      });
      session.print(answers, [stringify(answers).trimEnd()]);
      return;
    }
    const accepted = await readAccepted(session, {
      local: options['local'] === true,
    });
    const shown =
      options['answers'] === true ? accepted.answers : accepted.configuration;
    const value = path === undefined ? shown : valueAt(shown, path);
    if (value === undefined) {
      throw new CommandFailure(EXIT_FAILURE, `there is no value at ${path}`);
    }
    session.note(`version ${accepted.version}`);
    session.print(value, [stringify(value).trimEnd()]);
  },
};

const explainCommand: Command = {
  usage: 'config explain [path]',
  description: 'Show the answers and the rule behind each generated value',
  options: [['--file', 'Explain the configuration of these answers instead']],
  examples: ['config explain policy', 'config explain instances[0]'],
  run: async (session, [path], options) => {
    const file = textOption(options, 'file');
    const answers =
      file === undefined
        ? (await readAccepted(session)).answers
        : loadAnswers(session, file);
    const explained = explain(answers, path);
    if (explained.length === 0) {
      throw new CommandFailure(EXIT_FAILURE, `there is no value at ${path}`);
    }
    session.print(
      explained,
      formatTable(
        ['value', 'is', 'from', 'rule'],
        explained.map(({path: at, value, sources, rule}) => [
          at,
          JSON.stringify(value),
          sources.join(', '),
          rule,
        ]),
      ),
    );
  },
};

const history: Command = {
  usage: 'config history',
  description: 'List accepted versions',
  options: [['--limit', `Number of versions; default ${DEFAULT_LIMIT}`]],
  run: async (session, _args, options) => {
    const limit = countOption(options, 'limit', 1) ?? DEFAULT_LIMIT;
    const entries = await session.control.query<readonly HistoryEntry[]>(
      'config.history',
      {limit},
    );
    session.print(
      entries,
      formatTable(
        ['version', 'base', 'time', 'operator', 'operation'],
        entries.map(entry => [
          entry.version,
          entry.baseVersion,
          formatTime(entry.atMs),
          entry.operator,
          entry.operationId,
        ]),
      ),
    );
  },
};

const audit: Command = {
  usage: 'audit',
  description: 'List accepted and refused changes',
  options: [
    ['--limit', `Number of changes; default ${DEFAULT_LIMIT}`],
    ['--before', 'Only changes before this sequence number'],
  ],
  run: async (session, _args, options) => {
    const limit = countOption(options, 'limit', 1) ?? DEFAULT_LIMIT;
    const beforeSequence = countOption(options, 'before', 1);
    const entries = await readAudit(session, limit, beforeSequence);
    session.print(
      entries,
      formatTable(
        ['sequence', 'time', 'operator', 'action', 'base', 'result', 'detail'],
        entries.map(entry => [
          entry.sequence,
          formatTime(entry.atMs),
          entry.operator,
          entry.action,
          entry.baseVersion,
          entry.result,
          entry.detail,
        ]),
      ),
    );
  },
};

function readAudit(
  session: Session,
  limit: number,
  beforeSequence: number | undefined,
): Promise<readonly AuditEntry[]> {
  return session.control.query('audit.list', {
    limit,
    ...(beforeSequence === undefined ? {} : {beforeSequence}),
  });
}

/** The commands on accepted configurations. */
export const CONFIG_COMMANDS: readonly Command[] = [
  show,
  explainCommand,
  history,
  audit,
];
