/**
 * The generated configuration: what every daemon serves by. It is produced
 * from the operators' answers, never written by hand.
 */
import {z} from 'zod';
import type {
  ConfigVersion,
  DomainId,
  InstanceId,
  ModelId,
  RankId,
  RegionId,
  UpstreamId,
  WorkloadId,
  WorkspaceId,
} from '../types/ids.js';

/** The schema of an id; `Id` is its brand. */
export function idSchema<Id extends string>(): z.ZodType<Id> {
  return z
    .string()
    .regex(
      /^[a-z0-9][a-z0-9_.-]{0,62}$/,
      'an id has 1 to 63 characters of a-z 0-9 _ . -',
    ) as unknown as z.ZodType<Id>;
}

const ADDRESS_PATTERN = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

function isAddress(text: string): boolean {
  if (!ADDRESS_PATTERN.test(text)) return false;
  const [host = '', port = ''] = text.split(':');
  const octetsAreValid = host
    .split('.')
    .every(octet => Number(octet) <= MAX_OCTET);
  return octetsAreValid && Number(port) >= 1 && Number(port) <= MAX_PORT;
}

/** An IPv4 address with its port. */
export const addressSchema = z
  .string()
  .refine(isAddress, 'an address is IPv4:port, such as 10.0.0.1:7000');

/** A SHA-256 digest in hexadecimal. */
export const digestSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'a digest is SHA-256 as 64 digits of 0-9 a-f');

/** An entry instance: one machine that runs `cyclamenfall-entry`. */
export const instanceSchema = z.strictObject({
  instanceId: idSchema<InstanceId>(),
  domainId: idSchema<DomainId>(),
  regionId: idSchema<RegionId>(),
  /** Where callers connect. */
  callerAddress: addressSchema,
  /** Where other instances connect. */
  innerAddress: addressSchema,
  hasDisk: z.boolean(),
  /** Votes in the record log of the domain; 0 means no member. */
  recordWeight: z.number().int().min(0),
});

/** A member of the configuration log. */
export const controlMemberSchema = z.strictObject({
  instanceId: idSchema<InstanceId>(),
  domainId: idSchema<DomainId>(),
  innerAddress: addressSchema,
});

/** An upstream that requests are sent to. */
export const upstreamSchema = z.strictObject({
  upstreamId: idSchema<UpstreamId>(),
  domainId: idSchema<DomainId>(),
  regionId: idSchema<RegionId>(),
  kind: z.enum(['model', 'service']),
  address: addressSchema,
  /** Models that a model engine may load; empty for services. */
  modelIds: z.array(idSchema<ModelId>()),
  /** The service that a plain service worker offers. */
  serviceName: z.string().optional(),
  /** Requests that it runs at the same time. */
  slotCount: z.number().int().min(1),
  /** Whether it refuses orders that carry an old fencing token. */
  checksFencing: z.boolean(),
  /** Cost of 1,000 generated tokens, or of one service call, in micros. */
  costMicros: z.number().min(0),
});

/** A rank of urgency. */
export const rankSchema = z.strictObject({
  rankId: idSchema<RankId>(),
  /** Smaller is more urgent. */
  priority: z.number().int().min(0),
  firstTokenTargetMs: z.number().positive(),
  betweenTokensTargetMs: z.number().positive(),
  /** Share of capacity that this rank keeps during a flood of others. */
  floorShare: z.number().min(0).max(1),
  /** Revenue of one job in micros. */
  revenuePerJobMicros: z.number().min(0),
});

/** A model and what it takes to run it. */
export const modelSchema = z.strictObject({
  modelId: idSchema<ModelId>(),
  weightsBytes: z.number().positive(),
  /** Typical time to the first token on an idle engine. */
  prefillMs: z.number().positive(),
  /** Typical time between two tokens. */
  decodeMs: z.number().positive(),
});

/** One kind of call of a workspace. */
export const workloadSchema = z.strictObject({
  workloadId: idSchema<WorkloadId>(),
  kind: z.enum(['model', 'service']),
  modelId: idSchema<ModelId>().optional(),
  serviceName: z.string().optional(),
  rankId: idSchema<RankId>(),
  /** Whether a repeated call has the effect of one. */
  idempotent: z.boolean(),
  deadlineMs: z.number().positive(),
  maxBodyBytes: z.number().int().positive(),
});

