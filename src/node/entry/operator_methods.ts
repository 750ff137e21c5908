/** The RPC methods that operators call on an entry. */
import {createHash} from 'node:crypto';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration} from '../config/configuration.js';
import type {UpstreamView} from '../decisions/fleet/upstream_view.js';
import {estimateInFlight} from '../decisions/routing/upstream_load.js';
import type {MembershipView} from '../membership/membership_view.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {
  entryDrainParamsSchema,
  entryQueryParamsSchema,
  type EntryDrain,
  type EntryMeasures,
  type EntryStatus,
  type EntryUpstreams,
} from '../operator/entry_methods.js';
import type {ReplicaStatus} from '../replication/replicated_log.js';
import type {RpcRouter} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import {asNumber, type ConfigVersion, type ModelId} from '../types/ids.js';
import type {EntryIdentity, FleetState} from './fleet_state.js';

const MODEL_POOL_PREFIX = 'model:';

/** State and callbacks behind the operator methods. */
export interface OperatorMethodsOptions {
  readonly identity: EntryIdentity;
  readonly membership: MembershipView;
  readonly fleet: FleetState;
  readonly metrics: MetricsRegistry;
  readonly startedAtMs: number;
  readonly version: () => number;
  readonly configuration: () => Configuration | undefined;
  readonly state: () => EntryStatus['state'];
  readonly inFlightCount: () => number;
  readonly queuedCount: () => number;
  readonly recordStatus: () => ReplicaStatus | undefined;
  /** Starts a planned stop, which continues after the call was answered. */
  readonly drain: () => void;
}

/**
 * Registers `entry.status`, `entry.upstreams`, `entry.measures` and
 * `entry.drain`; the last requires an operator's key.
 */
export function registerOperatorMethods(
  router: RpcRouter,
  options: OperatorMethodsOptions,
): void {
  const {identity, metrics} = options;
  router.register('entry.status', entryQueryParamsSchema, () =>
    readStatus(options),
  );
  router.register(
    'entry.upstreams',
    entryQueryParamsSchema,
    (): EntryUpstreams => readUpstreams(options),
  );
  router.register(
    'entry.measures',
    entryQueryParamsSchema,
    (): EntryMeasures => {
      const snapshot = metrics.snapshot();
      return {
        ...identity,
        counters: snapshot.counters.map(each => ({...each})),
        gauges: snapshot.gauges.map(each => ({...each})),
        histograms: snapshot.histograms.map(each => ({...each})),
      };
    },
  );
  router.register(
    'entry.drain',
    entryDrainParamsSchema,
    (params): EntryDrain => {
      authenticateOperator(options, params.operator, params.operatorKey);
      options.drain();
      return {
        instanceId: identity.instanceId,
        state: 'leaving',
        inFlightCount: options.inFlightCount(),
      };
    },
  );
}

function readStatus(options: OperatorMethodsOptions): EntryStatus {
  const {identity, membership} = options;
  const records = options.recordStatus();
  return {
    ...identity,
    state: options.state(),
    configVersion: asNumber<ConfigVersion>(options.version()),
    uptimeMs: monotonicNowMs() - options.startedAtMs,
    inFlightCount: options.inFlightCount(),
    queuedCount: options.queuedCount(),
    isWatcher: membership.buildsSummary(),
    ...(records === undefined ? {} : {recordRole: records.role}),
    links: membership.links().map(({domainId, state}) => ({domainId, state})),
  };
}

function readUpstreams(options: OperatorMethodsOptions): EntryUpstreams {
  const nowMs = monotonicNowMs();
  const {domainId, upstreams} = options.fleet.view(nowMs);
  return {
    upstreams: upstreams.map(upstream => ({
      upstreamId: upstream.upstreamId,
      domainId,
      state: reportedState(upstream),
      inFlightCount: Math.round(estimateInFlight(upstream, nowMs)),
      slotCount: upstream.slotCount,
      loadedModelIds: upstream.poolIds
        .filter(poolId => poolId.startsWith(MODEL_POOL_PREFIX))
        .map(poolId => poolId.slice(MODEL_POOL_PREFIX.length) as ModelId),
      ...(upstream.report === undefined
        ? {}
        : {reportAgeMs: Math.max(0, nowMs - upstream.report.takenAtMs)}),
    })),
  };
}

function reportedState(
  upstream: UpstreamView,
): EntryUpstreams['upstreams'][number]['state'] {
  if (upstream.state === 'leaving') return 'leaving';
  if (upstream.state === 'ejected') return 'failed';
  return upstream.weight < 1 ? 'suspect' : 'in_service';
}

function authenticateOperator(
  options: OperatorMethodsOptions,
  name: string,
  key: string,
): void {
  const keyDigest = createHash('sha256').update(key).digest('hex');
  const isKnown = (options.configuration()?.operators ?? []).some(
    operator => operator.name === name && operator.keyDigest === keyDigest,
  );
  if (isKnown) return;
  throw new GatewayError({
    code: 'unauthorized',
    message: `unknown operator or wrong key: ${name}`,
    step: 'entry.drain',
    peer: options.identity.instanceId,
  });
}
