/** Parameters and results of the RPC methods of control members. */
import {z} from 'zod';
import {addressSchema} from '../config/configuration.js';
import type {ReplicaStatus} from '../replication/replicated_log.js';
import type {
  ConfigVersion,
  InstanceId,
  MemberId,
  OperationId,
} from '../types/ids.js';
import type {Packed} from './packing.js';
import type {AcceptedVersion, AuditEntry, HistoryEntry} from './commands.js';

const MAX_LIST_LIMIT = 1_000;

export const versionSchema = z
  .number()
  .int()
  .min(0) as unknown as z.ZodType<ConfigVersion>;

/** The requester, and whether another member already forwarded the call. */
const changeFields = {
  operator: z.string().min(1).max(64),
  operatorKey: z.string().min(1).max(256),
  /** Stays the same when a change is retried, so that it is applied once. */
  operationId: z
    .string()
    .regex(/^[A-Za-z0-9_.-]{8,64}$/) as unknown as z.ZodType<OperationId>,
  forwarded: z.boolean().default(false),
};

/**
 * `config.accept`: accepts answers as the next version. Result:
 * `ControlResult`.
 */
export const acceptParamsSchema = z.strictObject({
  ...changeFields,
  baseVersion: versionSchema,
  /** The answers as JSON; the leader validates them and generates from them. */
  answers: z.unknown(),
  /** Digest of the configuration that the operator reviewed. */
  configurationDigest: z.string().optional(),
});

/** `config.current`: a linearizable read, or this member's own state. */
export const currentParamsSchema = z.strictObject({
  /** Reads the state of this member, which may be stale, without a quorum. */
  local: z.boolean().default(false),
  forwarded: z.boolean().default(false),
});

/** `config.watch`: waits until a version newer than `haveVersion` exists. */
export const watchParamsSchema = z.strictObject({
  haveVersion: versionSchema,
  waitMs: z.number().min(0).default(0),
});

/** `config.history`: accepted versions. Result: `HistoryEntry[]`. */
export const historyParamsSchema = z.strictObject({
  limit: z.number().int().min(1).max(MAX_LIST_LIMIT).default(50),
});

/** `config.answers`: the answers of a recent version. */
export const answersParamsSchema = z.strictObject({version: versionSchema});

/** `audit.list`: accepted and refused changes. Result: `AuditEntry[]`. */
export const auditParamsSchema = z.strictObject({
  limit: z.number().int().min(1).max(MAX_LIST_LIMIT).default(50),
  /** Only entries with a smaller sequence. */
  beforeSequence: z.number().int().positive().optional(),
});

/** `control.status`: takes no parameters. Result: `ControlStatus`. */
export const statusParamsSchema = z.strictObject({});

/** `control.measures`: takes no parameters. Result: `MetricsSnapshot`. */
export const measuresParamsSchema = z.strictObject({});

/** `member.add`: adds the control member that listens at `address`. */
export const memberAddParamsSchema = z.strictObject({
  ...changeFields,
  address: addressSchema,
  weight: z.number().int().min(1).default(1),
});

/** `member.remove`: removes a control member. */
export const memberRemoveParamsSchema = z.strictObject({
  ...changeFields,
  memberId: z.string().min(1).max(128) as unknown as z.ZodType<MemberId>,
});

export type AcceptParams = z.infer<typeof acceptParamsSchema>;
export type MemberAddParams = z.infer<typeof memberAddParamsSchema>;
export type MemberRemoveParams = z.infer<typeof memberRemoveParamsSchema>;

/** The result of `config.current`; no `accepted` before version 1. */
export interface CurrentResult {
  readonly version: ConfigVersion;
  readonly accepted?: AcceptedVersion;
}

/** The result of `config.watch`. */
export interface WatchResult {
  readonly version: ConfigVersion;
  /** `Configuration`, packed, if `version` is newer than the caller's. */
  readonly packed?: Packed;
  /** False if this member has lost its leader, so its version may be stale. */
  readonly hasLeader: boolean;
}

/** The result of `control.status`. */
export interface ControlStatus extends ReplicaStatus {
  readonly instanceId: InstanceId;
  readonly version: ConfigVersion;
}

/** The result of `member.add` and `member.remove`. */
export interface MemberResult {
  readonly memberId: MemberId;
  /** For `learner`, retry `member.add` once the learner has caught up. */
  readonly state: 'voter' | 'learner' | 'removed';
}

export type {AuditEntry, HistoryEntry};
