/** Settings of an ingress entry, in YAML or JSON. */
import {z} from 'zod';
import {addressSchema, idSchema} from '../config/configuration.js';
import {capacityOf} from '../fleet/entry_capacity.js';
import type {DomainLocation} from '../fleet/fleet_members.js';
import type {EntryInstance} from '../fleet/messages.js';
import type {RetryBudgetOptions} from '../scheduling/retry_budget.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../types/ids.js';

const MIN_SECRET_CHARACTERS = 16;

/** Settings that all processes of a regional deployment have in common. */
export const processSettingsFields = {
  instanceId: idSchema<InstanceId>(),
  domainId: idSchema<DomainId>(),
  regionId: idSchema<RegionId>(),
  /** Region of each failure domain. */
  regionOfDomain: z.record(z.string(), z.string()),
  /** Address for other instances. */
  innerAddress: addressSchema,
  /** Address that other instances use if it differs, as behind a proxy. */
  advertisedInnerAddress: addressSchema.optional(),
  /** Operator API addresses of some control members, for discovery. */
  seedAddresses: z.array(addressSchema),
  /** Port of the inner listener on every control member. */
  controlInnerPort: z.number().int().min(1).max(65_535),
  clusterSecret: z.string().min(MIN_SECRET_CHARACTERS),
  /** Address of the metrics endpoint. */
  metricsAddress: addressSchema,
  /** By how much the quota of a workspace may be exceeded in any window. */
  quotaWindowMs: z.number().positive().optional(),
  quotaOverage: z.number().min(0).nullish(),
  quotaSlackTokens: z.number().min(0).nullish(),
};

export const ingressSettingsSchema = z.strictObject({
  ...processSettingsFields,
  /** Address for callers. */
  callerAddress: addressSchema,
  /** Address of the readiness check. */
  readinessAddress: addressSchema,
  /** Time limit of a planned stop. */
  stopGraceMs: z.number().positive(),
  /** Address of the platform's list of upstreams. */
  listAddress: addressSchema,
  /** Maximum age of that list at the time of reading. */
  listLagMs: z.number().min(0),
  /** Retry budget, shared by all instances. */
  retryRatio: z.number().min(0),
  retryWindowMs: z.number().positive(),
  retrySlack: z.number().min(0),
  /** What the entry may use; what is not known is left out or null. */
  processorShare: z.number().positive().nullish(),
  /** Also bounds what the entry holds for slow peers. */
  memoryMb: z.number().positive().nullish(),
  linkMbps: z.number().positive().nullish(),
  maxDescriptors: z.number().positive().nullish(),
});

export type IngressSettings = z.infer<typeof ingressSettingsSchema>;

/** The part of an entry's announcements that its settings decide. */
export function announcedSettings(
  settings: IngressSettings,
): Pick<
  EntryInstance,
  | 'callersAddress'
  | 'capacity'
  | 'domain'
  | 'innerAddress'
  | 'instanceId'
  | 'region'
> {
  const capacity = capacityOf(settings);
  return {
    ...(capacity === undefined ? {} : {capacity}),
    instanceId: settings.instanceId,
    domain: settings.domainId,
    region: settings.regionId,
    innerAddress: settings.advertisedInnerAddress ?? settings.innerAddress,
    callersAddress: settings.callerAddress,
  };
}

/** All failure domains of the deployment. */
export function domainLocations({
  regionOfDomain,
}: Pick<IngressSettings, 'regionOfDomain'>): readonly DomainLocation[] {
  return Object.entries(regionOfDomain).map(([domain, region]) => ({
    domain: asId<DomainId>(domain),
    region: asId<RegionId>(region),
  }));
}

/** The failure domains of the region of a process. */
export function domainsOfRegion(
  settings: Pick<IngressSettings, 'regionOfDomain' | 'regionId'>,
): readonly DomainLocation[] {
  return domainLocations(settings).filter(
    each => each.region === settings.regionId,
  );
}

/** Their ids. */
export function domainIdsOfRegion(
  settings: Pick<IngressSettings, 'regionOfDomain' | 'regionId'>,
): readonly DomainId[] {
  return domainsOfRegion(settings).map(each => each.domain);
}

/** The retry budget of the whole deployment. */
export function deploymentRetries({
  retryRatio: ratio,
  retryWindowMs: windowMs,
  retrySlack: slack,
}: IngressSettings): RetryBudgetOptions {
  return {ratio, windowMs, slack};
}

/**
 * The retry budget of one scheduler: the slack is divided equally among the
 * schedulers of the domains.
 */
export function schedulerRetries(
  settings: IngressSettings,
): RetryBudgetOptions {
  const domains = Object.keys(settings.regionOfDomain).length;
  const {slack, ...others} = deploymentRetries(settings);
  return {...others, slack: Math.floor(slack / domains)};
}

/** Inner addresses of the control members that the settings name. */
export function seedInnerAddresses(
  settings: Pick<IngressSettings, 'seedAddresses' | 'controlInnerPort'>,
): readonly string[] {
  return settings.seedAddresses.map(
    address =>
      `${address.slice(0, address.lastIndexOf(':'))}:${settings.controlInnerPort}`,
  );
}
