/** Builds the decision messages of a scheduler. */
import type {DomainId, RegionId} from '../types/ids.js';
import {MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS} from './constants.js';
import type {OffloadTarget} from './offload_planner.js';
import type {Decision, RefusalReason, WorkItem} from './types.js';
import {processIdOf} from './upstream_process.js';
import type {UpstreamState} from './upstream_state.js';

/** Reasons for which any retry before the predicted time is refused again. */
const UNBOUNDED_REASONS: ReadonlySet<RefusalReason> = new Set([
  'quarantined',
  'version_gone',
]);

interface GrantInputs {
  readonly domain: DomainId;
  readonly queuedMs: number;
  readonly nowMs: number;
}

interface RefusalInputs {
  readonly reason: RefusalReason;
  readonly predictedWaitMs: number;
  readonly closedForMs: number;
  readonly usableUpstreams: number;
  readonly queueLength: number;
}

/**
 * Builds a grant. Must be called before the request is started on the upstream,
 * as that changes the expected time.
 */
export function grantOf(
  item: WorkItem,
  upstream: UpstreamState,
  {domain, queuedMs, nowMs}: GrantInputs,
): Decision {
  const {softwareVersion, limit, rejections} = upstream;
  const {maxRequestsPerS} = limit;
  const {maxRejectionsPerS} = rejections;
  const fetchFrom = upstream.fetchSource(item, nowMs)?.listed.address;
  return {
    kind: 'grant',
    requestId: item.requestId,
    entry: item.entry,
    service: item.service,
    domain,
    upstreamId: upstream.listed.upstreamId,
    address: upstream.listed.address,
    processId: processIdOf(upstream.listed),
    queuedMs,
    expectedMs: upstream.expectedMs(item, nowMs),
    isCold: upstream.isCold(nowMs),
    isLimitKnown: limit.isKnown,
    ...(softwareVersion === undefined ? {} : {softwareVersion}),
    ...(maxRequestsPerS === undefined ? {} : {maxRequestsPerS}),
    ...(maxRejectionsPerS === undefined ? {} : {maxRejectionsPerS}),
    ...(fetchFrom === undefined ? {} : {fetchFrom}),
  };
}

/** Passes the decision to the scheduler of another domain of the region. */
export function passOf(item: WorkItem, domain: DomainId): Decision {
  const {requestId, entry} = item;
  return {kind: 'pass', requestId, entry, domain};
}

/** Sends a request to another domain of region `home`, or to another region. */
export function redirectOf(
  item: WorkItem,
  {region, domain, localWaitMs, remoteWaitMs}: OffloadTarget,
  home: RegionId,
): Decision {
  if (region === home && domain !== undefined) return passOf(item, domain);
  const {requestId, entry} = item;
  return {kind: 'offload', requestId, entry, region, localWaitMs, remoteWaitMs};
}

/**
 * Builds a refusal with the time after which the caller may retry: when there
 * will be room for it, if that is known.
 */
export function refusalOf(
  item: WorkItem,
  inputs: RefusalInputs,
  roomAfterMs?: number,
): Decision {
  const maxMs = UNBOUNDED_REASONS.has(inputs.reason)
    ? Number.POSITIVE_INFINITY
    : MAX_RETRY_AFTER_MS;
  const retryAfterMs =
    roomAfterMs === undefined
      ? Math.min(maxMs, Math.max(MIN_RETRY_AFTER_MS, inputs.predictedWaitMs))
      : Math.min(roomAfterMs, Math.max(MIN_RETRY_AFTER_MS, item.remainingMs));
  return {
    kind: 'refuse',
    requestId: item.requestId,
    entry: item.entry,
    ...inputs,
    decisionAgeMs: 0,
    retryAfterMs,
  };
}
