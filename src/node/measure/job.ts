/** One request of the load generator. */
import type {
  Digest,
  ModelId,
  RankId,
  RegionId,
  RequestId,
} from '../types/ids.js';
import type {WorkspaceConfig} from '../config/configuration.js';
import type {PoolId} from '../decisions/index.js';

/** What a job needs and who sent it. */
export interface Job {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceConfig;
  /** One of the callers of the workspace. */
  readonly callerDigest: Digest;
  readonly callerRegionId: RegionId;
  readonly rankId: RankId;
  readonly priority: number;
  readonly modelId: ModelId;
  readonly poolId: PoolId;
  readonly prefixDigest: Digest;
  /** Work of the prompt on an idle engine without a cached prefix. */
  readonly prefillMs: number;
  readonly tokenCount: number;
  readonly decodeMs: number;
  readonly requestBytes: number;
  readonly answerBytes: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}
