/** Messages between entries and the schedulers of their region. */
import {z} from 'zod';
import {
  MAX_CRASHES_KEPT,
  MAX_REPORTED_SUSPECTS,
} from '../decisions/quarantine/constants.js';
import type {SuspectReport} from '../decisions/quarantine/suspect_record.js';
import type {
  CapacityDigest,
  Decision,
  NamedLimits,
  Release,
  EntryPlacements,
  WorkItem,
} from '../scheduling/types.js';
import {
  asId,
  type DomainId,
  type RequestId,
  type ServiceId,
  type SuspectId,
  type UpstreamId,
} from '../types/ids.js';

export const SUBMIT_METHOD = 'schedule.submit';
export const DECIDE_METHOD = 'schedule.decide';
export const DIGEST_METHOD = 'schedule.digest';

/** Shares the evidence on what crashes upstreams. */
export const SUSPECTS_METHOD = 'schedule.suspects';

/** Asks an entry in another region to read the platform's list. */
export const READ_LIST_METHOD = 'list.read';

/** Asks the region's reader entry for its latest reading. */
export const READ_REGION_METHOD = 'list.region';

/** Asks another entry to probe an upstream. */
export const PROBE_METHOD = 'schedule.probe';

export const probeRequestSchema = z.object({
  address: z.string(),
  path: z.string(),
});

export const readListSchema = z.object({
  domain: z.string().transform(value => asId<DomainId>(value)),
});

/** The scope of one scheduler: the upstreams of a service in a domain. */
export interface SchedulerScope {
  readonly service: ServiceId;
  readonly domain: DomainId;
}

/** One message from an entry to the scheduler of a service in a domain. */
export type SubmissionPart = {readonly domain: DomainId} & SubmissionBody;

/** How a granted request fares at its upstream. */
export type PlacementReport =
  /** The upstream has sent nothing for so long that it may be down. */
  | 'stalled'
  /** The engine has not begun the request by the expected time. */
  | 'overdue'
  /** The engine has begun a request that was overdue. */
  | 'begun'
  /** The upstream says that it is about to stop. */
  | 'leaving';

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
  | {
      readonly kind: PlacementReport;
      readonly service: ServiceId;
      readonly upstreamId: UpstreamId;
      readonly requestId: RequestId;
    }
  /** The limits that the answer to a request names. */
  | {
      readonly kind: 'limits';
      readonly service: ServiceId;
      readonly upstreamId: UpstreamId;
      readonly requestId: RequestId;
      readonly limits: NamedLimits;
    }
  /** All that the entry knows of a service, for a new scheduler. */
  | ({
      readonly kind: 'running';
      readonly service: ServiceId;
    } & EntryPlacements);

export interface Submission {
  readonly parts: readonly SubmissionPart[];
}

/**
 * Reply to a submission. The incarnation tells the entry whether the scheduler
 * restarted and lost its state.
 */
export interface SubmissionReply {
  readonly incarnation: number;
  /** Immediate decisions; later ones are sent with `DECIDE_METHOD`. */
  readonly decisions: readonly Decision[];
}

export interface DecisionBatch {
  readonly decisions: readonly Decision[];
}

export interface DigestBatch {
  readonly digests: readonly CapacityDigest[];
}

// Only the outer shape is checked, as these messages come with every request
// and the peers are authenticated and run the same build.
export const submissionSchema = z.object({
  parts: z.array(z.custom<SubmissionPart>(isObject)),
}) satisfies z.ZodType<Submission>;

export const decisionBatchSchema = z.object({
  decisions: z.array(z.custom<Decision>(isObject)),
}) satisfies z.ZodType<DecisionBatch>;

export interface SuspectBatch {
  readonly reports: readonly SuspectReport[];
  /** Whether the sender asks for the receiver's reports. */
  readonly isQuestion?: boolean | undefined;
}

const suspectIdSchema = z.string().transform(value => asId<SuspectId>(value));

export const suspectBatchSchema = z.object({
  reports: z
    .array(
      z.object({
        suspect: suspectIdSchema,
        isShared: z.boolean(),
        depth: z.number(),
        crashes: z
          .array(
            z.object({
              crashId: z.string(),
              request: suspectIdSchema,
              sentAgoMs: z.number(),
              crashedAgoMs: z.number(),
            }),
          )
          .max(MAX_CRASHES_KEPT),
        answeredAgoMs: z.number().optional(),
        isQuarantined: z.boolean(),
      }),
    )
    .max(MAX_REPORTED_SUSPECTS),
  isQuestion: z.boolean().optional(),
});

export const digestBatchSchema = z.object({
  digests: z.array(z.custom<CapacityDigest>(isObject)),
}) satisfies z.ZodType<DigestBatch>;

function isObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}
