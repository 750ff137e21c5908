/**
 * Answers to configuration. Pure and deterministic: equal answers give equal
 * configurations on every instance.
 */
import type {DomainId, RegionId, UpstreamId} from '../types/ids.js';
import type {Answers, InstanceAnswer} from './answers.js';
import type {
  Configuration,
  ControlMemberConfig,
  InstanceConfig,
  LinkConfig,
  UpstreamConfig,
} from './configuration.js';
import {chooseControlMembers, recordWeights} from './generate_members.js';
import {tracePolicy} from './generate_policy.js';
import {traceWorkspaces} from './generate_workspaces.js';
import {copied, copiedList, derived, plain, type Traced} from './traced.js';

/** Generates the configuration of valid answers. */
export function generate(answers: Answers): Configuration {
  return plain<Configuration>(traceConfiguration(answers));
}

/** Generates the configuration with the origin of every value. */
export function traceConfiguration(answers: Answers): Traced<Configuration> {
  return {
    deployment: copied(answers.deployment, 'deployment'),
    regions: answers.regions.map((region, index) => ({
      regionId: copied(region.id, `regions[${index}].id`),
      domainIds: copiedList(region.domains, `regions[${index}].domains`),
    })),
    instances: traceInstances(answers),
    controlMembers: traceControlMembers(answers),
    upstreams: traceUpstreams(answers),
    models: answers.models.map((model, index) => ({
      modelId: copied(model.id, `models[${index}].id`),
      weightsBytes: copied(model.weightsBytes, `models[${index}].weightsBytes`),
      prefillMs: copied(model.prefillMs, `models[${index}].prefillMs`),
      decodeMs: copied(model.decodeMs, `models[${index}].decodeMs`),
    })),
    ranks: traceRanks(answers),
    workspaces: traceWorkspaces(answers),
    links: traceLinks(answers),
    operators: answers.operators.map((operator, index) => ({
      name: copied(operator.name, `operators[${index}].name`),
      keyDigest: copied(operator.keyDigest, `operators[${index}].keyDigest`),
    })),
    policy: tracePolicy(answers),
  };
}

function traceRegionOf(
  answers: Answers,
  domain: DomainId,
  source: string,
): Traced<RegionId> {
  const index = answers.regions.findIndex(({domains}) =>
    domains.includes(domain),
  );
  return derived(
    answers.regions[index]?.id as RegionId,
    [source, `regions[${index}].id`],
    'the region that lists the domain',
  );
}

function traceInstances(answers: Answers): readonly Traced<InstanceConfig>[] {
  return answers.instances.flatMap((instance, index) => {
    const {callerAddress, innerAddress} = instance;
    if (callerAddress === undefined || innerAddress === undefined) return [];
    const source = `instances[${index}]`;
    return [
      {
        instanceId: copied(instance.id, `${source}.id`),
        domainId: copied(instance.domain, `${source}.domain`),
        regionId: traceRegionOf(answers, instance.domain, `${source}.domain`),
        callerAddress: copied(callerAddress, `${source}.callerAddress`),
        innerAddress: copied(innerAddress, `${source}.innerAddress`),
        hasDisk: copied(instance.disk, `${source}.disk`),
        recordWeight: traceRecordWeight(answers, instance, source),
      },
    ];
  });
}

function traceRecordWeight(
  answers: Answers,
  instance: InstanceAnswer,
  source: string,
): Traced<number> {
  const neighbours = answers.instances
    .filter(({domain}) => domain === instance.domain)
    .filter(({innerAddress}) => innerAddress !== undefined);
  const diskCount = neighbours.filter(({disk}) => disk).length;
  return derived(
    recordWeights(neighbours).get(instance.id) ?? 0,
    [`${source}.domain`, `${source}.disk`],
    `votes in the record log of ${instance.domain}, which has ${diskCount} disk instances: every quorum holds a disk if there is one`,
  );
}

