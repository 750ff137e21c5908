/** `quotas`: which workspace is limited, by what and since when. */
import {QUOTA_STATUS_METHOD} from '../quotas/status_method.js';
import {
  quotaStatusSchema,
  type QuotaStatus,
  type WorkspaceStatus,
} from '../quotas/workspace_use.js';
import type {Command} from './command.js';
import {CommandFailure, EXIT_FAILURE} from './failures.js';
import type {Session} from './session.js';
import {formatTable, type Cell} from './table.js';

const TIMEOUT_MS = 2_000;
const MS_PER_S = 1_000;

async function askMembers(session: Session): Promise<readonly QuotaStatus[]> {
  const asked = session.control.addresses.map(async address => {
    const answer = await session.rpc.call<unknown>(
      address,
      QUOTA_STATUS_METHOD,
      {},
      TIMEOUT_MS,
    );
    const parsed = quotaStatusSchema.safeParse(answer.unwrapOr(undefined));
    return parsed.success ? [parsed.data] : [];
  });
  return (await Promise.all(asked)).flat();
}

const quotas: Command = {
  usage: 'quotas [workspace]',
  description: 'Show the use of quotas by region, and who is limited',
  examples: ['quotas', 'quotas reports'],
  run: async (session, [name]) => {
    const answers = await askMembers(session);
    const leading = answers.find(({isLeader}) => isLeader);
    if (leading === undefined) {
      throw new CommandFailure(
        EXIT_FAILURE,
        'no control member that answers divides quotas',
      );
    }
    const workspaces = leading.workspaces.filter(
      ({workspace}) => name === undefined || workspace === name,
    );
    session.print({workspaces}, [
      ...formatTable(
        [
          'workspace',
          'region',
          'demand/s',
          'share/s',
          'limit/s',
          'pool',
          'entries',
          'refusing',
          'limited for s',
        ],
        workspaces.flatMap(rowsOf),
      ),
    ]);
  },
};

function rowsOf(status: WorkspaceStatus): readonly (readonly Cell[])[] {
  const {workspace, ratePerS, poolUnits, regions} = status;
  if (regions.length === 0) {
    return [[workspace, undefined, 0, 0, ratePerS, poolUnits, 0, 0, undefined]];
  }
  return regions.map(each => [
    workspace,
    each.region,
    each.demandPerS,
    each.sharePerS,
    ratePerS,
    poolUnits,
    each.entries,
    each.limitedEntries,
    each.limitedForMs === undefined
      ? undefined
      : (each.limitedForMs / MS_PER_S).toFixed(1),
  ]);
}

export const QUOTA_COMMANDS: readonly Command[] = [quotas];
