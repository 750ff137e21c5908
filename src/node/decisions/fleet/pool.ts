/**
 * A pool: the upstreams that can run one model, or that offer one service.
 * Queues, capacity and summaries are kept per pool.
 */
import {
  asId,
  type Branded,
  type ModelId,
  type WorkloadId,
} from '../../types/ids.js';

/** `model:<model id>` or `service:<service name>`. */
export type PoolId = Branded<string, 'PoolId'>;

/** The pool of a model. */
export function poolOfModel(modelId: ModelId): PoolId {
  return asId<PoolId>(`model:${modelId}`);
}

/** The pool of a plain service. */
export function poolOfService(serviceName: string): PoolId {
  return asId<PoolId>(`service:${serviceName}`);
}

/** The pool that runs a workload. */
export function poolOfWorkload(workload: {
  readonly workloadId: WorkloadId;
  readonly modelId?: ModelId | undefined;
  readonly serviceName?: string | undefined;
}): PoolId {
  if (workload.modelId !== undefined) return poolOfModel(workload.modelId);
  return poolOfService(workload.serviceName ?? workload.workloadId);
}
