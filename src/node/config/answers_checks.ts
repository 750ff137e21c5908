/** Checks that compare answers with each other: references, ids, sums. */
import type {Answers, WorkloadAnswer, WorkspaceAnswer} from './answers.js';
import type {ValuePath, ValueProblem} from './source_text.js';

interface Named {
  readonly name: string;
  readonly path: ValuePath;
}

/** All problems between answers whose shapes are valid. */
export function checkAnswers(answers: Answers): readonly ValueProblem[] {
  return [
    ...checkUniqueness(answers),
    ...checkNetwork(answers),
    ...checkInstances(answers),
    ...checkUpstreams(answers),
    ...checkRanks(answers),
    ...answers.workspaces.flatMap((workspace, index) =>
      checkWorkspace(answers, workspace, ['workspaces', index]),
    ),
  ];
}

function duplicates(what: string, names: readonly Named[]): ValueProblem[] {
  const seen = new Set<string>();
  return names.flatMap(({name, path}) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [{path, message: `${what} ${name} is used twice`}];
  });
}

function unknown(
  what: string,
  known: readonly string[],
  names: readonly Named[],
): ValueProblem[] {
  return names
    .filter(({name}) => !known.includes(name))
    .map(({name, path}) => ({path, message: `${what} ${name} does not exist`}));
}

function idsOf(list: string, items: readonly {readonly id: string}[]): Named[] {
  return items.map(({id}, index) => ({name: id, path: [list, index, 'id']}));
}

function domainsOf(answers: Answers): Named[] {
  return answers.regions.flatMap((region, index) =>
    region.domains.map((name, position) => ({
      name,
      path: ['regions', index, 'domains', position],
    })),
  );
}

function addressesOf(answers: Answers): Named[] {
  const keys = ['callerAddress', 'innerAddress', 'controlAddress'] as const;
  return [
    ...answers.instances.flatMap((instance, index) =>
      keys.flatMap(key => {
        const name = instance[key];
        return name === undefined
          ? []
          : [{name, path: ['instances', index, key]}];
      }),
    ),
    ...answers.upstreams.map(({address}, index) => ({
      name: address,
      path: ['upstreams', index, 'address'],
    })),
  ];
}

function checkUniqueness(answers: Answers): ValueProblem[] {
  return [
    ...duplicates('region', idsOf('regions', answers.regions)),
    ...duplicates('domain', domainsOf(answers)),
    ...duplicates('instance', idsOf('instances', answers.instances)),
    ...duplicates('upstream', idsOf('upstreams', answers.upstreams)),
    ...duplicates('model', idsOf('models', answers.models)),
    ...duplicates('rank', idsOf('ranks', answers.ranks)),
    ...duplicates('workspace', idsOf('workspaces', answers.workspaces)),
    ...duplicates('address', addressesOf(answers)),
    ...duplicates(
      'operator',
      answers.operators.map(({name}, index) => ({
        name,
        path: ['operators', index, 'name'],
      })),
    ),
    // A key identifies one workspace, so no two workspaces share it.
    ...duplicates(
      'key digest',
      answers.workspaces.flatMap((workspace, index) =>
        workspace.callerKeyDigests.map((name, position) => ({
          name,
          path: ['workspaces', index, 'callerKeyDigests', position],
        })),
      ),
    ),
  ];
}

function checkNetwork(answers: Answers): ValueProblem[] {
  const exceptions = answers.network.exceptions ?? [];
  const pairs = exceptions.map(({between}, index) => ({
    name: [...between].sort().join(' - '),
    path: ['network', 'exceptions', index, 'between'],
  }));
  const regions = answers.regions.map(({id}) => id);
  const selfPairs = exceptions.flatMap(({between: [from, to]}, index) =>
    from === to
      ? [{path: pairs[index]?.path ?? [], message: 'names one region twice'}]
      : [],
  );
  return [
    ...selfPairs,
    ...duplicates('pair', pairs),
    ...exceptions.flatMap(({between}, index) =>
      unknown(
        'region',
        regions,
        between.map((name, position) => ({
          name,
          path: ['network', 'exceptions', index, 'between', position],
        })),
      ),
    ),
  ];
}

function checkInstances(answers: Answers): ValueProblem[] {
  const domains = domainsOf(answers);
  const names = domains.map(({name}) => name);
  const perInstance = answers.instances.flatMap((instance, index) => {
    const path: ValuePath = ['instances', index];
    const problems = unknown('domain', names, [
      {name: instance.domain, path: [...path, 'domain']},
    ]);
    const {callerAddress, innerAddress, controlAddress} = instance;
    if ((callerAddress === undefined) !== (innerAddress === undefined)) {
      const message = 'callerAddress and innerAddress are given together';
      problems.push({path, message});
    }
    if (innerAddress === undefined && controlAddress === undefined) {
      problems.push({path, message: 'an instance needs an address'});
    }
    if (controlAddress !== undefined && !instance.disk) {
      problems.push({
        path: [...path, 'controlAddress'],
        message: 'the configuration log needs a disk',
      });
    }
    return problems;
  });
  const withEntry = answers.instances
    .filter(({innerAddress}) => innerAddress !== undefined)
    .map(({domain}) => domain as string);
  const withoutEntry = domains
    .filter(({name}) => !withEntry.includes(name))
    .map(({name, path}) => ({
      path,
      message: `domain ${name} has no entry instance`,
    }));
  const hasControl = answers.instances.some(
    ({controlAddress}) => controlAddress !== undefined,
  );
  const control = hasControl
    ? []
    : [{path: ['instances'], message: 'no instance has a controlAddress'}];
  return [...perInstance, ...withoutEntry, ...control];
}

