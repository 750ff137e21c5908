/** `quotas`: which workspace is limited, by what and since when. */
import {wallNowMs} from '../clock/clock.js';
import {QUOTA_STATUS_METHOD} from '../quotas/status_method.js';
import {
  quotaStatusSchema,
  type QuotaStatus,
  type RegionStatus,
  type WorkspaceStatus,
} from '../quotas/workspace_use.js';
import type {Command} from './command.js';
import {CommandFailure, EXIT_FAILURE} from './failures.js';
import type {Session} from './session.js';
import {formatTable, formatTime, type Cell} from './table.js';

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
        'no control member that answers divides quotas; does a workspace have one?',
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
          'unit',
          'demand/s',
          'share/s',
          'limit/s',
          'pool',
          'entries',
          'refusing',
          'limited by',
          'limited since',
          'limited for s',
        ],
        workspaces.flatMap(each => rowsOf(each, wallNowMs())),
      ),
    ]);
  },
};

/** Shown for a workspace that no entry has had requests of lately. */
const IDLE: Omit<RegionStatus, 'region'> = {
  demandPerS: 0,
  sharePerS: 0,
  entries: 0,
  limitedEntries: 0,
};

function rowsOf(
  status: WorkspaceStatus,
  nowMs: number,
): readonly (readonly Cell[])[] {
  const {workspace, unit, ratePerS, poolUnits, regions} = status;
  const demandPerS = regions.reduce((sum, each) => sum + each.demandPerS, 0);
  const cause = demandPerS > ratePerS ? 'rate' : 'shares';
  const shown = regions.length === 0 ? [{...IDLE, region: undefined}] : regions;
  return shown.map(each => [
    workspace,
    each.region,
    unit,
    each.demandPerS,
    each.sharePerS,
    ratePerS,
    poolUnits,
    each.entries,
    each.limitedEntries,
    ...(each.limitedForMs === undefined
      ? [undefined, undefined, undefined]
      : [
          cause,
          formatTime(nowMs - each.limitedForMs),
          (each.limitedForMs / MS_PER_S).toFixed(1),
        ]),
  ]);
}

export const QUOTA_COMMANDS: readonly Command[] = [quotas];
