import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {matchSnapshot} from '../../__tests__/support/snapshot.js';
import {answersSchema, type Answers, type InstanceAnswer} from '../answers.js';
import {checkAnswers} from '../answers_checks.js';
import {configurationSchema} from '../configuration.js';
import {diff, formatDiff} from '../diff.js';
import {explain} from '../explain.js';
import {generate} from '../generate.js';
import {recordWeights} from '../generate_members.js';
import {playgroundAnswers} from './playground.js';

const SEED = 20_261_204;

test('the playgrounds generate the expected configurations', () => {
  const trazo = generate(playgroundAnswers('trazo'));
  const zsaner = generate(playgroundAnswers('zsaner'));
  matchSnapshot(import.meta.url, 'trazo', trazo);
  matchSnapshot(import.meta.url, 'zsaner', zsaner);
});

// Guards against a quota that the answers have and no entry hears of.
test('a quota of the answers is in the configuration, and its values explained', () => {
  const answers = playgroundAnswers('trazo');
  const quotas = [
    {unit: 'requests', ratePerS: 5, burst: 9},
    {unit: 'tokens', ratePerS: 500.5, burst: 0, plainTokens: 40},
  ] as const;
  const limited: Answers = {
    ...answers,
    workspaces: answers.workspaces.map((each, index) => {
      const quota = quotas[index];
      return quota === undefined ? each : {...each, quota};
    }),
  };
  const {workspaces} = configurationSchema.parse(generate(limited));
  assert.deepEqual(
    workspaces.slice(0, 3).map(({quota}) => quota),
    [{...quotas[0], plainTokens: 0}, quotas[1], undefined],
  );
  assert.deepEqual(
    explain(limited, 'workspaces[0].quota').map(({path, value, sources}) => [
      path,
      value,
      sources[0],
    ]),
    [
      ['unit', 'requests', 'workspaces[0].quota.unit'],
      ['ratePerS', 5, 'workspaces[0].quota.ratePerS'],
      ['burst', 9, 'workspaces[0].quota.burst'],
      ['plainTokens', 0, 'workspaces[0].quota'],
    ].map(([name, ...others]) => [`workspaces[0].quota.${name}`, ...others]),
  );
});

/** Answers with random regions, domains and instances. */
const randomAnswers: fc.Arbitrary<Answers> = fc
  .array(
    fc.array(fc.array(fc.boolean(), {minLength: 1, maxLength: 5}), {
      minLength: 1,
      maxLength: 3,
    }),
    {minLength: 1, maxLength: 4},
  )
  .map(regions => {
    const base = playgroundAnswers('trazo');
    const domains = regions.flatMap((lists, region) =>
      lists.map((disks, domain) => ({id: `r${region}-${domain}`, disks})),
    );
    const instances = domains.flatMap(({id, disks}, domain) =>
      disks.map((disk, index) => {
        const port = (kind: number): string =>
          `127.0.0.1:${2000 + domain * 100 + index * 10 + kind}`;
        return {
          id: `${id}-${index}`,
          domain: id,
          callerAddress: port(1),
          innerAddress: port(2),
          ...(disk ? {controlAddress: port(3)} : {}),
          disk,
        };
      }),
    );
    return answersSchema.parse({
      ...base,
      regions: regions.map((lists, region) => ({
        id: `r${region}`,
        domains: lists.map((_, domain) => `r${region}-${domain}`),
      })),
      instances,
      upstreams: base.upstreams.map((upstream, index) => ({
        ...upstream,
        domain: domains[index % domains.length]?.id,
      })),
      workspaces: base.workspaces.map(workspace => ({
        ...workspace,
        home: 'r0',
        residency: ['r0'],
        workloads: workspace.workloads.filter(({model}) => model),
      })),
    });
  })
  .filter(answers => checkAnswers(answers).length === 0);

function leafPaths(value: unknown, path = ''): string[] {
  if (typeof value !== 'object' || value === null) return [path];
  const entries = Object.entries(value);
  if (entries.length === 0) return Array.isArray(value) ? [path] : [];
  return entries.flatMap(([key, item]) => {
    if (Array.isArray(value)) return leafPaths(item, `${path}[${key}]`);
    return leafPaths(item, path === '' ? key : `${path}.${key}`);
  });
}