function checkUpstreams(answers: Answers): ValueProblem[] {
  const domains = domainsOf(answers).map(({name}) => name);
  const models = answers.models.map(({id}) => id);
  return answers.upstreams.flatMap((upstream, index) => {
    const path: ValuePath = ['upstreams', index];
    const placed = unknown('domain', domains, [
      {name: upstream.domain, path: [...path, 'domain']},
    ]);
    if (upstream.kind === 'service') {
      const names = upstream.services.map(({name}, position) => ({
        name,
        path: [...path, 'services', position, 'name'],
      }));
      return [...placed, ...duplicates('service', names)];
    }
    const names = upstream.models.map((name, position) => ({
      name,
      path: [...path, 'models', position],
    }));
    return [
      ...placed,
      ...unknown('model', models, names),
      ...duplicates('model', names),
    ];
  });
}

// Shares are decimal fractions; their sum may miss 1 by a rounding error.
const SHARE_TOLERANCE = 1e-9;

function checkRanks(answers: Answers): ValueProblem[] {
  const sum = answers.ranks.reduce((total, rank) => total + rank.floorShare, 0);
  return sum <= 1 + SHARE_TOLERANCE
    ? []
    : [{path: ['ranks'], message: `the floor shares sum to ${sum}, above 1`}];
}

function checkWorkspace(
  answers: Answers,
  workspace: WorkspaceAnswer,
  path: ValuePath,
): ValueProblem[] {
  const regions = answers.regions.map(({id}) => id);
  const residency = workspace.residency.map((name, position) => ({
    name,
    path: [...path, 'residency', position],
  }));
  const homeIsAllowed = workspace.residency.includes(workspace.home);
  return [
    ...unknown('region', regions, [
      {name: workspace.home, path: [...path, 'home']},
    ]),
    ...unknown('region', regions, residency),
    ...unknown(
      'rank',
      answers.ranks.map(({id}) => id),
      workspace.rank === undefined
        ? []
        : [{name: workspace.rank, path: [...path, 'rank']}],
    ),
    ...duplicates('region', residency),
    ...checkQuota(workspace, path),
    ...(homeIsAllowed
      ? []
      : [
          {
            path: [...path, 'residency'],
            message: `does not include the home region ${workspace.home}`,
          },
        ]),
    ...duplicates(
      'workload',
      workspace.workloads.map(({id}, position) => ({
        name: id,
        path: [...path, 'workloads', position, 'id'],
      })),
    ),
    ...workspace.workloads.flatMap((workload, position) =>
      checkWorkload(answers, workspace, workload, [
        ...path,
        'workloads',
        position,
      ]),
    ),
  ];
}

// Calls to services would be free of a quota that counts tokens only.
function checkQuota({quota}: WorkspaceAnswer, path: ValuePath): ValueProblem[] {
  return quota?.unit === 'tokens' && quota.plainTokens === undefined
    ? [
        {
          path: [...path, 'quota'],
          message: 'a quota of tokens needs plainTokens',
        },
      ]
    : [];
}

function checkWorkload(
  answers: Answers,
  workspace: WorkspaceAnswer,
  workload: WorkloadAnswer,
  path: ValuePath,
): ValueProblem[] {
  const ranks = answers.ranks.map(({id}) => id);
  const rank = unknown('rank', ranks, [
    {name: workload.rank, path: [...path, 'rank']},
  ]);
  if ((workload.model === undefined) === (workload.service === undefined)) {
    const message = 'a workload names either a model or a service';
    return [...rank, {path, message}];
  }
  const target =
    workload.service === undefined
      ? checkModelWorkload(answers, workspace, workload, path)
      : checkServiceWorkload(answers, workspace, workload, path);
  return [...rank, ...target];
}

function regionOf(answers: Answers, domain: string): string | undefined {
  return answers.regions.find(region =>
    (region.domains as readonly string[]).includes(domain),
  )?.id;
}

function checkModelWorkload(
  answers: Answers,
  workspace: WorkspaceAnswer,
  workload: WorkloadAnswer,
  path: ValuePath,
): ValueProblem[] {
  const model = workload.model as NonNullable<WorkloadAnswer['model']>;
  const at = [...path, 'model'];
  const known = answers.models.map(({id}) => id);
  const missing = unknown('model', known, [{name: model, path: at}]);
  if (missing.length > 0) return missing;
  const allowed: readonly string[] = workspace.residency;
  const isOffered = answers.upstreams.some(
    upstream =>
      upstream.kind === 'model' &&
      upstream.models.includes(model) &&
      allowed.includes(regionOf(answers, upstream.domain) ?? ''),
  );
  return isOffered
    ? []
    : [
        {
          path: at,
          message: `no upstream in ${allowed.join(', ')} runs model ${model}`,
        },
      ];
}

// Records of non-idempotent calls are kept at home, so that a cut-off home
// region can serve a service only with an upstream of its own.
function checkServiceWorkload(
  answers: Answers,
  workspace: WorkspaceAnswer,
  workload: WorkloadAnswer,
  path: ValuePath,
): ValueProblem[] {
  const isOffered = answers.upstreams.some(
    upstream =>
      upstream.kind === 'service' &&
      upstream.services.some(({name}) => name === workload.service) &&
      regionOf(answers, upstream.domain) === workspace.home,
  );
  const offered = isOffered
    ? []
    : [
        {
          path: [...path, 'service'],
          message: `no upstream in the home region ${workspace.home} offers service ${workload.service}`,
        },
      ];
  const stated =
    workload.idempotent === undefined
      ? [{path, message: 'a service workload states whether it is idempotent'}]
      : [];
  return [...offered, ...stated];
}
