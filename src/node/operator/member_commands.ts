/** `cyclamenfall member ...`: the members of the configuration log. */
import type {MemberResult} from '../control/methods.js';
import {newOperationId} from './accept_answers.js';
import {
  countOption,
  requiredArgument,
  textOption,
  type Command,
  type ParsedOptions,
} from './command.js';
import type {Session} from './session.js';

const OPERATION_OPTION = [
  '--operation-id',
  'Resend a change under the id of its first try',
] as const;

async function change(
  session: Session,
  method: string,
  params: object,
  options: ParsedOptions,
): Promise<void> {
  const {operator, operatorKey} = session.settings;
  const operationId = textOption(options, 'operation-id') ?? newOperationId();
  session.note(`operation ${operationId}`);
  const result = await session.control.change<MemberResult>(method, {
    operator,
    operatorKey,
    operationId,
    ...params,
  });
  const hint =
    result.state === 'learner'
      ? '; it has not caught up: send the command again'
      : '';
  session.print({operationId, ...result}, [
    `${result.memberId}: ${result.state}${hint}`,
  ]);
}

const add: Command = {
  usage: 'member add [address]',
  description: 'Add the control member that listens at an inner address',
  options: [['--weight', 'Its votes; default 1'], OPERATION_OPTION],
  examples: ['member add 10.0.0.7:7200'],
  run: (session, [argument], options) => {
    const address = requiredArgument(argument, 'address');
    const weight = countOption(options, 'weight', 1) ?? 1;
    return change(session, 'member.add', {address, weight}, options);
  },
};

const remove: Command = {
  usage: 'member remove [member]',
  description: 'Remove a control member, named as in `status`',
  options: [OPERATION_OPTION],
  examples: ['member remove centro-1#3'],
  run: (session, [argument], options) => {
    const memberId = requiredArgument(argument, 'member');
    return change(session, 'member.remove', {memberId}, options);
  },
};

/** The commands on control members. */
export const MEMBER_COMMANDS: readonly Command[] = [add, remove];
