/**
 * Classifies a caller's request: finds its workspace, workload, rank and
 * deadline. Pure; the time is passed in.
 */
import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {
  Configuration,
  RankConfig,
  WorkloadConfig,
  WorkspaceConfig,
} from '../config/configuration.js';
import {GatewayError} from '../types/errors.js';
import {asId, type Digest, type RequestId} from '../types/ids.js';
import {KeyIndex} from '../workspaces/key_index.js';

/** Length of the prompt prefix by which routing finds a prefix cache. */
const PREFIX_CHARACTERS = 256;
/** Expected tokens of an answer when the caller sets no `max_tokens`. */
const DEFAULT_EXPECTED_TOKENS = 64;
const STEP = 'entry.classify';

/** A validated and classified model call. */
export interface ModelRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceConfig;
  readonly workload: WorkloadConfig;
  readonly rank: RankConfig;
  readonly path: string;
  readonly body: Buffer;
  readonly isStream: boolean;
  /** Tokens that the answer may have; used to estimate its cost and size. */
  readonly expectedTokens: number;
  /** On the monotonic clock. */
  readonly deadlineAtMs: number;
  /** When the first token is due, for a call that another entry forwarded. */
  readonly firstTokenDueAtMs?: number;
  /** Digest of the workspace and the first characters of the prompt. */
  readonly prefixDigest: Digest;
  /** Digest of the workspace and the body; the same for a resent request. */
  readonly digest: Digest;
  /** Whether another entry forwarded it here. */
  readonly isForwarded: boolean;
}

/** A validated and classified request to a plain service. */
export interface ServiceRequest {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceConfig;
  readonly workload: WorkloadConfig;
  readonly method: string;
  /** Path and query below the workload's own path. */
  readonly path: string;
  readonly contentType: string;
  readonly idempotencyKey?: string;
  readonly body: Buffer;
  readonly deadlineAtMs: number;
  readonly isForwarded: boolean;
}

const completionSchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
  prompt: z.string().optional(),
  messages: z
    .array(z.looseObject({role: z.string(), content: z.unknown()}))
    .optional(),
});

/** SHA-256 over parts, each prefixed with its length to keep them apart. */
export function digestOf(...parts: ReadonlyArray<string | Buffer>): Digest {
  const hash = createHash('sha256');
  parts.forEach(part => {
    hash.update(`${Buffer.byteLength(part)}:`);
    hash.update(part);
  });
  return asId<Digest>(hash.digest('hex'));
}

/** Built once for each configuration in force. */
const keysByConfiguration = new WeakMap<
  Configuration,
  KeyIndex<WorkspaceConfig>
>();

function keysOf(configuration: Configuration): KeyIndex<WorkspaceConfig> {
  const known = keysByConfiguration.get(configuration);
  if (known !== undefined) return known;
  const keys = new KeyIndex(configuration.workspaces);
  keysByConfiguration.set(configuration, keys);
  return keys;
}

/** Finds the workspace of a caller's key, of which only digests are stored. */
export function findWorkspace(
  configuration: Configuration,
  authorization: string | undefined,
): Result<WorkspaceConfig, GatewayError> {
  const key = /^Bearer (\S+)$/.exec(authorization ?? '')?.[1];
  const workspace = keysOf(configuration).find(key);
  if (workspace !== undefined) return ok(workspace);
  return err(
    requestError('unauthorized', 'the caller key is missing or not known here'),
  );
}

/** The input of `classifyModelRequest`. */
export interface RawModelRequest {
  readonly requestId: RequestId;
  readonly path: string;
  readonly body: Buffer;
  /** The value of `x-cyclamenfall-workload`, to select among workloads. */
  readonly workloadId?: string;
  /** The value of `x-deadline-ms`; it can only shorten the deadline. */
  readonly deadlineMs?: number;
  /** Time until the first token is due, for a forwarded call. */
  readonly firstTokenAllowedMs?: number;
  readonly isForwarded: boolean;
}

