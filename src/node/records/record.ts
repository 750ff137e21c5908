/**
 * Types of at-most-once records: the record, the commands that change it, their
 * results, and the parameters of the RPC methods.
 */
import {z} from 'zod';
import type {
  AttemptId,
  Digest,
  DomainId,
  IdempotencyKey,
  MemberId,
  WorkspaceId,
} from '../types/ids.js';
import {MAX_CALL_TIMEOUT_MS, MAX_STORED_BODY_BYTES} from './constants.js';
import {IDEMPOTENCY_KEY_PATTERN} from './idempotency_key.js';

const boundedString = <Id extends string>(
  maxCharacters: number,
): z.ZodType<Id> =>
  z.string().min(1).max(maxCharacters) as unknown as z.ZodType<Id>;
const digest = z
  .string()
  .regex(/^[0-9a-f]{64}$/) as unknown as z.ZodType<Digest>;
const key = z
  .string()
  .regex(IDEMPOTENCY_KEY_PATTERN) as unknown as z.ZodType<IdempotencyKey>;

/** The answer of a call, stored to answer resends. */
export const storedAnswerSchema = z.strictObject({
  status: z.number().int().min(100).max(599),
  /** The headers listed in `STORED_HEADERS`, with names in lower case. */
  headers: z.record(z.string().max(64), z.string()),
  /** Digest and size of the complete body, even if the body is not stored. */
  bodyDigest: digest,
  bodySizeBytes: z.number().int().min(0),
  /** The body in base64; missing if it exceeded a limit. */
  body: z
    .string()
    .max(Math.ceil(MAX_STORED_BODY_BYTES / 3) * 4)
    .optional(),
});

/** How an attempt ended. */
export const outcomeSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('answered'), answer: storedAnswerSchema}),
  z.strictObject({kind: z.literal('not_run')}),
  z.strictObject({kind: z.literal('unknown')}),
]);

export type StoredAnswer = z.infer<typeof storedAnswerSchema>;
export type Outcome = z.infer<typeof outcomeSchema>;

/** The state of a recorded call. */
export type RecordPhase = 'dispatched' | 'answered' | 'not_run' | 'unknown';

/** One recorded call. Records are immutable; a change replaces the record. */
export interface CallRecord {
  readonly digest: Digest;
  readonly phase: RecordPhase;
  /** The attempt granted last; only this one may finish. */
  readonly attemptId: AttemptId;
  /** The entry process that runs the attempt. */
  readonly owner: MemberId;
  /** Unix milliseconds on the clock of the state machine. */
  readonly dispatchedAtMs: number;
  /** On the same clock. */
  readonly deadlineMs: number;
  readonly answer?: StoredAnswer;
  /** Attempts that were closed as `not_run` and are never granted again. */
  readonly closedAttempts: readonly AttemptId[];
}

/** Requests permission to dispatch a call once. */
export interface BeginCommand {
  readonly kind: 'begin';
  readonly workspaceId: WorkspaceId;
  readonly key: IdempotencyKey;
  readonly digest: Digest;
  readonly attemptId: AttemptId;
  readonly owner: MemberId;
  /** Whether the entry generated the key, so that it cannot be in use. */
  readonly fresh: boolean;
  /** Time until the caller's deadline. */
  readonly timeoutMs: number;
  /** The leader's time at the proposal. */
  readonly nowMs: number;
  readonly retentionMs: number;
  readonly maxRecords: number;
}

/** Records how an attempt ended. */
export interface FinishCommand {
  readonly kind: 'finish';
  readonly workspaceId: WorkspaceId;
  readonly key: IdempotencyKey;
  readonly digest: Digest;
  readonly attemptId: AttemptId;
  readonly owner: MemberId;
  readonly outcome: Outcome;
}

/** Ends overdue attempts and removes keys past the retention. */
export interface ExpireCommand {
  readonly kind: 'expire';
  readonly nowMs: number;
  readonly retentionMs: number;
  readonly graceMs: number;
}

/** Initializes a group whose log is empty. */
export interface StartGenerationCommand {
  readonly kind: 'start_generation';
  readonly nowMs: number;
  /** Keys with an earlier timestamp are answered `unknown`; 0 for none. */
  readonly unknownBeforeMs: number;
}

/** Freezes the records of a workspace that moves to another home. */
export interface CloseWorkspaceCommand {
  readonly kind: 'close_workspace';
  readonly workspaceId: WorkspaceId;
  readonly toDomainId: DomainId;
  /** The configuration version that names the new home. */
  readonly version: number;
}

/**
 * The homes of workspaces that differ from those recorded by the group. A
 * workspace that had another home before must be imported.
 */
export interface ObserveHomesCommand {
  readonly kind: 'observe_homes';
  readonly ownDomainId: DomainId;
  /** The configuration version that the homes come from. */
  readonly version: number;
  readonly homes: readonly (readonly [WorkspaceId, DomainId])[];
}

