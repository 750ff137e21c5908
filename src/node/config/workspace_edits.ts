/** Changes of single workspaces in the answers of a deployment. */
import {err, ok, type Result} from 'neverthrow';
import type {RankId, RegionId, WorkspaceId} from '../types/ids.js';
import {
  answersSchema,
  type Answers,
  type QuotaAnswer,
  type WorkloadAnswer,
  type WorkspaceAnswer,
} from './answers.js';
import {checkAnswers} from './answers_checks.js';
import {formatPath} from './source_text.js';

/** What an operator changes of a workspace; what is missing stays as it is. */
export interface WorkspaceTraits {
  readonly home?: RegionId;
  readonly residency?: readonly RegionId[];
  /** `none` leaves the ranks to the workloads. */
  readonly rank?: RankId | 'none';
  readonly fairWeight?: number;
  /** The parts of the quota that change; `none` ends it. */
  readonly quota?: Partial<QuotaAnswer> | 'none';
}

/** Answers after a change, or why it is none. */
export type EditedAnswers = Result<Answers, string>;

/** Adds a workspace with the workloads of another one. */
export function addWorkspace(
  answers: Answers,
  id: WorkspaceId,
  workloadsOf: WorkspaceId,
  keyDigest: string,
  {home, residency, ...traits}: WorkspaceTraits,
): EditedAnswers {
  if (find(answers, id) !== undefined) {
    return err(`workspace ${id} exists already`);
  }
  const template = find(answers, workloadsOf);
  if (template === undefined) {
    return err(`there is no workspace ${workloadsOf}`);
  }
  const homeRegion = home ?? template.home;
  const added: WorkspaceAnswer = {
    id,
    home: homeRegion,
    residency: [...(residency ?? [homeRegion])],
    callerKeyDigests: [keyDigest],
    workloads: template.workloads.map((each): WorkloadAnswer => ({...each})),
  };
  return checked({
    ...answers,
    workspaces: [...answers.workspaces, withTraits(added, traits)],
  });
}

/** Changes the traits of a workspace. */
export function changeWorkspace(
  answers: Answers,
  id: WorkspaceId,
  traits: WorkspaceTraits,
): EditedAnswers {
  return edit(answers, id, workspace => ok(withTraits(workspace, traits)));
}

/** Lets a further key identify callers of a workspace. */
export function addKey(
  answers: Answers,
  id: WorkspaceId,
  digest: string,
): EditedAnswers {
  return edit(answers, id, workspace =>
    workspace.callerKeyDigests.includes(digest)
      ? err(`workspace ${id} has this key already`)
      : ok({
          ...workspace,
          callerKeyDigests: [...workspace.callerKeyDigests, digest],
        }),
  );
}

/** Takes a key away from a workspace, which keeps at least one. */
export function removeKey(
  answers: Answers,
  id: WorkspaceId,
  digest: string,
): EditedAnswers {
  return edit(answers, id, workspace => {
    const callerKeyDigests = workspace.callerKeyDigests.filter(
      each => each !== digest,
    );
    if (callerKeyDigests.length === workspace.callerKeyDigests.length) {
      return err(`workspace ${id} has no such key`);
    }
    if (callerKeyDigests.length === 0) {
      return err(
        `this is the last key of workspace ${id}: add another one first`,
      );
    }
    return ok({...workspace, callerKeyDigests});
  });
}

function find(answers: Answers, id: WorkspaceId): WorkspaceAnswer | undefined {
  return answers.workspaces.find(each => each.id === id);
}

function edit(
  answers: Answers,
  id: WorkspaceId,
  change: (workspace: WorkspaceAnswer) => Result<WorkspaceAnswer, string>,
): EditedAnswers {
  const before = find(answers, id);
  if (before === undefined) return err(`there is no workspace ${id}`);
  return change(before).andThen(after =>
    checked({
      ...answers,
      workspaces: answers.workspaces.map(each =>
        each === before ? after : each,
      ),
    }),
  );
}

function withTraits(
  workspace: WorkspaceAnswer,
  {home, residency, rank, fairWeight, quota}: WorkspaceTraits,
): WorkspaceAnswer {
  const {rank: before, quota: quotaBefore, ...others} = workspace;
  const nextRank = rank ?? before;
  const nextQuota =
    quota === 'none' ? undefined : changedQuota(quotaBefore, quota);
  return {
    ...others,
    ...(home === undefined ? {} : {home}),
    ...(residency === undefined ? {} : {residency: [...residency]}),
    ...(nextRank === undefined || nextRank === 'none' ? {} : {rank: nextRank}),
    ...(fairWeight === undefined ? {} : {fairWeight}),
    ...(nextQuota === undefined ? {} : {quota: nextQuota}),
  };
}

/** A quota may lack parts until it is checked together with the other answers. */
function changedQuota(
  before: QuotaAnswer | undefined,
  change: Partial<QuotaAnswer> | undefined,
): QuotaAnswer | undefined {
  return change === undefined
    ? before
    : ({...before, ...change} as QuotaAnswer);
}

/** A change of valid answers may make them invalid, as by an unknown region. */
function checked(answers: Answers): EditedAnswers {
  const parsed = answersSchema.safeParse(answers);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const path = formatPath((issue?.path ?? []) as (string | number)[]);
    return err(`${path}: ${issue?.message ?? ''}`);
  }
  const [problem] = checkAnswers(parsed.data);
  return problem === undefined
    ? ok(parsed.data)
    : err(`${formatPath(problem.path)}: ${problem.message}`);
}