/** What a workspace may run, over all entries together. */
export const quotaSchema = z.strictObject({
  unit: z.enum(['requests', 'tokens']),
  /** Units a second. */
  ratePerS: z.number().positive(),
  /** Units beyond the rate that may be used at once. */
  burst: z.number().min(0),
  /** What a call without tokens counts, in a quota of tokens. */
  plainTokens: z.number().min(0),
});

/** A customer. */
export const workspaceSchema = z.strictObject({
  workspaceId: idSchema<WorkspaceId>(),
  homeRegionId: idSchema<RegionId>(),
  /** The domain that holds the records of its non-idempotent calls. */
  homeDomainId: idSchema<DomainId>(),
  /** Regions in which its data may be served. */
  allowedRegionIds: z.array(idSchema<RegionId>()).min(1),
  /** SHA-256 digests, in hexadecimal, of its callers' keys. */
  keyDigests: z.array(digestSchema).min(1),
  /** Share of its rank in fair queueing, relative to others. */
  fairWeight: z.number().positive(),
  /** Missing if it is not limited. */
  quota: quotaSchema.optional(),
  workloads: z.array(workloadSchema).min(1),
});

/** A link between two regions, both ways. */
export const linkSchema = z.strictObject({
  fromRegionId: idSchema<RegionId>(),
  toRegionId: idSchema<RegionId>(),
  oneWayDelayMs: z.number().min(0),
  bandwidthBitsPerSecond: z.number().positive(),
  costMicrosPerMegabyte: z.number().min(0),
});

/** How routing weighs time, money and distance. */
export const policySchema = z.strictObject({
  /** Micros that one millisecond of predicted wait of urgent work is worth. */
  latencyMicrosPerMs: z.number().min(0),
  /** Micros that a job sent away from home costs on top of its real price. */
  awayPenaltyMicros: z.number().min(0),
  /** A remote domain must be better by this factor before work is sent. */
  awayHysteresis: z.number().min(1),
  /** Retries as a share of first tries. */
  retryBudgetShare: z.number().min(0).max(1),
  /** Idempotent urgent calls are hedged after this quantile; 0 turns it off. */
  hedgeQuantile: z.number().min(0).max(1),
  quarantineMs: z.number().positive(),
  recordRetentionMs: z.number().positive(),
  maxQueuedPerEntry: z.number().int().positive(),
  firstByteTimeoutMs: z.number().positive(),
  pieceTimeoutMs: z.number().positive(),
});

/** An operator who may change the configuration. */
export const operatorSchema = z.strictObject({
  name: z.string().min(1).max(64),
  keyDigest: digestSchema,
});

/** The whole generated configuration, without its version. */
export const configurationSchema = z.strictObject({
  deployment: z.string().min(1),
  regions: z.array(
    z.strictObject({
      regionId: idSchema<RegionId>(),
      domainIds: z.array(idSchema<DomainId>()).min(1),
    }),
  ),
  instances: z.array(instanceSchema),
  controlMembers: z.array(controlMemberSchema).max(8),
  upstreams: z.array(upstreamSchema),
  models: z.array(modelSchema),
  ranks: z.array(rankSchema).min(1),
  workspaces: z.array(workspaceSchema),
  links: z.array(linkSchema),
  operators: z.array(operatorSchema),
  policy: policySchema,
});

export type InstanceConfig = z.infer<typeof instanceSchema>;
export type ControlMemberConfig = z.infer<typeof controlMemberSchema>;
export type UpstreamConfig = z.infer<typeof upstreamSchema>;
export type RankConfig = z.infer<typeof rankSchema>;
export type ModelConfig = z.infer<typeof modelSchema>;
export type WorkloadConfig = z.infer<typeof workloadSchema>;
export type QuotaConfig = z.infer<typeof quotaSchema>;
export type WorkspaceConfig = z.infer<typeof workspaceSchema>;
export type LinkConfig = z.infer<typeof linkSchema>;
export type PolicyConfig = z.infer<typeof policySchema>;
export type Configuration = z.infer<typeof configurationSchema>;

/** A configuration with the version under which it was accepted. */
export interface VersionedConfiguration {
  readonly version: ConfigVersion;
  readonly configuration: Configuration;
}