/** Rejects calls of a workspace until its records are imported. */
export interface AwaitImportCommand {
  readonly kind: 'await_import';
  readonly workspaceId: WorkspaceId;
  readonly fromDomainId: DomainId;
  readonly version: number;
}

/** One page of records of a workspace that moves here. */
export interface ImportCommand {
  readonly kind: 'import';
  readonly workspaceId: WorkspaceId;
  readonly version: number;
  readonly page: ExportPage;
}

/** Opens a workspace without import; keys before a time are `unknown`. */
export interface OpenWorkspaceCommand {
  readonly kind: 'open_workspace';
  readonly workspaceId: WorkspaceId;
  readonly version: number;
  readonly unknownBeforeMs: number;
}

export type RecordCommand =
  | BeginCommand
  | FinishCommand
  | ExpireCommand
  | StartGenerationCommand
  | CloseWorkspaceCommand
  | ObserveHomesCommand
  | AwaitImportCommand
  | ImportCommand
  | OpenWorkspaceCommand;

/**
 * The answer to `begin`. `closed_attempt`: this attempt was already closed.
 * `not_home`: the workspace is not open in this domain. `full`: the workspace
 * has the maximum number of records. `not_ready`: the generation of the group
 * has not started. Nothing is granted under any of these four.
 */
export type BeginResult =
  | {readonly kind: 'granted'}
  | {readonly kind: 'running'}
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  | {readonly kind: 'unknown'}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'expired'}
  | {readonly kind: 'future'}
  | {readonly kind: 'closed_attempt'}
  | {readonly kind: 'not_home'; readonly homeDomainId?: DomainId}
  | {readonly kind: 'full'}
  | {readonly kind: 'not_ready'};

/**
 * The answer to `finish`. `recorded` and `already` acknowledge it; `refused`:
 * another attempt owns the record, or its outcome is final; `missing`: there is
 * no record of the key. Only `not_home` should be retried, at the new home.
 */
export interface FinishResult {
  readonly kind: 'recorded' | 'already' | 'refused' | 'missing' | 'not_home';
}

/** The answer to commands that are not about a single call. */
export interface ChangeResult {
  readonly kind: 'changed' | 'unchanged';
}

export type RecordResult = BeginResult | FinishResult | ChangeResult;

/** A page of the records of a closed workspace. */
export interface ExportPage {
  readonly records: readonly (readonly [IdempotencyKey, CallRecord])[];
  /** The old home has removed the keys up to and including this time. */
  readonly expiredBeforeMs: number;
  readonly unknownBeforeMs: number;
  /** The `afterKey` for the next page; missing on the last page. */
  readonly continueAfter?: IdempotencyKey;
}

const callParams = {
  workspaceId: boundedString<WorkspaceId>(63),
  key,
  forwarded: z.boolean().optional(),
};

/** Parameters of `records.begin`. */
export const beginParamsSchema = z.strictObject({
  ...callParams,
  digest,
  attemptId: boundedString<AttemptId>(64),
  owner: boundedString<MemberId>(128),
  fresh: z.boolean(),
  timeoutMs: z.number().positive().max(MAX_CALL_TIMEOUT_MS),
});

/** Parameters of `records.finish`. */
export const finishParamsSchema = z.strictObject({
  ...callParams,
  digest,
  attemptId: boundedString<AttemptId>(64),
  owner: boundedString<MemberId>(128),
  outcome: outcomeSchema,
  timeoutMs: z.number().positive(),
});

/** Parameters of `records.wait`. */
export const waitParamsSchema = z.strictObject({
  ...callParams,
  timeoutMs: z.number().positive(),
});

/** Parameters of `records.export`. */
export const exportParamsSchema = z.strictObject({
  workspaceId: boundedString<WorkspaceId>(63),
  toDomainId: boundedString<DomainId>(63),
  version: z.number().int().min(0),
  /** The `continueAfter` of the previous page; missing for the first page. */
  afterKey: key.optional(),
  timeoutMs: z.number().positive(),
  forwarded: z.boolean().optional(),
});

/** Parameters of `records.import`, which pulls the records of the old home. */
export const importParamsSchema = z.strictObject({
  workspaceId: boundedString<WorkspaceId>(63),
  fromDomainId: boundedString<DomainId>(63),
  version: z.number().int().min(0),
  timeoutMs: z.number().positive(),
  forwarded: z.boolean().optional(),
});

export type BeginParams = z.infer<typeof beginParamsSchema>;
export type FinishParams = z.infer<typeof finishParamsSchema>;
export type WaitParams = z.infer<typeof waitParamsSchema>;
export type ExportParams = z.infer<typeof exportParamsSchema>;
export type ImportParams = z.infer<typeof importParamsSchema>;
