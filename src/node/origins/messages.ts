/** Messages by which instances keep the origins of streams for each other. */
import {z} from 'zod';
import {
  asId,
  type AttemptId,
  type ServiceId,
  type SoftwareVersion,
} from '../types/ids.js';
import type {StreamOrigin} from './origin_store.js';

export const NOTE_ORIGINS_METHOD = 'origins.note';
export const FIND_ORIGIN_METHOD = 'origins.find';

const MAX_ATTEMPT_ID_CHARACTERS = 200;

const attemptIdSchema = z
  .string()
  .max(MAX_ATTEMPT_ID_CHARACTERS)
  .transform(value => asId<AttemptId>(value));

const originSchema: z.ZodType<StreamOrigin> = z.object({
  attemptId: attemptIdSchema,
  service: z.string().transform(value => asId<ServiceId>(value)),
  softwareVersion: z.string().transform(value => asId<SoftwareVersion>(value)),
});

/** Origins to keep. */
export interface OriginBatch {
  readonly origins: readonly StreamOrigin[];
  /** Whether the receiver passes them on to a control member. */
  readonly mustForward: boolean;
}

export const originBatchSchema: z.ZodType<OriginBatch> = z.object({
  origins: z.array(originSchema),
  mustForward: z.boolean(),
});

export interface OriginQuestion {
  readonly attemptId: AttemptId;
}

export const originQuestionSchema: z.ZodType<OriginQuestion> = z.object({
  attemptId: attemptIdSchema,
});

export interface OriginReply {
  readonly origin?: StreamOrigin | undefined;
}

export const originReplySchema: z.ZodType<OriginReply> = z.object({
  origin: originSchema.optional(),
});