function traceControlMembers(
  answers: Answers,
): readonly Traced<ControlMemberConfig>[] {
  const rule =
    'disk instances with a control address, in turn from each domain, an odd number up to 7';
  return chooseControlMembers(answers).map(instance => {
    const source = `instances[${answers.instances.indexOf(instance)}]`;
    return {
      instanceId: derived(instance.id, [source, 'instances'], rule),
      domainId: copied(instance.domain, `${source}.domain`),
      innerAddress: copied(
        instance.controlAddress as string,
        `${source}.controlAddress`,
      ),
    };
  });
}

function traceUpstreams(answers: Answers): readonly Traced<UpstreamConfig>[] {
  return answers.upstreams.flatMap<Traced<UpstreamConfig>>(
    (upstream, index) => {
      const source = `upstreams[${index}]`;
      const place = {
        domainId: copied(upstream.domain, `${source}.domain`),
        regionId: traceRegionOf(answers, upstream.domain, `${source}.domain`),
        kind: copied(upstream.kind, `${source}.kind`),
        address: copied(upstream.address, `${source}.address`),
      };
      if (upstream.kind === 'model') {
        return [
          {
            upstreamId: copied(upstream.id, `${source}.id`),
            ...place,
            modelIds: copiedList(upstream.models, `${source}.models`),
            slotCount: copied(upstream.slots, `${source}.slots`),
            checksFencing: copied(
              upstream.checksFencing,
              `${source}.checksFencing`,
            ),
            costMicros: copied(upstream.costMicros, `${source}.costMicros`),
          },
        ];
      }
      return upstream.services.map((service, position) => {
        const at = `${source}.services[${position}]`;
        return {
          upstreamId: derived(
            `${upstream.id}.${service.name}` as UpstreamId,
            [`${source}.id`, `${at}.name`],
            'one upstream per service of a worker: worker.service',
          ),
          ...place,
          modelIds: derived([], `${source}.kind`, 'a service runs no models'),
          serviceName: copied(service.name, `${at}.name`),
          slotCount: copied(service.slots, `${at}.slots`),
          checksFencing: derived(
            false,
            `${source}.kind`,
            'a service receives no orders',
          ),
          costMicros: copied(service.costMicros, `${at}.costMicros`),
        };
      });
    },
  );
}

function traceRanks(answers: Answers): Traced<Configuration['ranks']> {
  return answers.ranks.map((rank, index) => {
    const source = `ranks[${index}]`;
    return {
      rankId: copied(rank.id, `${source}.id`),
      priority: derived(
        index,
        'ranks',
        'position in the list, which starts with the most urgent rank',
      ),
      firstTokenTargetMs: copied(
        rank.firstTokenTargetMs,
        `${source}.firstTokenTargetMs`,
      ),
      betweenTokensTargetMs: copied(
        rank.betweenTokensTargetMs,
        `${source}.betweenTokensTargetMs`,
      ),
      floorShare: copied(rank.floorShare, `${source}.floorShare`),
      revenuePerJobMicros: copied(
        rank.revenuePerJobMicros,
        `${source}.revenuePerJobMicros`,
      ),
    };
  });
}

function traceLinks(answers: Answers): readonly Traced<LinkConfig>[] {
  const exceptions = answers.network.exceptions ?? [];
  return answers.regions.flatMap((from, fromIndex) =>
    answers.regions.slice(fromIndex + 1).map((to, offset) => {
      const index = exceptions.findIndex(
        ({between}) => between.includes(from.id) && between.includes(to.id),
      );
      const source =
        index < 0 ? 'network.betweenRegions' : `network.exceptions[${index}]`;
      const distance = exceptions[index] ?? answers.network.betweenRegions;
      const rule = 'a link between every two regions';
      return {
        fromRegionId: derived(from.id, `regions[${fromIndex}].id`, rule),
        toRegionId: derived(
          to.id,
          `regions[${fromIndex + 1 + offset}].id`,
          rule,
        ),
        oneWayDelayMs: copied(
          distance.oneWayDelayMs,
          `${source}.oneWayDelayMs`,
        ),
        bandwidthBitsPerSecond: copied(
          distance.bandwidthBitsPerSecond,
          `${source}.bandwidthBitsPerSecond`,
        ),
        costMicrosPerMegabyte: copied(
          distance.costMicrosPerMegabyte,
          `${source}.costMicrosPerMegabyte`,
        ),
      };
    }),
  );
}
