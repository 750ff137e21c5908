/** Builders for the scheduling specs. */
import {CrashEvidence} from '../../decisions/quarantine/crash_evidence.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
  type RequestId,
  type ServiceId,
  type SoftwareVersion,
  type UpstreamId,
} from '../../types/ids.js';
import {Scheduler} from '../scheduler.js';
import type {
  Decision,
  ListedUpstream,
  ServiceTraits,
  WorkItem,
} from '../types.js';

export const ENGINE_TRAITS: ServiceTraits = {
  coldRequestsPerS: 2.9,
  kvCacheTokens: 246_518,
  tokensPerEvent: 7,
  fetchMsPerToken: 0.0012,
};

export const PLAIN_TRAITS: ServiceTraits = {
  coldRequestsPerS: 0,
  kvCacheTokens: 0,
  tokensPerEvent: 1,
  fetchMsPerToken: 0,
};

export const HOME = asId<RegionId>('home');
export const AWAY = asId<RegionId>('away');
export const HOME_A = asId<DomainId>('home-a');
export const AWAY_A = asId<DomainId>('away-a');
export const HOME_B = asId<DomainId>('home-b');

export function createScheduler(
  traits: ServiceTraits,
  place = {region: HOME, domain: HOME_A},
): Scheduler {
  return new Scheduler({
    ...place,
    traits,
    retries: {ratio: 0.2, windowMs: 10_000, slack: 18},
    onPoolChange: () => undefined,
    onCrash: () => undefined,
    evidence: new CrashEvidence(),
    onLaneChange: () => undefined,
  });
}

export function upstream(
  name: string,
  fields: Partial<ListedUpstream> = {},
): ListedUpstream {
  return {
    upstreamId: asId<UpstreamId>(name),
    service: asId<ServiceId>('service'),
    address: `${name}:1`,
    domain: HOME_A,
    slots: 64,
    isDraining: false,
    coldRemainingMs: 0,
    bornAtMs: 1,
    softwareVersion: asId<SoftwareVersion>('v1'),
    ...fields,
  };
}

/** A chat: a request with a short prompt and the highest priority. */
export function chat(name: string, fields: Partial<WorkItem> = {}): WorkItem {
  return {
    requestId: asId<RequestId>(name),
    entry: asId<InstanceId>('entry'),
    service: asId<ServiceId>('service'),
    fingerprint: name,
    priority: 0,
    targetLatencyMs: 500,
    ageMs: 0,
    remainingMs: 10_000,
    prompt: {
      promptTokens: 800,
      maxOutputTokens: 400,
      expectedOutputTokens: 294,
      parts: [
        {partId: 'rules', tokens: 120},
        {partId: `${name}-own`, tokens: 680},
      ],
    },
    avoidUpstreams: [],
    isRepeat: false,
    isAllowedHere: true,
    otherRegions: [],
    passedDomains: [],
    ...fields,
  };
}

/** A brief: a request with a long prompt and a lower priority. */
export function brief(name: string, fields: Partial<WorkItem> = {}): WorkItem {
  return {
    ...chat(name),
    priority: 2,
    targetLatencyMs: 1_500,
    remainingMs: 4_000,
    prompt: {
      promptTokens: 9_000,
      maxOutputTokens: 60,
      expectedOutputTokens: 50,
      parts: [
        {partId: 'manual', tokens: 6_000},
        {partId: `${name}-own`, tokens: 3_000},
      ],
    },
    ...fields,
  };
}

/** Formats a decision as one line of a snapshot. */
export function toLine(decision: Decision): string {
  const {kind, requestId} = decision;
  if (kind === 'grant') return `${requestId} -> ${decision.upstreamId}`;
  if (kind === 'pass') return `${requestId} to domain ${decision.domain}`;
  if (kind === 'offload') return `${requestId} to region ${decision.region}`;
  return `${requestId} refused: ${decision.reason}`;
}
