/** `cyclamenfall workspace ...`: customers, their keys, homes and ranks. */
import type {Answers, QuotaAnswer, WorkspaceAnswer} from '../config/answers.js';
import {
  addKey,
  addWorkspace,
  changeWorkspace,
  removeKey,
  type EditedAnswers,
} from '../config/workspace_edits.js';
import {asId, type ConfigVersion, type WorkspaceId} from '../types/ids.js';
import {acceptAnswers, identifyChange} from './accept_answers.js';
import {CHANGE_OPTIONS, changeFlags, waitIfAsked} from './change_options.js';
import {KEY_OPTIONS, keyDigestOption} from './caller_keys.js';
import {
  requiredArgument,
  textOption,
  type Command,
  type ParsedOptions,
} from './command.js';
import {CommandFailure, EXIT_FAILURE, usageFailure} from './failures.js';
import {readAccepted} from './fleet_queries.js';
import type {Session} from './session.js';
import {formatTable} from './table.js';
import {TRAIT_OPTIONS, traitsOf} from './workspace_options.js';

/** The answers that a change starts from; a resend names an earlier version. */
async function answersAt(
  session: Session,
  version: ConfigVersion,
): Promise<Answers> {
  const accepted = await readAccepted(session);
  return accepted.version === version
    ? accepted.answers
    : session.control.query<Answers>('config.answers', {version});
}

/** Makes the edited answers the next version after the one they were read at. */
async function change(
  session: Session,
  options: ParsedOptions,
  edit: (answers: Answers) => EditedAnswers,
): Promise<void> {
  const {baseVersion, operationId, timeoutMs} = changeFlags(options);
  const identity = await identifyChange(session, baseVersion, operationId);
  const edited = edit(await answersAt(session, identity.baseVersion));
  if (edited.isErr()) throw new CommandFailure(EXIT_FAILURE, edited.error);
  const answers = edited.value;
  const result = await acceptAnswers(session, answers, identity);
  const {version} = result;
  const progress = await waitIfAsked(
    session,
    answers,
    version,
    options,
    timeoutMs,
  );
  session.print({...identity, ...result, ...progress}, [
    `accepted as version ${version}`,
  ]);
}

function nameOf(argument: string | undefined): WorkspaceId {
  return asId(requiredArgument(argument, 'workspace'));
}

const show: Command = {
  usage: 'workspace show [workspace]',
  description: 'Show workspaces with their homes, ranks and number of keys',
  options: [['--keys', 'Show the digests of the keys, too']],
  examples: ['workspace show', 'workspace show reports --keys'],
  run: async (session, [name], options) => {
    const {version, answers} = await readAccepted(session);
    const shown = answers.workspaces.filter(
      ({id}) => name === undefined || id === name,
    );
    if (name !== undefined && shown.length === 0) {
      throw new CommandFailure(EXIT_FAILURE, `there is no workspace ${name}`);
    }
    const showsKeys = options['keys'] === true;
    session.note(`version ${version}`);
    session.print(
      shown.map(each => summaryOf(each, showsKeys)),
      [
        ...formatTable(
          [
            'workspace',
            'home',
            'residency',
            'rank',
            'weight',
            'quota',
            'keys',
            'workloads',
          ],
          shown.map(each => [
            each.id,
            each.home,
            each.residency.join(', '),
            each.rank,
            each.fairWeight,
            quotaText(each.quota),
            each.callerKeyDigests.length,
            each.workloads.map(({id, rank}) => `${id} (${rank})`).join(', '),
          ]),
        ),
        ...(showsKeys ? ['', ...keyTable(shown)] : []),
      ],
    );
  },
};

function quotaText(quota: QuotaAnswer | undefined): string | undefined {
  if (quota === undefined) return undefined;
  const {unit, ratePerS, burst, plainTokens} = quota;
  const plain =
    plainTokens === undefined ? '' : `, ${plainTokens} without tokens`;
  return `${ratePerS} ${unit}/s, burst ${burst}${plain}`;
}

function summaryOf(
  {callerKeyDigests, ...others}: WorkspaceAnswer,
  showsKeys: boolean,
): object {
  return {
    ...others,
    keyCount: callerKeyDigests.length,
    ...(showsKeys ? {callerKeyDigests} : {}),
  };
}

function keyTable(workspaces: readonly WorkspaceAnswer[]): readonly string[] {
  const rows = workspaces.flatMap(({id, callerKeyDigests}) =>
    callerKeyDigests.map(digest => [id, digest]),
  );
  return formatTable(['workspace', 'SHA-256 of a key'], rows);
}

const create: Command = {
  usage: 'workspace create [workspace]',
  description: 'Add a workspace with the workloads of another one',
  options: [
    ['--workloads-of', 'The workspace whose workloads it gets'],
    ...TRAIT_OPTIONS,
    ...KEY_OPTIONS,
    ...CHANGE_OPTIONS,
  ],
  examples: [
    'workspace create second --workloads-of first --home south --key-file key',
  ],
  run: (session, [argument], options) => {
    const name = nameOf(argument);
    const template = textOption(options, 'workloads-of');
    if (template === undefined) throw usageFailure('--workloads-of is missing');
    const traits = traitsOf(options);
    const digest = keyDigestOption(options);
    return change(session, options, answers =>
      addWorkspace(answers, name, asId(template), digest, traits),
    );
  },
};

const set: Command = {
  usage: 'workspace set [workspace]',
  description: 'Change homes, rank, weight or quota of a workspace',
  options: [...TRAIT_OPTIONS, ...CHANGE_OPTIONS],
  examples: [
    'workspace set reports --rank urgent --base-version 4 --wait',
    'workspace set reports --quota-unit requests --rate 50 --burst 100',
  ],
  run: (session, [argument], options) => {
    const name = nameOf(argument);
    const traits = traitsOf(options);
    if (Object.keys(traits).length === 0) {
      throw usageFailure('name what to change');
    }
    return change(session, options, answers =>
      changeWorkspace(answers, name, traits),
    );
  },
};

const addKeyCommand: Command = {
  usage: 'workspace add-key [workspace]',
  description: 'Let a further key identify callers of a workspace',
  options: [...KEY_OPTIONS, ...CHANGE_OPTIONS],
  examples: ['workspace add-key reports --key-file new-key --wait'],
  run: (session, [argument], options) => {
    const name = nameOf(argument);
    const digest = keyDigestOption(options);
    return change(session, options, answers => addKey(answers, name, digest));
  },
};

const removeKeyCommand: Command = {
  usage: 'workspace remove-key [workspace]',
  description: 'Take a key away from a workspace',
  options: [...KEY_OPTIONS, ...CHANGE_OPTIONS],
  examples: ['workspace remove-key reports --key-file old-key --wait'],
  run: (session, [argument], options) => {
    const name = nameOf(argument);
    const digest = keyDigestOption(options);
    return change(session, options, answers =>
      removeKey(answers, name, digest),
    );
  },
};

/** The commands on workspaces. */
export const WORKSPACE_COMMANDS: readonly Command[] = [
  show,
  create,
  set,
  addKeyCommand,
  removeKeyCommand,
];
