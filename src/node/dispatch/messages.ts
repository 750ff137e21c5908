/** Messages between entries and the schedulers of their region. */
import {z} from 'zod';
import type {
  CapacityDigest,
  Decision,
  Release,
  RunningPlacement,
  WorkItem,
} from '../scheduling/types.js';
import {
  asId,
  type DomainId,
  type RequestId,
  type ServiceId,
  type UpstreamId,
} from '../types/ids.js';

export const SUBMIT_METHOD = 'schedule.submit';
export const DECIDE_METHOD = 'schedule.decide';
export const DIGEST_METHOD = 'schedule.digest';

/** Asks an entry of another region to read the platform's list. */
export const READ_LIST_METHOD = 'list.read';

/** Asks the entry that reads the list for its region. */
export const READ_REGION_METHOD = 'list.region';

export const readListSchema = z.object({
  domain: z.string().transform(value => asId<DomainId>(value)),
});

/** One thing that an entry tells the scheduler of a service in a domain. */
export type SubmissionPart = {readonly domain: DomainId} & SubmissionBody;

type SubmissionBody =
  | {readonly kind: 'item'; readonly item: WorkItem}
  | {
      readonly kind: 'release';
      readonly service: ServiceId;
      readonly release: Release;
    }
  | {
      readonly kind: 'cancel';
      readonly service: ServiceId;
      readonly requestId: RequestId;
    }
  /** An upstream has sent nothing for longer than it should. */
  | {
      readonly kind: 'stalled';
      readonly service: ServiceId;
      readonly upstreamId: UpstreamId;
    }
  /** All that the entry runs on a service, for a scheduler new to it. */
  | {
      readonly kind: 'running';
      readonly service: ServiceId;
      readonly placements: readonly RunningPlacement[];
    };

export interface Submission {
  readonly parts: readonly SubmissionPart[];
}

/** Tells an entry whether the scheduler still has its state. */
export interface SubmissionReply {
  readonly incarnation: number;
  /** What was decided at once; later decisions come as calls of their own. */
  readonly decisions: readonly Decision[];
}

export interface DecisionBatch {
  readonly decisions: readonly Decision[];
}

export interface DigestBatch {
  readonly digests: readonly CapacityDigest[];
}

// The peers are authenticated and of the same build, so only the outer form
// is checked: these messages come with every request.
export const submissionSchema = z.object({
  parts: z.array(z.custom<SubmissionPart>(isObject)),
}) satisfies z.ZodType<Submission>;

export const decisionBatchSchema = z.object({
  decisions: z.array(z.custom<Decision>(isObject)),
}) satisfies z.ZodType<DecisionBatch>;

export const digestBatchSchema = z.object({
  digests: z.array(z.custom<CapacityDigest>(isObject)),
}) satisfies z.ZodType<DigestBatch>;

function isObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}
