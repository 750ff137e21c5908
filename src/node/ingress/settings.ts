/** Settings of an ingress entry: YAML or, as a part of it, JSON. */
import {z} from 'zod';
import {addressSchema, idSchema} from '../config/configuration.js';
import type {DomainLocation} from '../fleet/fleet_members.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../types/ids.js';

const MIN_SECRET_CHARACTERS = 16;

/** What the settings of all processes of a regional deployment share. */
export const processSettingsFields = {
  instanceId: idSchema<InstanceId>(),
  domainId: idSchema<DomainId>(),
  regionId: idSchema<RegionId>(),
  /** Region of each failure domain. */
  regionOfDomain: z.record(z.string(), z.string()),
  /** Address for other instances. */
  innerAddress: addressSchema,
  /** Where others reach the inner address, if not there, as behind a proxy. */
  advertisedInnerAddress: addressSchema.optional(),
  /** Addresses of the operators' interface of some control members. */
  seedAddresses: z.array(addressSchema),
  /** Port of the inner listener on every control member. */
  controlInnerPort: z.number().int().min(1).max(65_535),
  clusterSecret: z.string().min(MIN_SECRET_CHARACTERS),
  /** Where metrics are served. */
  metricsAddress: addressSchema,
};

export const ingressSettingsSchema = z.strictObject({
  ...processSettingsFields,
  /** Address for callers. */
  callerAddress: addressSchema,
  /** Address of the readiness check. */
  readinessAddress: addressSchema,
  /** How long a planned stop may take. */
  stopGraceMs: z.number().positive(),
  /** Address of the platform's list of upstreams. */
  listAddress: addressSchema,
  /** How old that list may be when it is read. */
  listLagMs: z.number().min(0),
  /** The bound on repeats that holds for all instances together. */
  retryRatio: z.number().min(0),
  retryWindowMs: z.number().positive(),
  retrySlack: z.number().min(0),
});

export type IngressSettings = z.infer<typeof ingressSettingsSchema>;

/** All failure domains of the deployment. */
export function domainPlaces({
  regionOfDomain,
}: Pick<IngressSettings, 'regionOfDomain'>): readonly DomainLocation[] {
  return Object.entries(regionOfDomain).map(([domain, region]) => ({
    domain: asId<DomainId>(domain),
    region: asId<RegionId>(region),
  }));
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
