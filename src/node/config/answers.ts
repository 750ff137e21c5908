/**
 * The questionnaire: what an operator answers about the work, the regions, the
 * ranks and the residency rules of a deployment. Everything else is generated.
 */
import type {Result} from 'neverthrow';
import {z} from 'zod';
import type {
  DomainId,
  InstanceId,
  ModelId,
  RankId,
  RegionId,
  UpstreamId,
  WorkloadId,
  WorkspaceId,
} from '../types/ids.js';
import {checkAnswers} from './answers_checks.js';
import {
  addressSchema,
  digestSchema,
  idSchema,
  operatorSchema,
  quotaSchema,
} from './configuration.js';
import {parseSource, readSource, type LocatedProblem} from './source_text.js';

/** Which regions exist, and which failure domains each has? */
const regionAnswerSchema = z.strictObject({
  id: idSchema<RegionId>(),
  domains: z.array(idSchema<DomainId>()).min(1),
});

/** How far apart are two regions, and what does a transfer cost? */
const distanceSchema = z.strictObject({
  oneWayDelayMs: z.number().min(0),
  bandwidthBitsPerSecond: z.number().positive(),
  costMicrosPerMegabyte: z.number().min(0),
});

const networkAnswerSchema = z.strictObject({
  /** Holds between any two regions that `exceptions` does not name. */
  betweenRegions: distanceSchema,
  exceptions: z
    .array(
      distanceSchema.extend({
        between: z.tuple([idSchema<RegionId>(), idSchema<RegionId>()]),
      }),
    )
    .optional(),
});

/**
 * Which machines run the system? An entry instance has a caller and an inner
 * address; one that may hold the configuration log has a control address.
 */
const instanceAnswerSchema = z.strictObject({
  id: idSchema<InstanceId>(),
  domain: idSchema<DomainId>(),
  callerAddress: addressSchema.optional(),
  innerAddress: addressSchema.optional(),
  controlAddress: addressSchema.optional(),
  disk: z.boolean(),
});

const modelUpstreamAnswerSchema = z.strictObject({
  kind: z.literal('model'),
  id: idSchema<UpstreamId>(),
  domain: idSchema<DomainId>(),
  address: addressSchema,
  models: z.array(idSchema<ModelId>()).min(1),
  /** Requests that it runs at the same time. */
  slots: z.number().int().min(1),
  /** Does it refuse orders that carry an old fencing token? */
  checksFencing: z.boolean(),
  /** Cost of 1,000 generated tokens. */
  costMicros: z.number().min(0),
});

/** A worker of plain services; one worker may offer several. */
const serviceUpstreamAnswerSchema = z.strictObject({
  kind: z.literal('service'),
  id: idSchema<UpstreamId>(),
  domain: idSchema<DomainId>(),
  address: addressSchema,
  services: z
    .array(
      z.strictObject({
        name: idSchema<string>(),
        slots: z.number().int().min(1),
        /** Cost of one call. */
        costMicros: z.number().min(0),
      }),
    )
    .min(1),
});

const modelAnswerSchema = z.strictObject({
  id: idSchema<ModelId>(),
  weightsBytes: z.number().positive(),
  prefillMs: z.number().positive(),
  decodeMs: z.number().positive(),
});

/** The ranks are listed from the most to the least urgent. */
const rankAnswerSchema = z.strictObject({
  id: idSchema<RankId>(),
  firstTokenTargetMs: z.number().positive(),
  betweenTokensTargetMs: z.number().positive(),
  /** Share of capacity that the rank keeps during a flood of others. */
  floorShare: z.number().min(0).max(1),
  revenuePerJobMicros: z.number().min(0),
});

const workloadAnswerSchema = z.strictObject({
  id: idSchema<WorkloadId>(),
  /** Exactly one of `model` and `service` is given. */
  model: idSchema<ModelId>().optional(),
  service: idSchema<string>().optional(),
  rank: idSchema<RankId>(),
  /** May a call be repeated? Required for services; models: yes. */
  idempotent: z.boolean().optional(),
  deadlineMs: z.number().positive().optional(),
  maxBodyBytes: z.number().int().positive().optional(),
});

const workspaceAnswerSchema = z.strictObject({
  id: idSchema<WorkspaceId>(),
  home: idSchema<RegionId>(),
  /** Regions in which its data may be served; includes the home region. */
  residency: z.array(idSchema<RegionId>()).min(1),
  /** SHA-256 digests of its callers' keys. */
  callerKeyDigests: z.array(digestSchema).min(1),
  /** The rank of all its workloads, whatever they answer themselves. */
  rank: idSchema<RankId>().optional(),
  /** Its share of a rank relative to other workspaces. @default 1 */
  fairWeight: z.number().positive().optional(),
  /** What it may run, over all entries together; unlimited without an answer. */
  quota: quotaSchema.partial({plainTokens: true}).optional(),
  workloads: z.array(workloadAnswerSchema).min(1),
});

/** All answers of one deployment. */
export const answersSchema = z.strictObject({
  deployment: idSchema<string>(),
  /** What matters most? */
  priority: z.enum(['tail_latency', 'cost']),
  regions: z.array(regionAnswerSchema).min(1),
  network: networkAnswerSchema,
  instances: z.array(instanceAnswerSchema).min(1),
  upstreams: z
    .array(
      z.discriminatedUnion('kind', [
        modelUpstreamAnswerSchema,
        serviceUpstreamAnswerSchema,
      ]),
    )
    .min(1),
  models: z.array(modelAnswerSchema),
  ranks: z.array(rankAnswerSchema).min(1),
  workspaces: z.array(workspaceAnswerSchema),
  operators: z.array(operatorSchema).min(1),
});

export type Answers = z.infer<typeof answersSchema>;
export type InstanceAnswer = Answers['instances'][number];
export type UpstreamAnswer = Answers['upstreams'][number];
export type WorkspaceAnswer = Answers['workspaces'][number];
export type QuotaAnswer = NonNullable<WorkspaceAnswer['quota']>;
export type WorkloadAnswer = WorkspaceAnswer['workloads'][number];

/** Parses and checks answers; `file` is named in problems. */
export function parseAnswers(
  text: string,
  file: string,
): Result<Answers, readonly LocatedProblem[]> {
  return parseSource(text, file, answersSchema, checkAnswers);
}

/** Reads, parses and checks a file of answers. */
export function readAnswers(
  file: string,
): Result<Answers, readonly LocatedProblem[]> {
  return readSource(file, answersSchema, checkAnswers);
}
