/** `status`, `upstreams`, `drain` and `measures`: the running system. */
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration, InstanceConfig} from '../config/configuration.js';
import type {ControlStatus} from '../control/methods.js';
import {countOption, requiredArgument, type Command} from './command.js';
import {
  entryDrainSchema,
  entryMeasuresSchema,
  entryStatusSchema,
  entryUpstreamsSchema,
  type EntryDrain,
  type EntryUpstreams,
} from './entry_methods.js';
import {CommandFailure, EXIT_FAILURE, usageFailure} from './failures.js';
import {askEntries, askEntry, readAccepted} from './fleet_queries.js';
import {formatMeasures, summarizeMeasures} from './measures.js';
import type {Session} from './session.js';
import {formatTable} from './table.js';

const CONTROL_TIMEOUT_MS = 2_000;
const DRAIN_POLL_MS = 500;
const DEFAULT_DRAIN_MS = 120_000;

interface ControlAnswer {
  readonly address: string;
  readonly value?: ControlStatus;
  readonly error?: string;
}

async function askControlMembers(
  session: Session,
): Promise<readonly ControlAnswer[]> {
  const asked = session.control.addresses.map(async address => {
    const status = await session.rpc.call<ControlStatus>(
      address,
      'control.status',
      {},
      CONTROL_TIMEOUT_MS,
    );
    return status.match<ControlAnswer>(
      value => ({address, value}),
      error => ({address, error: `${error.code}: ${error.message}`}),
    );
  });
  return Promise.all(asked);
}

const status: Command = {
  usage: 'status',
  description: 'Show the control members and the entries',
  run: async session => {
    const control = await askControlMembers(session);
    const {configuration, version} = await readAccepted(session, {local: true});
    const entries = await askEntries(
      session,
      configuration.instances,
      'entry.status',
      entryStatusSchema,
    );
    const differences = controlDifferences(configuration, control);
    session.print({version, control, entries, differences}, [
      ...formatControl(control),
      ...differences,
      '',
      ...formatTable(
        [
          'entry',
          'domain',
          'state',
          'version',
          'in flight',
          'queued',
          'records',
          'links down',
          'error',
        ],
        entries.map(({instance, value, error}) => [
          instance.instanceId,
          instance.domainId,
          value?.state,
          value?.configVersion,
          value?.inFlightCount,
          value?.queuedCount,
          value?.recordRole,
          value?.links
            ?.filter(link => link.state === 'down')
            .map(({domainId}) => domainId)
            .join(' ') || undefined,
          error,
        ]),
      ),
    ]);
  },
};

function formatControl(control: readonly ControlAnswer[]): readonly string[] {
  return formatTable(
    ['control member', 'address', 'role', 'term', 'version', 'commit', 'error'],
    control.map(({address, value, error}) => [
      value?.memberId,
      address,
      value?.role,
      value?.term,
      value?.version,
      value?.commitIndex,
      error,
    ]),
  );
}

// Accepting answers does not change who votes; `member add` and `member
// remove` do. The operator sees here what is still to be done.
function controlDifferences(
  configuration: Configuration,
  control: readonly ControlAnswer[],
): readonly string[] {
  const leader = control.find(({value}) => value?.role === 'leader');
  if (leader?.value === undefined) return ['no control member leads'];
  const voters = leader.value.members.filter(({weight}) => weight > 0);
  const voting = voters.map(({address}) => address);
  const {controlMembers} = configuration;
  const chosen = controlMembers.map(({innerAddress}) => innerAddress);
  return [
    ...controlMembers
      .filter(({innerAddress}) => !voting.includes(innerAddress))
      .map(
        ({instanceId, innerAddress}) =>
          `${instanceId} is to hold the configuration log: member add ${innerAddress}`,
      ),
    ...voters
      .filter(({address}) => !chosen.includes(address))
      .map(
        ({memberId}) =>
          `${memberId} is no longer to hold the configuration log: member remove '${memberId}'`,
      ),
  ];
}

type UpstreamState = EntryUpstreams['upstreams'][number];

// Entries of one domain share what they know, so the first that answers is
// enough.
async function askDomain(
  session: Session,
  instances: readonly InstanceConfig[],
): Promise<readonly UpstreamState[]> {
  for (const instance of instances) {
    const answer = await askEntry(
      session,
      instance,
      'entry.upstreams',
      entryUpstreamsSchema,
    );
    if (answer.value !== undefined) return answer.value.upstreams;
    session.note(`${instance.instanceId}: ${answer.error ?? ''}`);
  }
  return [];
}

