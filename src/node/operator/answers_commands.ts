/** `cyclamenfall answers ...`: from the questionnaire to a version. */
import {existsSync, writeFileSync} from 'node:fs';
import {readAnswers, type Answers} from '../config/answers.js';
import type {Configuration} from '../config/configuration.js';
import {diff, formatDiff} from '../config/diff.js';
import {generate} from '../config/generate.js';
import {formatProblem} from '../config/source_text.js';
import type {CurrentResult} from '../control/methods.js';
import {acceptAnswers, identifyChange} from './accept_answers.js';
import {ANSWERS_TEMPLATE} from './answers_template.js';
import {CHANGE_OPTIONS, changeFlags, waitIfAsked} from './change_options.js';
import {textOption, type Command} from './command.js';
import {CommandFailure, EXIT_FAILURE} from './failures.js';
import type {Session} from './session.js';
import {formatTable} from './table.js';

const DEFAULT_ANSWERS_FILE = 'answers.yaml';

function fileOf(argument: string | undefined): string {
  return argument ?? DEFAULT_ANSWERS_FILE;
}

/** Reads answers; prints all problems and fails if there are any. */
export function loadAnswers(session: Session, file: string): Answers {
  const answers = readAnswers(file);
  if (answers.isOk()) return answers.value;
  answers.error.forEach(problem => session.note(formatProblem(problem)));
  const count = answers.error.length;
  throw new CommandFailure(EXIT_FAILURE, `${file}: ${count} problems`);
}

function summarize(configuration: Configuration): readonly string[] {
  const {instances, controlMembers, upstreams, workspaces} = configuration;
  const counts = {
    regions: configuration.regions.length,
    instances: instances.length,
    'control members': controlMembers.length,
    upstreams: upstreams.length,
    models: configuration.models.length,
    ranks: configuration.ranks.length,
    workspaces: workspaces.length,
    links: configuration.links.length,
  };
  const control = controlMembers.map(({instanceId}) => instanceId as string);
  return [
    ...formatTable(
      ['deployment', configuration.deployment],
      Object.entries(counts),
    ),
    '',
    ...formatTable(
      ['instance', 'domain', 'disk', 'record votes', 'control'],
      instances.map(instance => [
        instance.instanceId,
        instance.domainId,
        instance.hasDisk,
        instance.recordWeight,
        control.includes(instance.instanceId),
      ]),
    ),
    '',
    ...formatTable(['policy', 'value'], Object.entries(configuration.policy)),
  ];
}

const init: Command = {
  usage: 'answers init [file]',
  description: 'Write a questionnaire to fill in',
  run: async (session, [argument]) => {
    const file = fileOf(argument);
    if (existsSync(file)) {
      throw new CommandFailure(EXIT_FAILURE, `${file} exists already`);
    }
    writeFileSync(file, ANSWERS_TEMPLATE);
    session.print({file}, [`wrote ${file}`]);
    return Promise.resolve();
  },
};

const check: Command = {
  usage: 'answers check [file]',
  description: 'Check answers; problems name file, line, column and path',
  run: (session, [argument]) => {
    const file = fileOf(argument);
    const answers = readAnswers(file);
    if (answers.isOk()) {
      session.print({file, problems: []}, [`${file} is valid`]);
      return Promise.resolve();
    }
    const problems = answers.error;
    session.print({file, problems}, problems.map(formatProblem));
    return Promise.reject(
      new CommandFailure(EXIT_FAILURE, `${file}: ${problems.length} problems`),
    );
  },
};

const generateCommand: Command = {
  usage: 'answers generate [file]',
  description: 'Show the configuration that follows from answers',
  run: (session, [argument]) => {
    const configuration = generate(loadAnswers(session, fileOf(argument)));
    session.print(configuration, summarize(configuration));
    return Promise.resolve();
  },
};

const diffCommand: Command = {
  usage: 'answers diff [file]',
  description: 'Compare answers with the accepted configuration',
  options: [['--against', 'Compare with this file of answers instead']],
  run: async (session, [argument], options) => {
    const against = textOption(options, 'against');
    const after = generate(loadAnswers(session, fileOf(argument)));
    if (against !== undefined) {
      const before = generate(loadAnswers(session, against));
      const changes = diff(before, after);
      session.print({against, changes}, formatDiff(changes));
      return;
    }
    const current =
      await session.control.query<CurrentResult>('config.current');
    const {version, accepted} = current;
    if (accepted === undefined) {
      const lines = ['no configuration was accepted yet: base version 0'];
      session.print({baseVersion: version}, lines);
      return;
    }
    const changes = diff(accepted.configuration, after);
    session.print({baseVersion: version, changes}, [
      ...formatDiff(changes),
      `${changes.length} changes on base version ${version}`,
    ]);
  },
};

const accept: Command = {
  usage: 'answers accept [file]',
  description: 'Make answers the next version of the configuration',
  options: CHANGE_OPTIONS,
  examples: ['answers accept answers.yaml --base-version 4 --wait'],
  run: async (session, [argument], options) => {
    const {baseVersion, operationId, timeoutMs} = changeFlags(options);
    const answers = loadAnswers(session, fileOf(argument));
    const identity = await identifyChange(session, baseVersion, operationId);
    const result = await acceptAnswers(session, answers, identity);
    const progress = await waitIfAsked(
      session,
      answers,
      result.version,
      options,
      timeoutMs,
    );
    session.print({...identity, ...result, ...progress}, [
      `accepted as version ${result.version}`,
    ]);
  },
};

/** The commands on answers. */
export const ANSWERS_COMMANDS: readonly Command[] = [
  init,
  check,
  generateCommand,
  diffCommand,
  accept,
];
