/**
 * RPC methods of entries that the command line calls: parameters and results.
 * Results are objects that may gain fields, so unknown keys are dropped.
 */
import {z} from 'zod';
import {idSchema} from '../config/configuration.js';
import {versionSchema} from '../control/methods.js';
import type {
  DomainId,
  InstanceId,
  ModelId,
  RegionId,
  UpstreamId,
} from '../types/ids.js';

const count = z.number().min(0);

/** `entry.status`, `entry.upstreams` and `entry.measures` take no parameters. */
export const entryQueryParamsSchema = z.strictObject({});

/** The result of `entry.status`. */
export const entryStatusSchema = z.object({
  instanceId: idSchema<InstanceId>(),
  domainId: idSchema<DomainId>(),
  regionId: idSchema<RegionId>(),
  /** `ready` serves callers; `leaving` finishes what is in flight. */
  state: z.enum(['starting', 'ready', 'leaving', 'left']),
  /** The version in force; 0 before the first. */
  configVersion: versionSchema,
  uptimeMs: count,
  /** Callers' requests that are being served. */
  inFlightCount: count,
  /** Requests that wait for a slot. */
  queuedCount: count,
  /** Whether it follows the control members for its domain. */
  isWatcher: z.boolean().optional(),
  /** Its role in the record log of the domain, if it is a member. */
  recordRole: z.string().optional(),
  /** Links to the other domains, as this instance sees them. */
  links: z
    .array(
      z.object({
        domainId: idSchema<DomainId>(),
        state: z.enum(['up', 'suspect', 'down']),
      }),
    )
    .optional(),
});

/** The result of `entry.upstreams`: the upstreams of the entry's domain. */
export const entryUpstreamsSchema = z.object({
  upstreams: z.array(
    z.object({
      upstreamId: idSchema<UpstreamId>(),
      domainId: idSchema<DomainId>(),
      state: z.enum(['in_service', 'suspect', 'leaving', 'failed', 'unknown']),
      /** Requests that all entries of the domain have sent to it. */
      inFlightCount: count,
      slotCount: count,
      loadedModelIds: z.array(idSchema<ModelId>()),
      /** Age of the last load report; absent if there is none. */
      reportAgeMs: count.optional(),
    }),
  ),
});

/** `entry.drain`: starts the graceful shutdown of an entry; repeatable. */
export const entryDrainParamsSchema = z.strictObject({
  operator: z.string().min(1).max(64),
  operatorKey: z.string().min(1).max(256),
});

/** The result of `entry.drain`. */
export const entryDrainSchema = z.object({
  instanceId: idSchema<InstanceId>(),
  state: z.enum(['leaving', 'left']),
  inFlightCount: count,
});

const labelsSchema = z.record(z.string(), z.string());
const numberSchema = z.object({
  name: z.string(),
  labels: labelsSchema,
  value: z.number(),
});

/** The result of `entry.measures`: a snapshot of the metrics registry. */
export const entryMeasuresSchema = z.object({
  instanceId: idSchema<InstanceId>(),
  domainId: idSchema<DomainId>(),
  regionId: idSchema<RegionId>(),
  counters: z.array(numberSchema),
  gauges: z.array(numberSchema),
  histograms: z.array(
    z.object({
      name: z.string(),
      labels: labelsSchema,
      count,
      mean: z.number(),
      p50: z.number(),
      p95: z.number(),
      p99: z.number(),
      max: z.number(),
    }),
  ),
});

export type EntryStatus = z.infer<typeof entryStatusSchema>;
export type EntryUpstreams = z.infer<typeof entryUpstreamsSchema>;
export type EntryDrain = z.infer<typeof entryDrainSchema>;
export type EntryMeasures = z.infer<typeof entryMeasuresSchema>;
