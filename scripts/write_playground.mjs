// Writes the daemons' settings files of a playground deployment from its
// answers: node scripts/write_playground.mjs trazo
import {mkdirSync, rmSync, writeFileSync} from 'node:fs';
import {stringify} from 'yaml';
import {createHash} from 'node:crypto';
import {readAnswers} from '../dist/node/config/answers.js';
import {generate} from '../dist/node/config/generate.js';

const SECRET_BY_DEPLOYMENT = name => `${name}-playground-secret`;
const FIRST_OPERATOR = 'first';

const deployment = process.argv[2];
const folder = `playground/${deployment}`;
const answers = readAnswers(`${folder}/answers.yaml`);
if (answers.isErr()) {
  console.error(answers.error);
  process.exit(2);
}
const configuration = generate(answers.value);
const secret = SECRET_BY_DEPLOYMENT(deployment);
const controlAddresses = configuration.controlMembers.map(
  member => member.innerAddress,
);
const platformPort =
  Number(configuration.upstreams[0].address.split(':')[1]) + 90;
const platformAddress = `127.0.0.1:${platformPort}`;

const write = (name, value) =>
  writeFileSync(
    `${folder}/settings/${name}.yaml`,
    `# Written by scripts/write_playground.mjs from ../answers.yaml.\n${stringify(value)}`,
  );

rmSync(`${folder}/settings`, {recursive: true, force: true});
mkdirSync(`${folder}/settings`, {recursive: true});

configuration.instances.forEach(instance =>
  write(`entry-${instance.instanceId}`, {
    instanceId: instance.instanceId,
    domainId: instance.domainId,
    regionId: instance.regionId,
    listen: {
      callerAddress: instance.callerAddress,
      innerAddress: instance.innerAddress,
    },
    ...(instance.hasDisk
      ? {dataFolder: `../data/entry-${instance.instanceId}`}
      : {}),
    clusterSecret: secret,
    seedAddresses: configuration.instances
      .filter(other => other.domainId === instance.domainId)
      .filter(other => other.instanceId !== instance.instanceId)
      .map(other => other.innerAddress),
    controlAddresses,
    platformAddress,
  }),
);

const operator = configuration.operators[0]?.name ?? FIRST_OPERATOR;
const operatorKey = `${deployment}-${operator}-key`;
const keyDigest = createHash('sha256').update(operatorKey).digest('hex');
configuration.controlMembers.forEach(member =>
  write(`control-${member.instanceId}`, {
    instanceId: member.instanceId,
    domainId: member.domainId,
    listenAddress: member.innerAddress,
    dataFolder: `../data/control-${member.instanceId}`,
    clusterSecret: secret,
    initialMembers: configuration.controlMembers.map(each => ({
      instanceId: each.instanceId,
      address: each.innerAddress,
    })),
    initialOperator: {name: operator, keyDigest},
  }),
);

write('operator', {
  operator,
  operatorKey,
  clusterSecret: secret,
  controlAddresses,
});

write('standin', {
  engines: configuration.upstreams
    .filter(upstream => upstream.kind === 'model')
    .map(({upstreamId, address, modelIds, slotCount, checksFencing}) => ({
      upstreamId,
      address,
      modelIds,
      slotCount,
      checksFencing,
    })),
  services: configuration.upstreams
    .filter(upstream => upstream.kind === 'service')
    .map(({upstreamId, address, serviceName}) => ({
      upstreamId,
      address,
      serviceName,
    })),
  platform: {address: platformAddress, lagMs: 3_000},
});
