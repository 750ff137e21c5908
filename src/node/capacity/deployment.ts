/**
 * Generated deployments on loopback: answers and the settings files of their
 * processes, with chosen numbers of entries, control members, engines and
 * workspaces.
 */
import {createHash} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {stringify} from 'yaml';

const SECRET = 'secret of the measured deployment';
const SERVING_DOMAIN = 'serving-a';
const CONTROL_DOMAIN = 'control-a';
export const OPERATOR = {name: 'operator', key: 'operator-key'};
export const CLUSTER_SECRET = SECRET;

/** What a measured deployment consists of. */
export interface DeploymentOptions {
  /** First of the ports used; a deployment takes up to 200. */
  readonly firstPort: number;
  readonly entries: number;
  /** Votes in the configuration log: odd. */
  readonly controls: number;
  readonly engines: number;
  readonly workspaces: number;
  /** Slots of each engine. */
  readonly slots: number;
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** One daemon of a deployment. */
export interface DaemonFile {
  readonly kind: 'entry' | 'control' | 'standin';
  readonly file: string;
  readonly callerAddress: string;
}

/** The files of a deployment and its answers. */
export interface Deployment {
  readonly answers: unknown;
  readonly entries: readonly DaemonFile[];
  readonly controls: readonly DaemonFile[];
  readonly standin: DaemonFile;
  readonly controlAddresses: readonly string[];
}

export function workspaceKey(index: number): string {
  return `key-of-workspace-${index}`;
}

function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function range<Item>(
  count: number,
  create: (index: number) => Item,
): readonly Item[] {
  return Array.from({length: count}, (_, index) => create(index));
}

type AddressAt = (port: number) => string;

/** Offsets from the first port. */
const PORT = {
  caller: 0,
  inner: 40,
  unusedCaller: 80,
  unusedInner: 90,
  control: 100,
  service: 119,
  engine: 120,
} as const;
/** Entries with a disk; all of them vote in the record log. */
const DISK_ENTRIES = 3;

function instancesOf({entries, controls}: DeploymentOptions, at: AddressAt) {
  return [
    ...range(entries, index => ({
      id: `entry-${index}`,
      domain: SERVING_DOMAIN,
      callerAddress: at(PORT.caller + index),
      innerAddress: at(PORT.inner + index),
      disk: index < DISK_ENTRIES,
    })),
    // Every domain needs an entry; those of the control domain do not run.
    ...range(controls, index => ({
      id: `control-${index}`,
      domain: CONTROL_DOMAIN,
      callerAddress: at(PORT.unusedCaller + index),
      innerAddress: at(PORT.unusedInner + index),
      controlAddress: at(PORT.control + index),
      disk: true,
    })),
  ];
}

function upstreamsOf({engines, slots}: DeploymentOptions, at: AddressAt) {
  return [
    ...range(engines, index => ({
      kind: 'model',
      id: `engine-${index}`,
      domain: SERVING_DOMAIN,
      address: at(PORT.engine + index),
      models: ['chat'],
      slots,
      checksFencing: true,
      costMicros: 900,
    })),
    {
      kind: 'service',
      id: 'booking-worker',
      domain: SERVING_DOMAIN,
      address: at(PORT.service),
      services: [{name: 'booking', slots: 256, costMicros: 50}],
    },
  ];
}

function workspaceOf(index: number) {
  return {
    id: `workspace-${index}`,
    home: 'serving',
    residency: ['serving'],
    callerKeyDigests: [digest(workspaceKey(index))],
    workloads: [
      {id: 'chat', model: 'chat', rank: 'urgent', deadlineMs: 120_000},
      {
        id: 'booking',
        service: 'booking',
        rank: 'urgent',
        idempotent: false,
        deadlineMs: 10_000,
      },
    ],
  };
}

function answersOf(options: DeploymentOptions, at: AddressAt) {
  const {prefillMs, decodeMs, workspaces} = options;
  return {
    deployment: 'measured',
    priority: 'tail_latency',
    regions: [
      {id: 'serving', domains: [SERVING_DOMAIN]},
      {id: 'control', domains: [CONTROL_DOMAIN]},
    ],
    network: {
      betweenRegions: {
        oneWayDelayMs: 55,
        bandwidthBitsPerSecond: 1_500_000_000,
        costMicrosPerMegabyte: 2,
      },
    },
    instances: instancesOf(options, at),
    upstreams: upstreamsOf(options, at),
    models: [{id: 'chat', weightsBytes: 4e9, prefillMs, decodeMs}],
    // Targets so wide that admission refuses nothing.
    ranks: [
      {
        id: 'urgent',
        firstTokenTargetMs: 30_000,
        betweenTokensTargetMs: 5_000,
        floorShare: 0.3,
        revenuePerJobMicros: 60_000,
      },
    ],
    workspaces: range(workspaces, workspaceOf),
    operators: [{name: OPERATOR.name, keyDigest: digest(OPERATOR.key)}],
  };
}

const COMMON = {clusterSecret: SECRET, logLevel: 'silent'};

function entrySettings(
  {entries, controls}: DeploymentOptions,
  index: number,
  at: AddressAt,
) {
  return {
    ...COMMON,
    instanceId: `entry-${index}`,
    domainId: SERVING_DOMAIN,
    regionId: 'serving',
    listen: {
      callerAddress: at(PORT.caller + index),
      innerAddress: at(PORT.inner + index),
    },
    ...(index < DISK_ENTRIES ? {dataFolder: `data-entry-${index}`} : {}),
    seedAddresses: range(entries, other => at(PORT.inner + other)).filter(
      (_, other) => other !== index,
    ),
    controlAddresses: range(controls, other => at(PORT.control + other)),
    stopGraceMs: 0,
  };
}

function controlSettings(
  {controls}: DeploymentOptions,
  index: number,
  at: AddressAt,
) {
  return {
    ...COMMON,
    instanceId: `control-${index}`,
    domainId: CONTROL_DOMAIN,
    listenAddress: at(PORT.control + index),
    dataFolder: `data-control-${index}`,
    initialMembers: range(controls, other => ({
      instanceId: `control-${other}`,
      address: at(PORT.control + other),
    })),
    initialOperator: {name: OPERATOR.name, keyDigest: digest(OPERATOR.key)},
  };
}

function standinSettings(options: DeploymentOptions, at: AddressAt) {
  const {engines, slots, prefillMs, decodeMs} = options;
  return {
    engines: range(engines, index => ({
      upstreamId: `engine-${index}`,
      address: at(PORT.engine + index),
      modelIds: ['chat'],
      slotCount: slots,
      prefillMs,
      decodeMs,
    })),
    services: [
      {
        upstreamId: 'booking-worker',
        address: at(PORT.service),
        serviceName: 'booking',
        workMs: 2,
      },
    ],
  };
}

/** Writes the settings files into `folder`. */
export function writeDeployment(
  folder: string,
  options: DeploymentOptions,
): Deployment {
  const at: AddressAt = port => `127.0.0.1:${options.firstPort + port}`;
  mkdirSync(folder, {recursive: true});
  const write = (
    kind: DaemonFile['kind'],
    name: string,
    settings: unknown,
    callerAddress = '',
  ): DaemonFile => {
    const file = join(folder, `${name}.yaml`);
    writeFileSync(file, stringify(settings));
    return {kind, file, callerAddress};
  };
  return {
    answers: answersOf(options, at),
    entries: range(options.entries, index =>
      write(
        'entry',
        `entry-${index}`,
        entrySettings(options, index, at),
        at(PORT.caller + index),
      ),
    ),
    controls: range(options.controls, index =>
      write('control', `control-${index}`, controlSettings(options, index, at)),
    ),
    standin: write('standin', 'standin', standinSettings(options, at)),
    controlAddresses: range(options.controls, index =>
      at(PORT.control + index),
    ),
  };
}