const upstreams: Command = {
  usage: 'upstreams',
  description: 'Show the upstreams as their domains see them',
  run: async session => {
    const {configuration} = await readAccepted(session, {local: true});
    const domains = configuration.regions.flatMap(({domainIds}) => domainIds);
    const answers = await Promise.all(
      domains.map(domain =>
        askDomain(
          session,
          configuration.instances.filter(({domainId}) => domainId === domain),
        ),
      ),
    );
    const known = new Map(
      answers.flat().map(state => [state.upstreamId, state]),
    );
    const rows = configuration.upstreams.map(upstream => ({
      ...upstream,
      status: known.get(upstream.upstreamId),
    }));
    session.print(
      rows,
      formatTable(
        [
          'upstream',
          'domain',
          'offers',
          'state',
          'in flight',
          'slots',
          'loaded',
          'report age ms',
        ],
        rows.map(row => [
          row.upstreamId,
          row.domainId,
          row.serviceName ?? row.modelIds.join(' '),
          row.status?.state,
          row.status?.inFlightCount,
          row.slotCount,
          row.status?.loadedModelIds.join(' ') || undefined,
          row.status?.reportAgeMs,
        ]),
      ),
    );
  },
};

function findInstance(
  configuration: Configuration,
  name: string,
): InstanceConfig {
  const found = configuration.instances.find(
    ({instanceId}) => (instanceId as string) === name,
  );
  if (found !== undefined) return found;
  throw usageFailure(`there is no entry instance ${name}`);
}

async function drainOnce(
  session: Session,
  instance: InstanceConfig,
): Promise<EntryDrain | string> {
  const {operator, operatorKey} = session.settings;
  const answer = await askEntry(
    session,
    instance,
    'entry.drain',
    entryDrainSchema,
    {operator, operatorKey},
  );
  return answer.value ?? answer.error ?? '';
}

const drain: Command = {
  usage: 'drain [instance]',
  description: 'Stop an entry instance after its requests in flight',
  options: [
    ['--wait', 'Wait until nothing is in flight'],
    ['--timeout-ms', `Longest wait; default ${DEFAULT_DRAIN_MS}`],
  ],
  examples: ['drain centro-2 --wait'],
  run: async (session, [argument], options) => {
    const name = requiredArgument(argument, 'instance');
    const timeoutMs = countOption(options, 'timeout-ms', 1) ?? DEFAULT_DRAIN_MS;
    const {configuration} = await readAccepted(session, {local: true});
    const instance = findInstance(configuration, name);
    const first = await drainOnce(session, instance);
    if (typeof first === 'string') {
      throw new CommandFailure(EXIT_FAILURE, `${name}: ${first}`);
    }
    const isWaiting = options['wait'] === true;
    const last = isWaiting
      ? await waitForDrain(session, instance, first, timeoutMs)
      : first;
    session.print(last, [
      `${name} is ${last.state}, ${last.inFlightCount} requests in flight`,
    ]);
  },
};

async function waitForDrain(
  session: Session,
  instance: InstanceConfig,
  first: EntryDrain,
  timeoutMs: number,
): Promise<EntryDrain> {
  const deadlineMs = monotonicNowMs() + timeoutMs;
  let last = first;
  let shownCount: number | undefined;
  while (last.state !== 'left') {
    if (monotonicNowMs() >= deadlineMs) {
      throw new CommandFailure(
        EXIT_FAILURE,
        `${instance.instanceId} still has ${last.inFlightCount} requests in flight after ${timeoutMs} ms`,
      );
    }
    if (last.inFlightCount !== shownCount) {
      session.note(`${last.inFlightCount} requests in flight`);
    }
    shownCount = last.inFlightCount;
    await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
    const next = await drainOnce(session, instance);
    if (typeof next !== 'string') last = next;
    // The process exits once it has finished, so its listener goes away.
    else if (next.startsWith('unreachable')) {
      last = {...last, state: 'left', inFlightCount: 0};
    }
  }
  return last;
}

const measures: Command = {
  usage: 'measures',
  description: 'Show cost, latency, refusals and work away from home',
  run: async session => {
    const {configuration} = await readAccepted(session, {local: true});
    const answers = await askEntries(
      session,
      configuration.instances,
      'entry.measures',
      entryMeasuresSchema,
    );
    const missing = answers.flatMap(({instance, error}) =>
      error === undefined
        ? []
        : [{instanceId: instance.instanceId as string, error}],
    );
    const entries = answers.flatMap(({value}) => value ?? []);
    const summary = summarizeMeasures(configuration, entries);
    missing.forEach(({instanceId, error}) =>
      session.note(`${instanceId}: ${error}`),
    );
    session.print({summary, missing, entries}, formatMeasures(summary));
  },
};

/** The commands on the running system. */
export const FLEET_COMMANDS: readonly Command[] = [
  status,
  upstreams,
  drain,
  measures,
];
