/** Workspaces and workloads of the generated configuration. */
import type {
  Answers,
  QuotaAnswer,
  WorkloadAnswer,
  WorkspaceAnswer,
} from './answers.js';
import type {
  QuotaConfig,
  WorkloadConfig,
  WorkspaceConfig,
} from './configuration.js';
import type {RankId} from '../types/ids.js';
import {rendezvousChoice} from './rendezvous.js';
import {
  copied,
  copiedList,
  copiedOr,
  derived,
  type Leaf,
  type Traced,
} from './traced.js';

const DEFAULT_FAIR_WEIGHT = 1;
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
// A job may take its first token and then a full answer of 1,000 tokens.
const DEFAULT_ANSWER_TOKENS = 1_000;

/** All workspaces with the origin of every value. */
export function traceWorkspaces(
  answers: Answers,
): readonly Traced<WorkspaceConfig>[] {
  return answers.workspaces.map((workspace, index) =>
    traceWorkspace(answers, workspace, `workspaces[${index}]`),
  );
}

function traceWorkspace(
  answers: Answers,
  workspace: WorkspaceAnswer,
  source: string,
): Traced<WorkspaceConfig> {
  const home = answers.regions.findIndex(({id}) => id === workspace.home);
  return {
    workspaceId: copied(workspace.id, `${source}.id`),
    homeRegionId: copied(workspace.home, `${source}.home`),
    homeDomainId: derived(
      rendezvousChoice(workspace.id, answers.regions[home]?.domains ?? []),
      [`${source}.id`, `${source}.home`, `regions[${home}].domains`],
      'rendezvous hash of the workspace over the domains of its home region',
    ),
    allowedRegionIds: copiedList(workspace.residency, `${source}.residency`),
    keyDigests: copiedList(
      workspace.callerKeyDigests,
      `${source}.callerKeyDigests`,
    ),
    fairWeight: copiedOr(
      workspace.fairWeight,
      `${source}.fairWeight`,
      derived(DEFAULT_FAIR_WEIGHT, source, 'no answer: the default weight'),
    ),
    ...(workspace.quota === undefined
      ? {}
      : {quota: traceQuota(workspace.quota, `${source}.quota`)}),
    workloads: workspace.workloads.map((workload, index) =>
      traceWorkload(
        answers,
        workload,
        `${source}.workloads[${index}]`,
        rankOf(workspace, workload, source, index),
      ),
    ),
  };
}

function traceQuota(
  {unit, ratePerS, burst, plainTokens}: QuotaAnswer,
  source: string,
): Traced<QuotaConfig> {
  return {
    unit: copied(unit, `${source}.unit`),
    ratePerS: copied(ratePerS, `${source}.ratePerS`),
    burst: copied(burst, `${source}.burst`),
    plainTokens: copiedOr(
      plainTokens,
      `${source}.plainTokens`,
      derived(0, source, 'no answer: a quota of requests counts no tokens'),
    ),
  };
}

function traceWorkload(
  answers: Answers,
  workload: WorkloadAnswer,
  source: string,
  rankId: Leaf<RankId>,
): Traced<WorkloadConfig> {
  const {model, service} = workload;
  return {
    workloadId: copied(workload.id, `${source}.id`),
    kind: derived<WorkloadConfig['kind']>(
      model === undefined ? 'service' : 'model',
      `${source}.${model === undefined ? 'service' : 'model'}`,
      'a workload that names a service is of kind service, else model',
    ),
    ...(model === undefined ? {} : {modelId: copied(model, `${source}.model`)}),
    ...(service === undefined
      ? {}
      : {serviceName: copied(service, `${source}.service`)}),
    rankId,
    idempotent: copiedOr(
      workload.idempotent,
      `${source}.idempotent`,
      derived(true, source, 'no answer: a model call may be repeated'),
    ),
    deadlineMs: copiedOr(
      workload.deadlineMs,
      `${source}.deadlineMs`,
      defaultDeadline(answers, rankId),
    ),
    maxBodyBytes: copiedOr(
      workload.maxBodyBytes,
      `${source}.maxBodyBytes`,
      derived(DEFAULT_MAX_BODY_BYTES, source, 'no answer: 1 MiB'),
    ),
  };
}

/** The rank of a workspace goes before that of a workload. */
function rankOf(
  workspace: WorkspaceAnswer,
  workload: WorkloadAnswer,
  source: string,
  index: number,
): Leaf<RankId> {
  return workspace.rank === undefined
    ? copied(workload.rank, `${source}.workloads[${index}].rank`)
    : copied(workspace.rank, `${source}.rank`);
}

function defaultDeadline(
  answers: Answers,
  {value: rankId, sources}: Leaf<RankId>,
): ReturnType<typeof derived<number>> {
  const index = answers.ranks.findIndex(({id}) => id === rankId);
  const rank = answers.ranks[index];
  const deadlineMs =
    (rank?.firstTokenTargetMs ?? 0) +
    DEFAULT_ANSWER_TOKENS * (rank?.betweenTokensTargetMs ?? 0);
  return derived(
    deadlineMs,
    [...sources, `ranks[${index}]`],
    `no answer: the rank's first-token target and ${DEFAULT_ANSWER_TOKENS} tokens at its target between tokens`,
  );
}
