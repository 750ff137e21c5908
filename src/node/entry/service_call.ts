/** Types shared by the runners of recorded and of idempotent service calls. */
import type {
  ServiceAnswer,
  ServiceRequest,
  ServiceTarget,
} from '../adapters/upstream/plain_service.js';
import type {UpstreamId, WorkspaceId} from '../types/ids.js';

/** A call to a plain service that passed admission. */
export interface ServiceCall {
  readonly workspaceId: WorkspaceId;
  readonly request: ServiceRequest;
  /** Deadline on the monotonic clock. */
  readonly deadlineAtMs: number;
}

/** Picks an upstream for a call, except those that were tried already. */
export type ServiceTargetPicker = (
  excluded: ReadonlySet<UpstreamId>,
) => ServiceTarget | undefined;

/** The answer of a service and the upstream that sent it. */
export interface ServiceCallAnswer {
  readonly answer: ServiceAnswer & {readonly body: Uint8Array};
  /** Missing if the answer comes from a record. */
  readonly upstreamId?: UpstreamId;
}