// Guards against two control members that generate different configurations,
// and against a generated value whose origin an operator cannot see.
test('generation is deterministic, valid and fully explained', () => {
  fc.assert(
    fc.property(randomAnswers, answers => {
      const configuration = generate(answers);
      const copy = JSON.parse(JSON.stringify(answers)) as Answers;
      assert.deepEqual(generate(copy), configuration);
      assert.deepEqual(configurationSchema.parse(configuration), configuration);
      const explained = explain(answers);
      const paths = explained.map(({path}) => path);
      assert.deepEqual(paths.sort(), leafPaths(configuration).sort());
      assert.ok(explained.every(({rule}) => rule !== ''));
    }),
    {seed: SEED, numRuns: 60},
  );
});

// Guards against a configuration log that one domain could stop although the
// answers offer disks elsewhere, and against an even number of members.
test('control members are odd in number and spread over domains', () => {
  fc.assert(
    fc.property(randomAnswers, answers => {
      const {controlMembers} = generate(answers);
      const candidates = answers.instances.filter(({disk}) => disk);
      const count = controlMembers.length;
      assert.equal(count % 2, 1);
      assert.ok(count <= 7 && count >= Math.min(7, candidates.length - 1));
      const perDomain = new Map<string, number>();
      controlMembers.forEach(({domainId}) =>
        perDomain.set(domainId, (perDomain.get(domainId) ?? 0) + 1),
      );
      const most = Math.max(...perDomain.values());
      const spare = candidates.filter(
        ({id, domain}) =>
          controlMembers.every(({instanceId}) => instanceId !== id) &&
          (perDomain.get(domain) ?? 0) < most - 1,
      );
      assert.deepEqual(spare, []);
    }),
    {seed: SEED, numRuns: 60},
  );
});

// Guards against a quorum without a disk, which could forget a booking.
test('every quorum of record votes holds a disk if there is one', () => {
  Array.from({length: 6}, (_, disks) => disks).forEach(disks => {
    Array.from({length: 6}, (_, diskless) => diskless).forEach(diskless => {
      const instances = Array.from({length: disks + diskless}, (_, index) => ({
        id: `i-${index}`,
        disk: index < disks,
      })) as unknown as InstanceAnswer[];
      const weights = recordWeights(instances);
      const total = [...weights.values()].reduce((sum, it) => sum + it, 0);
      const onDisk = instances
        .filter(({disk}) => disk)
        .reduce((sum, {id}) => sum + (weights.get(id) ?? 0), 0);
      const voters = [...weights.values()].filter(it => it > 0).length;
      assert.ok(voters <= 5);
      assert.equal(voters > 0, instances.length > 0);
      if (disks > 0) assert.ok(total - onDisk <= total / 2);
    });
  });
});

// Guards against calls of a workspace that keep the rank of their workload, or are
// given its deadline, although their workspace has a rank.
test('the rank of a workspace goes before those of its workloads', () => {
  const answers = playgroundAnswers('trazo');
  const [most, ...others] = answers.ranks.map(({id}) => id);
  const least = others.at(-1) ?? most;
  assert.ok(least !== undefined);
  const ranksOf = (workspaces: Answers['workspaces']) =>
    generate({...answers, workspaces}).workspaces.map(({workloads}) =>
      workloads.map(({rankId}) => rankId),
    );
  const ranked = answers.workspaces.map((workspace, index) =>
    index === 0 ? {...workspace, rank: least} : workspace,
  );
  const [first = [], ...rest] = ranksOf(answers.workspaces);
  assert.ok(first.some(rank => rank !== least));
  assert.deepEqual(ranksOf(ranked), [first.map(() => least), ...rest]);
});

// Guards against a change that an operator accepts without seeing it.
test('the difference names items by id', () => {
  const answers = playgroundAnswers('trazo');
  const changed: Answers = {
    ...answers,
    priority: 'cost',
    instances: answers.instances.slice(0, -1),
    workspaces: answers.workspaces.map((workspace, index) =>
      index === 1 ? {...workspace, fairWeight: 3} : workspace,
    ),
  };
  const changes = diff(generate(answers), generate(changed));
  matchSnapshot(import.meta.url, 'difference', formatDiff(changes));
  assert.deepEqual(diff(generate(answers), generate(answers)), []);
});