/** Validates a completion request and finds its workload and rank. */
export function classifyModelRequest(
  configuration: Configuration,
  workspace: WorkspaceConfig,
  raw: RawModelRequest,
  nowMs: number,
): Result<ModelRequest, GatewayError> {
  return parseCompletion(raw.body).andThen(completion => {
    const workload = workspace.workloads.find(
      candidate =>
        candidate.kind === 'model' &&
        candidate.modelId === completion.model &&
        (raw.workloadId === undefined ||
          candidate.workloadId === raw.workloadId),
    );
    if (workload === undefined) {
      return err(
        requestError(
          'not_found',
          `no workload offers model ${completion.model}`,
        ),
      );
    }
    if (raw.body.length > workload.maxBodyBytes) {
      return err(
        requestError(
          'too_large',
          `the limit is ${workload.maxBodyBytes} bytes`,
        ),
      );
    }
    const rank = rankOf(configuration, workload);
    const prompt = promptText(completion);
    if (prompt === undefined) {
      return err(
        requestError('bad_request', 'the messages are nested too deeply'),
      );
    }
    return ok({
      requestId: raw.requestId,
      workspace,
      workload,
      rank,
      path: raw.path,
      body: raw.body,
      isStream: completion.stream === true,
      expectedTokens: completion.max_tokens ?? DEFAULT_EXPECTED_TOKENS,
      deadlineAtMs: nowMs + effectiveDeadlineMs(workload, raw.deadlineMs),
      ...(raw.firstTokenAllowedMs === undefined
        ? {}
        : {firstTokenDueAtMs: nowMs + raw.firstTokenAllowedMs}),
      prefixDigest: digestOf(
        workspace.workspaceId,
        prompt.slice(0, PREFIX_CHARACTERS),
      ),
      digest: digestOf(workspace.workspaceId, raw.body),
      isForwarded: raw.isForwarded,
    });
  });
}

/** The input of `classifyServiceRequest`. */
export interface RawServiceRequest {
  readonly requestId: RequestId;
  readonly method: string;
  readonly workloadId: string;
  readonly path: string;
  readonly contentType: string;
  readonly idempotencyKey?: string;
  readonly body: Buffer;
  readonly deadlineMs?: number;
  readonly isForwarded: boolean;
}

/** Validates a request to a plain service and finds its workload. */
export function classifyServiceRequest(
  workspace: WorkspaceConfig,
  raw: RawServiceRequest,
  nowMs: number,
): Result<ServiceRequest, GatewayError> {
  const workload = workspace.workloads.find(
    candidate =>
      candidate.kind === 'service' && candidate.workloadId === raw.workloadId,
  );
  if (workload === undefined) {
    return err(
      requestError('not_found', `no service workload ${raw.workloadId}`),
    );
  }
  if (raw.body.length > workload.maxBodyBytes) {
    return err(
      requestError('too_large', `the limit is ${workload.maxBodyBytes} bytes`),
    );
  }
  return ok({
    requestId: raw.requestId,
    workspace,
    workload,
    method: raw.method,
    path: raw.path,
    contentType: raw.contentType,
    ...(raw.idempotencyKey === undefined
      ? {}
      : {idempotencyKey: raw.idempotencyKey}),
    body: raw.body,
    deadlineAtMs: nowMs + effectiveDeadlineMs(workload, raw.deadlineMs),
    isForwarded: raw.isForwarded,
  });
}

function parseCompletion(
  body: Buffer,
): Result<z.infer<typeof completionSchema>, GatewayError> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    return err(requestError('bad_request', 'the body is not valid JSON'));
  }
  const parsed = completionSchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const where = issue?.path.join('.') ?? '';
    return err(
      requestError(
        'bad_request',
        `invalid body at '${where}': ${issue?.message}`,
      ),
    );
  }
  if (parsed.data.prompt === undefined && parsed.data.messages === undefined) {
    return err(
      requestError('bad_request', 'the body has no prompt or messages'),
    );
  }
  return ok(parsed.data);
}

/** The prompt as one string; `undefined` if its nesting overflows the stack. */
function promptText(
  completion: z.infer<typeof completionSchema>,
): string | undefined {
  if (completion.prompt !== undefined) return completion.prompt;
  try {
    return (completion.messages ?? [])
      .map(message =>
        typeof message.content === 'string'
          ? message.content
          : JSON.stringify(message.content),
      )
      .join('\n');
  } catch {
    return undefined;
  }
}

function rankOf(
  configuration: Configuration,
  workload: WorkloadConfig,
): RankConfig {
  const rank = configuration.ranks.find(
    candidate => candidate.rankId === workload.rankId,
  );
  if (rank !== undefined) return rank;
  throw requestError('internal', `rank ${workload.rankId} is not configured`);
}

function effectiveDeadlineMs(
  workload: WorkloadConfig,
  limitMs: number | undefined,
): number {
  if (limitMs === undefined || !(limitMs > 0)) return workload.deadlineMs;
  return Math.min(workload.deadlineMs, limitMs);
}

function requestError(
  code: 'bad_request' | 'unauthorized' | 'not_found' | 'too_large' | 'internal',
  message: string,
): GatewayError {
  return new GatewayError({code, message, step: STEP, peer: 'caller'});
}
